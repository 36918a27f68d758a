"""Reads processor time, memory and traffic of processes from the kernel."""

import asyncio
import collections
from collections import abc
import dataclasses
import os
import pathlib
import re
from typing import Final

CLOCK_TICKS_PER_S: Final = os.sysconf('SC_CLK_TCK')
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
SOCKET_PID: Final = re.compile(r'pid=(\d+)')
SOCKET_BYTES: Final = re.compile(r'bytes_(sent|received):(\d+)')


@dataclasses.dataclass(frozen=True)
class Reading:
    """Resource use of one process since its start.

    :param resident_mb: resident memory at present
    :param traffic_bytes: bytes sent and received on each open connection
    """

    processor_s: float
    resident_mb: float
    traffic_bytes: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Cost:
    """Mean resource use over a window.

    :param processor_ms_per_s: milliseconds of processor time per second
    :param resident_mb: resident memory at the end of the window
    :param traffic_kb_per_s: bytes sent and received, in thousands per second
    """

    processor_ms_per_s: float
    resident_mb: float
    traffic_kb_per_s: float


async def read_all(pids: abc.Iterable[int]) -> dict[int, Reading]:
    """Return the present readings of processes."""
    traffic_by_pid = await _read_traffic_bytes()
    return {pid: _read_process(pid, traffic_by_pid[pid]) for pid in pids}


async def measure(pids: abc.Sequence[int], window_s: float) -> dict[int, Cost]:
    """Wait for a window; return the mean resource use of each process."""
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


def compute_mean_cost(costs: abc.Collection[Cost]) -> Cost:
    """Return the mean of the costs of several processes."""
    count = len(costs)
    return Cost(
        sum(cost.processor_ms_per_s for cost in costs) / count,
        sum(cost.resident_mb for cost in costs) / count,
        sum(cost.traffic_kb_per_s for cost in costs) / count,
    )


def _read_process(pid: int, traffic_bytes: dict[str, int]) -> Reading:
    folder = pathlib.Path('/proc') / str(pid)
    fields = folder.joinpath('stat').read_text().rpartition(')')[2].split()
    processor_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    pages = int(folder.joinpath('statm').read_text().split()[1])
    return Reading(processor_s, pages * PAGE_BYTES / 1e6, traffic_bytes)


def _count_traffic(before: Reading, after: Reading) -> int:
    """Return the bytes of the connections that are still open.

    Connections that were closed in the window carried requests of the bench
    and are not counted.
    """
    return sum(
        size - before.traffic_bytes.get(connection, 0)
        for connection, size in after.traffic_bytes.items()
    )


async def _read_traffic_bytes() -> dict[int, dict[str, int]]:
    """Return the bytes on each open TCP connection, by process id."""
    process = await asyncio.create_subprocess_exec(
        'ss', '-Htnip', stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    bytes_by_pid: dict[int, dict[str, int]] = collections.defaultdict(dict)
    pid, connection = 0, ''
    for line in output.decode().splitlines():
        owner = SOCKET_PID.search(line)
        if owner:
            pid = int(owner[1])
            connection = ' '.join(line.split()[3:5])
        sizes = [int(size) for _, size in SOCKET_BYTES.findall(line)]
        if sizes:
            bytes_by_pid[pid][connection] = sum(sizes)
    return bytes_by_pid
