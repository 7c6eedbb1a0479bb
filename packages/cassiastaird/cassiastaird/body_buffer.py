"""Buffer for the parts of a message body."""

# Framing received for each byte of a body; chunks of a single byte have 5 bytes of it.
MAX_FRAMING_PER_BODY_BYTE = 8


class BodyBuffer:
    """Joins the parts of a body as they arrive.

    An object for each part would take many times the memory of a body in chunks of a
    few bytes. A body in one part is not copied.

    Attributes
    ----------
    size : int
        Bytes received, also after `take`.
    """

    __slots__ = ("size", "_data")

    def __init__(self):
        self.clear()

    def clear(self) -> None:
        """Make the buffer ready for another body."""
        self.size = 0
        self._data: bytes | bytearray = b""

    def append(self, part: bytes) -> None:
        """Append a part of the body."""
        if not self.size:
            self._data = part
        elif isinstance(self._data, bytearray):
            self._data += part
        else:
            self._data = bytearray(self._data) + part
        self.size += len(part)

    def take(self) -> bytes:
        """Return the body and drop it from the buffer."""
        data, self._data = self._data, b""
        return bytes(data)
