"""Opens listeners whose connections have bounded buffers in the kernel.

By itself the kernel lets the buffers of a connection grow to megabytes, which
are memory of the machine as well. Connections inherit the sizes from their
listener, so the bound also holds before a connection is accepted.
"""

import importlib
import socket
from typing import Any, Final

# The kernel doubles both sizes for its own structures. The window that callers
# get is about the size for receiving.
RECEIVE_BUFFER_BYTES: Final = 8_192
SEND_BUFFER_BYTES: Final = 32_768
# Memory that the kernel uses at most for a connection in either direction.
KERNEL_RECEIVE_BYTES: Final = 2 * RECEIVE_BUFFER_BYTES
KERNEL_SEND_BYTES: Final = 2 * SEND_BUFFER_BYTES
# A burst of connections that exceeds the backlog is dropped, which a caller
# notices only after a second.
DEFAULT_BACKLOG: Final = 50


def listen(
    host: str, port: int, site: Any, backlog: int = DEFAULT_BACKLOG
) -> Any:
    """Serve a site on an address.

    :param site: factory of the protocols of its connections
    :param backlog: connections that wait to be accepted
    :return: the listener of twisted
    :raises twisted.internet.error.CannotListenError: if the address is taken
    """
    reactor: Any = importlib.import_module('twisted.internet.reactor')
    listener = reactor.listenTCP(port, site, backlog=backlog, interface=host)
    bound_buffers(listener)
    return listener


def bound_buffers(listener: Any) -> None:
    """Set the buffers of the connections that a listener will accept.

    :param listener: listener of twisted
    """
    for option, size_bytes in (
        (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
    ):
        listener.socket.setsockopt(socket.SOL_SOCKET, option, size_bytes)
