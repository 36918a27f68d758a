"""Finds TCP ports for servers that are started, and started again, later."""

import fcntl
import os
import pathlib
import random
import socket
import tempfile
from typing import Any, Final

HOST: Final = '127.0.0.1'
# Ends below 32768, where the default ephemeral ports of Linux begin.
SERVER_PORT_RANGE: Final = (15_000, 32_000)

_returned_ports: set[int] = set()
# Its byte with the number of a port is locked by the process that uses the
# port. Locks end once a descriptor of the file is closed, so it stays open.
_lock_files: list[Any] = []


def find_free_ports(count: int) -> list[int]:
    """Return TCP ports that were free when they were checked.

    They lie below the ephemeral range. The kernel may assign a free port of
    that range to an outgoing connection before a server listens on it. No
    port is returned twice, nor to another process while this one runs: its
    server may not listen yet, or may be about to be started again.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(*SERVER_PORT_RANGE)
        if port in _returned_ports or not _lock(port):
            continue
        with socket.socket() as probe:
            # Servers set this option too: a port whose only connections are
            # closed (TIME_WAIT) counts as free.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _returned_ports.add(port)
        ports.append(port)
    return ports


def _lock(port: int) -> bool:
    """Keep other processes from a port until this one ends.

    :return: whether no other process has locked it
    """
    if not _lock_files:
        path = pathlib.Path(
            tempfile.gettempdir(), f'borageshelf-ports-{os.getuid()}'
        )
        _lock_files.append(path.open('ab'))
    try:
        fcntl.lockf(
            _lock_files[0], fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port, os.SEEK_SET
        )
    except OSError:
        return False
    return True
