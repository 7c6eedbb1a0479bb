"""Tests of signals that arrive during a start."""

import os
import signal

from testtools import TestCase

from .signal_inbox import HELD_SIGNALS, SignalInbox


class TestSignalInbox(TestCase):
    """Signals before and after their handlers are set."""

    def setUp(self):
        super().setUp()
        for number in HELD_SIGNALS:
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.inbox = SignalInbox()
        self.handled = []

    def test_held_signals_are_handled_once_a_handler_is_set(self):
        for number in (*HELD_SIGNALS, signal.SIGHUP):
            os.kill(os.getpid(), number)
        self.inbox.set_handler(signal.SIGHUP, lambda: self.handled.append("reload"))
        assert self.handled == ["reload"]
        self.inbox.set_handler(signal.SIGTERM, lambda: self.handled.append("stop"))
        assert self.handled == ["reload", "stop"]

    def test_signals_that_were_blocked_are_handled(self):
        signal.pthread_sigmask(signal.SIG_BLOCK, HELD_SIGNALS)
        os.kill(os.getpid(), signal.SIGHUP)
        inbox = SignalInbox()
        inbox.set_handler(signal.SIGHUP, lambda: self.handled.append("reload"))
        assert self.handled == ["reload"]

    def test_later_signals_are_handled_at_once(self):
        self.inbox.set_handler(signal.SIGHUP, lambda: self.handled.append("reload"))
        assert self.handled == []
        for _ in range(2):
            os.kill(os.getpid(), signal.SIGHUP)
        assert self.handled == ["reload", "reload"]
