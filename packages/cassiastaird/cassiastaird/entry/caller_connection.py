"""HTTP connection of a caller, with one task that reads and one that serves.

Memory is reserved before bytes are read, see `ConnectionMemory`. While there is none,
the socket is not read, so that the caller's own system holds the bytes back.
"""

import struct
from contextlib import suppress
from itertools import islice

import eventlet
from cassiastair.errors import (
    CassiastairError,
    MalformedRequestError,
    MemoryFullError,
    release_frames,
)
from eventlet.event import Event
from eventlet.green import socket
from greenlet import GreenletExit

from ..send_at_once import send_at_once
from .connection_memory import CONNECTION_BYTES, SMALL_BODY_BYTES, ConnectionMemory
from .handler import RequestHandler
from .http_message import HttpReply
from .request_reader import RequestReader

RECEIVE_BYTES = 65_536
HEAD_RECEIVE_BYTES = 8192  # read at a time until the length of a body is known
PARSED_BYTES = 2048  # parsed before other tasks run, unless they are one long part
LINGER_S = 2.0  # time to discard the rest of a refused request
FIRST_REQUEST_WAIT_S = 0.5  # time that a stopping VM gives a new connection to send
PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT
TCP_INFO_BYTES = 104  # prefix of Linux's struct tcp_info that includes tcpi_rtt
TCPI_RTT_OFFSET = 68  # tcpi_rtt is in microseconds
TCPI_RTT = struct.Struct("=I")
TCP_ENDED_STATES = (7, 8)  # TCP_CLOSE, TCP_CLOSE_WAIT
MAX_PIPELINED = 16  # complete requests read ahead on one connection
CONTINUE_REPLY = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CallerConnection:
    """Reads a caller's requests and answers them in order.

    The reading task keeps reading while a request is served, so that serving stops
    as soon as the caller disconnects.

    Parameters
    ----------
    sock : socket
        Accepted connection.
    handler : RequestHandler
        Answers the requests.
    """

    def __init__(self, sock, handler: RequestHandler):
        self._sock = sock
        self._handler = handler
        self._reader = RequestReader(handler.limits)
        self._memory = ConnectionMemory(handler.memory)
        self._serving_task = None
        self._answered: Event | None = None
        self._closing = False
        self._last_activity_at = handler.clock.now()
        self._rtt: float | None = None
        self._received_at = self._last_activity_at
        self._is_unused = True
        self._is_writing = False
        self._writing_since = self._last_activity_at
        self._unsent_size = 0
        self._waits_for_memory = False
        self._lingers = False
        self.closed = False

    @property
    def last_activity_at(self) -> float:
        """Time of the last bytes of a request or an answer, in seconds."""
        return self._last_activity_at

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""
        return self._serving_task is None and not self._reader.partial

    def open(self) -> bool:
        """Reserve the memory of the connection; if that fails, `run` refuses it."""
        return self._memory.open()

    def run(self) -> None:
        """Read requests and have them served until the connection ends."""
        try:
            if not self._memory.is_open:
                self._refuse(self._handler.memory.connections.refuse(CONNECTION_BYTES))
            while not self._closing and self._read_part():
                pass
            if self._lingers:
                self._discard_rest()
        except (OSError, EOFError):
            pass  # a reset, or a shutdown by the serving task
        except MemoryFullError as error:
            self._refuse(error)
            with suppress(OSError, EOFError):
                self._discard_rest()
        finally:
            try:
                self._stop_serving()
            finally:
                self._reader.close()
                self._memory.close()
                self._sock.close()

    def _read_part(self) -> bool:
        """Receive and handle bytes, which are released with the end of this method.

        Returns
        -------
        bool
            False if the caller sends no more, or an answer could not be sent.
        """
        data = self._receive()
        if not data or self.closed:
            return False
        self._handle_data(data)
        return True

    def _receive(self) -> bytes:
        """Reserve memory for the request that arrives and receive a part of it.

        Raises
        ------
        MemoryFullError
            If there is no memory for it.
        """
        reader = self._reader
        if not reader.partial:
            return self._sock.recv(HEAD_RECEIVE_BYTES)
        self._waits_for_memory = True
        try:
            limits = self._handler.limits
            self._memory.reserve_arriving(reader, limits, self._check_caller)
        finally:
            self._waits_for_memory = False
        if reader.expects_continue:
            reader.expects_continue = False
            self._sock.sendall(CONTINUE_REPLY)
        if not reader.in_body:
            return self._sock.recv(HEAD_RECEIVE_BYTES)
        if reader.announced_length is None:
            size = PARSED_BYTES if reader.has_small_chunks else RECEIVE_BYTES
            return self._sock.recv(size)
        return self._sock.recv(
            min(RECEIVE_BYTES, max(1, reader.announced_length - reader.body_size))
        )

    def _check_caller(self) -> None:
        """Raise ConnectionResetError if the caller has closed the connection.

        The state tells it even while bytes that the caller sent before are unread.
        """
        if self.closed or has_ended(self._sock):
            raise ConnectionResetError("the caller has left")

    def _refuse(self, error: MemoryFullError) -> None:
        """Have a request refused after the answers to those before it."""
        self._lingers = True
        self._reader.drop_unfinished()
        self._start_serving(error)

    def _discard_rest(self) -> None:
        """Discard what the caller still sends, so that it gets the answer.

        A socket that is closed with unread bytes resets the connection, which drops
        an answer that the caller has not read.
        """
        with eventlet.Timeout(LINGER_S, False):
            while self._sock.recv(RECEIVE_BYTES):
                eventlet.sleep(0)  # more may have arrived, and the time must end

    def _handle_data(self, data: bytes) -> None:
        """Parse received bytes and start serving the complete requests."""
        self._is_unused = False
        self._received_at = self._handler.clock.now()
        if not self._reader.partial:
            self._last_activity_at = self._received_at
        start = 0
        while start < len(data):
            if start:
                eventlet.sleep(0)
            if self._reader.has_small_chunks:
                self._handler.turns.wait()
            if self._closing:
                return  # a request that was refused meanwhile must not run
            end = start + PARSED_BYTES + self._reader.missing_body_bytes
            self._start_serving(self._parse(data[start:end]))
            self._wait_for_answers()
            start = end

    def _wait_for_answers(self) -> None:
        """Wait while as many complete requests as may be read ahead are unanswered."""
        while (
            self._serving_task is not None
            and len(self._reader.requests) >= MAX_PIPELINED
        ):
            self._answered = Event()
            self._answered.wait()

    def _wake_reader(self) -> None:
        """Let the reading task go on if it waits for an answer."""
        if self._answered is not None:
            answered, self._answered = self._answered, None
            answered.send(None)

    def _parse(self, data: bytes) -> CassiastairError | None:
        """Parse received bytes; return an error that ends the connection, if any."""
        self._reader.limits = self._handler.limits
        complete_count = len(self._reader.requests)
        error = None
        try:
            self._reader.feed(data)
        except CassiastairError as failure:
            release_frames(failure)  # it waits for the answers before it
            error = failure
        for request, _ in islice(self._reader.requests, complete_count, None):
            if not self._memory.add_complete(request):
                self._closing = self._lingers = True
        return error

    def _start_serving(self, error: CassiastairError | None) -> None:
        """Start the serving task if it is not running and has work to do."""
        if error is not None:
            self._closing = True
        if self._serving_task is None and (self._reader.requests or error is not None):
            self._serving_task = eventlet.spawn(self._answer_requests, error)

    def _answer_requests(self, error: CassiastairError | None) -> None:
        """Answer the complete requests, then report an error of the connection."""
        try:
            while self._reader.requests:
                if not self._answer_first():
                    self._closing = True
                    break
                self._wake_reader()
                if self._reader.requests:
                    eventlet.sleep(0)
            if error is not None:
                self._send(self._handler.answer_error(error), False)
        except (OSError, EOFError):
            self._closing = True
        except Exception:
            # The next answer would be taken for that of this request.
            self._closing = True
            raise
        finally:
            self._serving_task = None
            self._wake_reader()
            self._last_activity_at = self._handler.clock.now()
            if self._closing:
                self._shut_down()

    def _answer_first(self) -> bool:
        """Answer the oldest complete request; return whether the connection stays open.

        Its answer is released with the end of this method, since the next request may
        wait long for a target.
        """
        message, keep_alive = self._reader.requests.popleft()
        has_body = message.method != b"HEAD"
        keep_alive = keep_alive and not self._handler.should_close_connections()
        if self._memory.has_first():
            reply = self._handler.answer(message, self._measure_caller_rtt())
        else:
            keep_alive = False
            reply = self._handler.answer_error(
                self._handler.memory.requests.refuse(SMALL_BODY_BYTES)
            )
        del message
        self._memory.release_first()
        keep_alive = keep_alive and not self._handler.should_close_connections()
        self._send(reply, keep_alive, has_body)
        return keep_alive

    def _measure_caller_rtt(self) -> float:
        """Return the network time of a request and its answer, in seconds.

        The first request of a connection also waited for the TCP handshake, which
        takes one more round trip.
        """
        if self._rtt is None:
            self._rtt = read_rtt(self._sock)
            return 2 * self._rtt
        return self._rtt

    def _send(self, reply: HttpReply, keep_alive: bool, has_body: bool = True) -> None:
        """Write a reply to the socket; a reply to HEAD has no body."""
        head, body = encode_reply(reply, keep_alive)
        rest = send_at_once(self._sock.fd, head, body if has_body else b"")
        if rest:
            self._send_rest(rest)

    def _send_rest(self, rest: list[memoryview]) -> None:
        """Send the part of a reply that the kernel did not take at once.

        Until the end of the reply, all of it takes memory, what was sent included.

        Raises
        ------
        OSError
            If the connection breaks, or there is no memory to keep the rest.
        """
        answers = self._handler.memory.answers
        size = sum(len(part.obj) for part in rest)
        if not answers.try_reserve(size):
            answers.refuse(size)
            raise ConnectionAbortedError("no memory for an answer that is not read")
        self._unsent_size = size
        self._is_writing = True
        self._writing_since = self._handler.clock.now()
        try:
            for part in rest:
                while part:
                    part = part[self._sock.send(part) :]
                    self._last_activity_at = self._handler.clock.now()
        finally:
            self._is_writing = False
            self._unsent_size = 0
            answers.release(size)

    def _stop_serving(self) -> None:
        """Cancel serving if the caller has left, else wait for the last answer."""
        task = self._serving_task
        if task is not None:
            if not self._closing:
                task.kill()
            with suppress(GreenletExit):
                task.wait()
        self._shut_down()

    def _shut_down(self) -> None:
        """Shut the socket down, so that the reading task ends and closes it.

        If it were closed here, the event loop would keep the reading task registered
        for the file descriptor, even after another socket has got that descriptor.
        """
        if not self.closed:
            self.closed = True
            self._handler.remove_connection(self)
            try:
                self._sock.shutdown(
                    socket.SHUT_WR if self._lingers else socket.SHUT_RDWR
                )
            except OSError:
                pass  # the caller has closed it already

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection if it is idle, or a request incomplete, for too long."""
        limits = self._handler.limits
        if self.closed:
            return
        if self._is_writing and now - self._last_activity_at > limits.idle_timeout:
            self._closing = True
            self._shut_down()
        if self._serving_task is not None or self._waits_for_memory:
            return
        inactive_s = now - self._last_activity_at
        if self._reader.partial and not self._reader.in_body:
            if inactive_s > limits.header_timeout:
                self._answer_timeout()
        elif inactive_s > limits.idle_timeout:
            if self._reader.partial:
                self._answer_timeout()
            else:
                self.close_idle()

    def _answer_timeout(self) -> None:
        """Answer 408 to a request that took too long to arrive, and close."""
        self._closing = True
        error = MalformedRequestError("the request did not arrive in time")
        error.status = 408
        head, body = encode_reply(self._handler.answer_error(error), False)
        with suppress(OSError):  # the caller has left
            send_at_once(self._sock.fd, head, body)  # a task for all must not wait
        self._shut_down()

    def abort(self) -> None:
        """Close the connection whatever it does."""
        self._closing = True
        self._shut_down()

    def find_silence(self, now: float) -> float:
        """Return for how many seconds a request has not progressed.

        For an answer it is the time since its first part was sent, since one that is
        read slowly keeps its memory as long as one that is not read. It is 0 if none is
        unfinished, if the request waits for memory, and from when it is complete until
        its answer.
        """
        if self.closed or self._closing or self._waits_for_memory:
            return 0.0
        if self._is_writing:
            return now - self._writing_since
        if self._serving_task is None and self._reader.partial:
            return now - self._received_at
        return 0.0

    def close_for_memory(self) -> int:
        """Close the connection; return how much memory that releases."""
        size = self._memory.size + self._unsent_size
        if self._is_writing:
            self._closing = True
            self._shut_down()
        else:
            self._answer_timeout()
        return size

    def close_idle(self) -> None:
        """Close the connection unless a request is in progress or has arrived."""
        if self.is_idle and not self._has_unread_data():
            self._closing = True
            self._shut_down()

    def close_for_stop(self, now: float) -> None:
        """Close an idle connection, a new one only after it had time for a request."""
        age_s = now - self._last_activity_at
        if not self._is_unused or age_s > FIRST_REQUEST_WAIT_S:
            self.close_idle()

    def _has_unread_data(self) -> bool:
        """Return True if the caller has sent bytes that were not read yet."""
        try:
            return bool(self._sock.fd.recv(1, PEEK_FLAGS))
        except OSError:
            return False  # nothing has arrived, or the connection is broken


def read_rtt(sock) -> float:
    """Return the kernel's estimate of a connection's round-trip time in seconds.

    It is 0 if the kernel provides none.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        return TCPI_RTT.unpack_from(info, TCPI_RTT_OFFSET)[0] / 1e6
    except (OSError, struct.error):
        return 0.0  # not a TCP socket, or a system without tcp_info


def has_ended(sock) -> bool:
    """Return True if the peer has closed a TCP connection; it may have unread bytes."""
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        return state in TCP_ENDED_STATES
    except OSError:
        return False  # not a TCP socket


def encode_reply(reply: HttpReply, keep_alive: bool) -> tuple[bytes, bytes]:
    """Return the head and the body of a reply to send."""
    reason = REASON_PHRASES.get(reply.status, b"Status")
    lines = [b"HTTP/1.1 %d %b\r\n" % (reply.status, reason)]
    lines += [b"%b: %b\r\n" % header for header in reply.headers]
    lines.append(b"Content-Length: %d\r\n" % len(reply.body))
    if not keep_alive:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines), reply.body
