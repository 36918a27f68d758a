"""Processor time, memory and traffic of processes, from the kernel."""

import asyncio
import collections
from collections import abc
import dataclasses
import os
import pathlib
import re
from typing import Final

TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
SOCKET_OWNER: Final = re.compile(r'pid=(\d+)')
SOCKET_BYTES: Final = re.compile(r'bytes_(sent|received):(\d+)')


@dataclasses.dataclass(frozen=True)
class Reading:
    """Totals of one process since its start.

    :param traffic_bytes: bytes sent and received by open connection
    """

    processor_s: float
    resident_mb: float
    traffic_bytes: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Cost:
    """Mean cost over a window.

    :param processor_ms_per_s: milliseconds of processor time in a second
    :param traffic_kb_per_s: bytes sent and received, in thousands a second
    """

    processor_ms_per_s: float
    resident_mb: float
    traffic_kb_per_s: float


async def read_all(pids: abc.Iterable[int]) -> dict[int, Reading]:
    """Return the totals of some processes."""
    traffic = await _read_traffic()
    return {pid: _read_process(pid, traffic[pid]) for pid in pids}


async def measure(pids: abc.Sequence[int], window_s: float) -> dict[int, Cost]:
    """Return the mean cost of processes over a window."""
    loop = asyncio.get_running_loop()
    before, started = await read_all(pids), loop.time()
    await asyncio.sleep(window_s)
    after, elapsed_s = await read_all(pids), loop.time() - started
    return {
        pid: Cost(
            (after[pid].processor_s - before[pid].processor_s)
            * 1000
            / elapsed_s,
            after[pid].resident_mb,
            _count_traffic(before[pid], after[pid]) / 1000 / elapsed_s,
        )
        for pid in pids
    }


def average(costs: abc.Collection[Cost]) -> Cost:
    """Return the mean of several costs."""
    count = len(costs)
    return Cost(
        sum(cost.processor_ms_per_s for cost in costs) / count,
        sum(cost.resident_mb for cost in costs) / count,
        sum(cost.traffic_kb_per_s for cost in costs) / count,
    )


def _read_process(pid: int, traffic_bytes: dict[str, int]) -> Reading:
    folder = pathlib.Path('/proc') / str(pid)
    fields = folder.joinpath('stat').read_text().rpartition(')')[2].split()
    processor_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    pages = int(folder.joinpath('statm').read_text().split()[1])
    return Reading(processor_s, pages * PAGE_BYTES / 1e6, traffic_bytes)


def _count_traffic(before: Reading, after: Reading) -> int:
    """Return the bytes of the connections that are still open.

    Those that closed in the window are not counted; they belong to the
    requests of the bench.
    """
    return sum(
        size - before.traffic_bytes.get(connection, 0)
        for connection, size in after.traffic_bytes.items()
    )


async def _read_traffic() -> dict[int, dict[str, int]]:
    """Return the bytes of open TCP connections by process."""
    process = await asyncio.create_subprocess_exec(
        'ss', '-Htnip', stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    totals: dict[int, dict[str, int]] = collections.defaultdict(dict)
    pid, connection = 0, ''
    for line in output.decode().splitlines():
        owner = SOCKET_OWNER.search(line)
        if owner:
            pid = int(owner[1])
            connection = ' '.join(line.split()[3:5])
        sizes = [int(size) for _, size in SOCKET_BYTES.findall(line)]
        if sizes:
            totals[pid][connection] = sum(sizes)
    return totals
