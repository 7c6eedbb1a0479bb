"""Sending of a message without waiting and without copies of a large body."""

JOINED_BYTES = 65_536  # bodies up to this size are copied for a single write


def send_at_once(raw_socket, head: bytes, body: bytes) -> list[memoryview]:
    """Send what the kernel takes without waiting and return the rest, not copied.

    Raises
    ------
    OSError
        If the connection is broken.
    """
    try:
        if len(body) <= JOINED_BYTES:
            head, body = head + body, b""
            sent = raw_socket.send(head)
            if sent == len(head):
                return []
        else:
            sent = raw_socket.sendmsg((head, body))
    except BlockingIOError:
        sent = 0
    head_rest = memoryview(head)[sent:]
    body_rest = memoryview(body)[max(0, sent - len(head)) :]
    return [part for part in (head_rest, body_rest) if part]
