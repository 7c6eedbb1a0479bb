"""Bounds on the sockets of callers: their buffers in the kernel and their number."""

import resource

from eventlet.green import socket

# What the kernel holds unread counts toward the limit of the process.
RECEIVE_BUFFER_BYTES = 16_384
# Without it, the kernel takes megabytes of an answer for a connection that is not read.
SEND_BUFFER_BYTES = 65_536
CALLER_SOCKET_SHARE = 0.6  # of the sockets; the rest is for targets, peers and others


def bound_buffers(listener) -> None:
    """Bound the buffers of the connections that a listener accepts from now on."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def find_max_sockets(allowed: int) -> int:
    """Return how many sockets may be open, by the settings and the system's limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return allowed if limit == resource.RLIM_INFINITY else min(allowed, limit)
