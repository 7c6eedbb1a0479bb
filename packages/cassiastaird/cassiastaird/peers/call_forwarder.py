"""Forwarding of non-idempotent requests to the VM that issued their id."""

import itertools
from collections.abc import Callable

import eventlet
from cassiastair.errors import IssuerGoneError
from cassiastair.peers import Call, LinkClosed, PeerLink, Reply
from eventlet.event import Event

CallHandler = Callable[[Call], tuple[int, dict]]


class CallForwarder:
    """Sends calls over links and matches the replies.

    Parameters
    ----------
    handle : callable
        Runs a call from a peer; returns status and body of the reply.
    """

    def __init__(self, handle: CallHandler):
        self._handle = handle
        self._numbers = itertools.count(1)
        self._waiting: dict[int, tuple[PeerLink, Event]] = {}

    def call(self, link: PeerLink, body: bytes, time_left: float, trace: str) -> Reply:
        """Forward a request and wait for the reply.

        Raises
        ------
        IssuerGoneError
            If no reply comes in time or the link closes.
        """
        number = next(self._numbers)
        event = Event()
        self._waiting[number] = (link, event)
        reply = None
        try:
            link.send(Call(number, body, time_left, trace))
            with eventlet.Timeout(time_left, False):
                reply = event.wait()
        except LinkClosed:
            reply = None
        finally:
            self._waiting.pop(number, None)
        if reply is None:
            raise IssuerGoneError("the VM that issued the request id does not answer")
        return reply

    def take_reply(self, reply: Reply) -> None:
        """Hand a reply to the task that waits for it; a late one is dropped."""
        waiting = self._waiting.pop(reply.call, None)
        if waiting is not None:
            waiting[1].send(reply)

    def take_call(self, link: PeerLink, call: Call) -> None:
        """Run a peer's call in a task of its own."""
        eventlet.spawn_n(self._run_call, link, call)

    def _run_call(self, link: PeerLink, call: Call) -> None:
        """Run a call and send the reply, if the link still stands."""
        status, body = self._handle(call)
        try:
            link.send(Reply(call.call, status, body))
        except LinkClosed:
            return  # the peer tells its caller that the outcome is unknown

    def lost(self, link: PeerLink) -> None:
        """Wake the tasks that wait for a reply on a closed link."""
        for number, (used, event) in list(self._waiting.items()):
            if used is link:
                del self._waiting[number]
                event.send(None)
