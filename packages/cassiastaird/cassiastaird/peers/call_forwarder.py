"""Forwarding of non-idempotent requests to the VM that issued their ID."""

import itertools
from collections.abc import Callable

import eventlet
from cassiastair.errors import IssuerGoneError
from cassiastair.peers import Call, LinkClosed, PeerLink, Reply
from eventlet.event import Event

CallHandler = Callable[[Call], tuple[int, dict]]


class CallForwarder:
    """Sends calls over links and matches the replies to them.

    Parameters
    ----------
    handle : callable
        Runs a call from a peer; returns the status and body of the reply.
    """

    def __init__(self, handle: CallHandler):
        self._handle = handle
        self._call_numbers = itertools.count(1)
        self._pending: dict[int, tuple[PeerLink, Event]] = {}

    def call(self, link: PeerLink, body: bytes, time_left: float, trace: str) -> Reply:
        """Forward a request and wait for the reply.

        Parameters
        ----------
        link : PeerLink
            Link to the VM that issued the request's ID.
        body : bytes
            Body of the request.
        time_left : float
            Seconds to wait for the reply.
        trace : str
            Trace context of the request.

        Raises
        ------
        IssuerGoneError
            If no reply arrives in time or the link closes.
        """
        number = next(self._call_numbers)
        event = Event()
        self._pending[number] = (link, event)
        reply = None
        try:
            link.send(Call(number, body, time_left, trace))
            with eventlet.Timeout(time_left, False):
                reply = event.wait()
        except LinkClosed:
            reply = None
        finally:
            self._pending.pop(number, None)
        if reply is None:
            raise IssuerGoneError("the VM that issued the request id does not answer")
        return reply

    def handle_reply(self, reply: Reply) -> None:
        """Pass a reply to the task that waits for it; drop a late one."""
        pending = self._pending.pop(reply.call, None)
        if pending is not None:
            pending[1].send(reply)

    def handle_call(self, link: PeerLink, call: Call) -> None:
        """Run a peer's call in a new task, which sends the reply."""
        eventlet.spawn_n(self._run_call, link, call)

    def _run_call(self, link: PeerLink, call: Call) -> None:
        """Run a call and send the reply unless the link has closed."""
        status, body = self._handle(call)
        try:
            link.send(Reply(call.call, status, body))
        except LinkClosed:
            return  # the peer reports an unknown outcome to its caller

    def cancel_pending(self, link: PeerLink) -> None:
        """Wake the tasks that wait for a reply on a link that was closed."""
        for number, (pending_link, event) in list(self._pending.items()):
            if pending_link is link:
                del self._pending[number]
                event.send(None)
