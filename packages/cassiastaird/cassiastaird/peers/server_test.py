"""Tests of accepting links from peers."""

import errno
from unittest import mock

import eventlet
from testtools import TestCase

from .server import PeerServer


class TestPeerServer(TestCase):
    """Links that peers open."""

    def test_links_are_accepted_after_an_accept_that_fails(self):
        server = PeerServer("127.0.0.1", 0)
        node = mock.Mock()
        server.attach(node, mock.Mock())
        listener = server._server.socket
        self.addCleanup(listener.close)
        accept = listener.accept
        out_of_descriptors = OSError(errno.EMFILE, "too many open files")
        listener.accept = mock.Mock(side_effect=out_of_descriptors)
        task = eventlet.spawn(server.run)
        self.addCleanup(task.kill)
        while node.log_event.call_count < 3:
            eventlet.sleep(0.01)
        listener.accept = accept
        with eventlet.Timeout(10):
            sock = eventlet.connect(("127.0.0.1", server.port))
            self.addCleanup(sock.close)
            sock.sendall(b"GET / HTTP/1.1\r\n\r\n")
            assert b"426" in sock.recv(1000)
