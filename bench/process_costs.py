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
    """Totals of one process since its start."""

    processor_s: float
    resident_mb: float
    traffic_bytes: int


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
            (after[pid].traffic_bytes - before[pid].traffic_bytes)
            / 1000
            / elapsed_s,
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


def _read_process(pid: int, traffic_bytes: int) -> Reading:
    folder = pathlib.Path('/proc') / str(pid)
    fields = folder.joinpath('stat').read_text().rpartition(')')[2].split()
    processor_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    pages = int(folder.joinpath('statm').read_text().split()[1])
    return Reading(processor_s, pages * PAGE_BYTES / 1e6, traffic_bytes)


async def _read_traffic() -> collections.Counter[int]:
    """Return bytes of all open TCP connections by process.

    The connections of interest stay open during a window; one that closes
    is missing from the second reading.
    """
    process = await asyncio.create_subprocess_exec(
        'ss', '-Htnip', stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    totals: collections.Counter[int] = collections.Counter()
    pid = 0
    for line in output.decode().splitlines():
        owner = SOCKET_OWNER.search(line)
        if owner:
            pid = int(owner[1])
        for _, size in SOCKET_BYTES.findall(line):
            totals[pid] += int(size)
    return totals
