"""Tests that the log of a process is complete enough to trace an order."""

import asyncio
import json
import socket

from borageshelf import events


class LogReader:
    """A log whose writes arrive one by one."""

    def __init__(self) -> None:
        # A datagram socket keeps the boundaries of writes.
        self._reader, self._writer = socket.socketpair(
            socket.AF_UNIX, socket.SOCK_DGRAM
        )
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self.log = events.EventLog(
            'agent', 'test', descriptor=self._writer.fileno()
        )

    def read_writes(self) -> list[bytes]:
        """Return what was written, write by write."""
        writes = []
        while True:
            try:
                writes.append(self._reader.recv(1_000_000))
            except BlockingIOError:
                return writes

    def close(self) -> None:
        """Close both ends."""
        self._reader.close()
        self._writer.close()


def test_order_is_written_without_waiting_for_the_interval() -> None:
    """Guards against orders that a killed process leaves no line about.

    A process that lost power within 100 ms of its orders left a run with an
    end but without an order in the log.
    """

    async def check() -> None:
        reader = LogReader()
        for number in range(3):
            reader.log.record_order('run ordered', number=number)
        await asyncio.sleep(0)
        (written,) = reader.read_writes()
        lines = [json.loads(line) for line in written.splitlines()]
        assert [line['number'] for line in lines] == [0, 1, 2]
        reader.log.record_order('run ordered', number=3)
        await asyncio.sleep(0)
        assert len(reader.read_writes()) == 1
        reader.close()

    asyncio.run(check())


def test_writes_are_short_and_end_with_a_line() -> None:
    """Guards against lines that are lost because a write is cut.

    A collector kept the first 8 KiB of each write, so a third of the orders
    of a busy owner was missing in its log.
    """
    reader = LogReader()
    for number in range(200):
        reader.log.record('run ordered', number=number, detail='x' * 150)
    reader.log.record('committed', number=200, detail='x' * 10_000)
    reader.log.record('run ended', number=201)
    numbers = []
    # The socket holds a few datagrams only, like a pipe with a slow reader.
    for _ in range(100):
        reader.log.flush()
        for written in reader.read_writes():
            lines = written.splitlines(keepends=True)
            assert all(line.endswith(b'\n') for line in lines)
            assert len(written) <= events.WRITE_LIMIT_BYTES or len(lines) == 1
            numbers += [json.loads(line)['number'] for line in lines]
    assert numbers == list(range(202))
    reader.close()
