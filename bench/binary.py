"""Measures the built executable; builds nothing itself.

``python -m bench.binary --file dist/borageshelf`` prints Markdown tables:
start-up time and memory of the executable beside the same code from the
source tree, and the system calls of an entry and an agent that work with the
stand-ins, counted by strace.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import os
import pathlib
import shutil
import signal
import statistics
import sys
import tempfile
import time
from typing import Final

from bench import binary_load
from bench import binary_surroundings
from bench import local_fleet
from bench import traces

SETTLE_S: Final = 3.0
# The drain time and as much again, for a loaded machine.
STOP_LIMIT_S: Final = 10.0
# Starts one thread and one process and shares one mapping, to show that the
# trace sees them.
CONTROL: Final = (
    'import mmap, os, threading\n'
    'mmap.mmap(-1, 4096)\n'
    'thread = threading.Thread(target=int)\n'
    'thread.start()\n'
    'thread.join()\n'
    'os.posix_spawn("/bin/true", ["true"], {})\n'
    'os.wait()\n'
)
BYTES_PER_MB: Final = 1_000_000
MS_PER_S: Final = 1_000
KB_PER_MB: Final = 1_000


@dataclasses.dataclass(frozen=True)
class Sample:
    """A process that was started, looked at and stopped.

    :param ready_ms: time until it reported that it had started
    :param exit_status: a negative number is the signal that ended it
    """

    ready_ms: float
    resident_mb: float
    threads: int
    exit_status: int


async def time_command(
    surroundings: binary_surroundings.Surroundings,
    program: binary_surroundings.Program,
) -> float:
    """Return the milliseconds of a run of ``--version``."""
    started = time.monotonic()
    process = await surroundings.launch(
        program.name, [*program.command, '--version']
    )
    status = await process.wait()
    if status != 0:
        raise RuntimeError(f'{program.name}: {list(process.lines)}')
    return (time.monotonic() - started) * MS_PER_S


async def run_pair(
    surroundings: binary_surroundings.Surroundings,
    program: binary_surroundings.Program,
) -> tuple[Sample, Sample]:
    """Run an entry and an agent for a moment."""
    inner = f'{local_fleet.HOST}:{local_fleet.find_free_ports(1)[0]}'
    entry, entry_ms = await _start_timed(
        surroundings,
        program,
        surroundings.make_entry_flags(inner),
    )
    agent, agent_ms = await _start_timed(
        surroundings, program, surroundings.make_agent_flags(inner)
    )
    await asyncio.sleep(SETTLE_S)
    agent_sample = await _measure_and_stop(agent, agent_ms)
    entry_sample = await _measure_and_stop(entry, entry_ms)
    return entry_sample, agent_sample


async def _start_timed(
    surroundings: binary_surroundings.Surroundings,
    program: binary_surroundings.Program,
    flags: list[str],
) -> tuple[local_fleet.Process, float]:
    started = time.monotonic()
    process = await surroundings.launch(flags[0], [*program.command, *flags])
    await process.wait_for_line(f'{flags[0]} started')
    return process, (time.monotonic() - started) * MS_PER_S


async def _measure_and_stop(
    process: local_fleet.Process, ready_ms: float
) -> Sample:
    status = _read_status(process.pid)
    process.send_signal(signal.SIGTERM)
    return Sample(
        ready_ms,
        int(status['VmRSS'].split()[0]) / KB_PER_MB,
        int(status['Threads']),
        await _find_exit_status(process),
    )


async def _find_exit_status(process: local_fleet.Process, pid: int = 0) -> int:
    """Return the exit status; a process that does not stop is killed.

    :param pid: the process behind strace, which ends with its status
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(STOP_LIMIT_S):
            return await process.wait()
    os.kill(pid or process.pid, signal.SIGKILL)
    return await process.wait()


def _read_status(pid: int) -> dict[str, str]:
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    pairs = (line.split(':', 1) for line in text.splitlines())
    return {name: value.strip() for name, value in pairs}


async def trace_pair(
    surroundings: binary_surroundings.Surroundings,
    program: binary_surroundings.Program,
    folder: pathlib.Path,
    memory_folder: pathlib.Path,
) -> dict[str, tuple[traces.Counts, int]]:
    """Trace an entry and an agent; returns counts and exit statuses."""
    inner = f'{local_fleet.HOST}:{local_fleet.find_free_ports(1)[0]}'
    flags = {
        'entry': surroundings.make_entry_flags(inner),
        'agent': surroundings.make_agent_flags(inner),
    }
    running: dict[str, tuple[local_fleet.Process, pathlib.Path]] = {}
    for name, arguments in flags.items():
        output = folder / f'{name}.trace'
        process = await surroundings.launch(
            name,
            [*_make_trace_command(output), *program.command, *arguments],
        )
        running[name] = (process, output)
        await process.wait_for_line(f'{name} started')
    await binary_load.publish(surroundings.store_url, surroundings.admin_url)
    outcome = await binary_load.drive(surroundings.caller_url)
    print(
        f'Traced load: {outcome.calls} of {binary_load.CALLS} calls and '
        f'{outcome.jobs} of {binary_load.JOBS} jobs succeeded\n'
    )
    found = {}
    for name, (process, output) in reversed(running.items()):
        # strace ends with the status of the process that it traces.
        lines = output.read_text().splitlines()
        pid = traces.find_first_pid(lines)
        os.kill(pid, signal.SIGTERM)
        status = await _find_exit_status(process, pid)
        lines = output.read_text().splitlines()
        found[name] = (traces.count_calls(lines, str(memory_folder)), status)
    return found


async def trace_control(
    surroundings: binary_surroundings.Surroundings,
    folder: pathlib.Path,
    memory_folder: pathlib.Path,
) -> tuple[traces.Counts, int]:
    """Trace a program that makes the calls which are looked for."""
    output = folder / 'control.trace'
    command = [*_make_trace_command(output), sys.executable, '-c', CONTROL]
    process = await surroundings.launch('control', command)
    status = await process.wait()
    lines = output.read_text().splitlines()
    return traces.count_calls(lines, str(memory_folder)), status


def _make_trace_command(output: pathlib.Path) -> list[str]:
    return [
        'strace',
        '-f',
        '-qq',
        '-o',
        str(output),
        '-e',
        f'trace={traces.TRACED}',
        '-e',
        'signal=none',
    ]


def measure_folder_mb(folder: pathlib.Path) -> float:
    """Return the size of all files under a folder."""
    files = (path for path in folder.rglob('*') if path.is_file())
    return sum(path.stat().st_size for path in files) / BYTES_PER_MB


async def measure(
    file: pathlib.Path, repeats: int, memory_folder: pathlib.Path
) -> None:
    """Print all tables.

    :param memory_folder: folder in memory, where operators are told to let
        the file unpack itself, and where shared memory would lie
    """
    binary = binary_surroundings.Program('executable', (str(file),))
    source = binary_surroundings.Program(
        'source', (sys.executable, '-m', 'borageshelf.main')
    )
    with contextlib.ExitStack() as stack:
        in_memory = _make_folder(stack, memory_folder)
        print(f'File size: {file.stat().st_size / BYTES_PER_MB:.1f} MB')
        async with binary_surroundings.Surroundings(in_memory) as surroundings:
            first_ms = await time_command(surroundings, binary)
            print(f'First start, which unpacks: {first_ms:.0f} ms\n')
            await _print_commands(surroundings, (binary, source), repeats)
            await _print_pairs(surroundings, (binary, source), repeats)
            # Byte code is written beside the modules as they are imported.
            unpacked_mb = measure_folder_mb(in_memory)
            print(f'Unpacked, with byte code: {unpacked_mb:.1f} MB\n')
        if shutil.which('strace') is None:
            print('strace is not installed; system calls were not counted.')
            return
        # Outside the memory folder, whose use counts as shared memory.
        on_disk = _make_folder(stack, None)
        async with binary_surroundings.Surroundings(on_disk) as surroundings:
            await time_command(surroundings, binary)
            counts = await trace_pair(
                surroundings, binary, on_disk, memory_folder
            )
            control = await trace_control(surroundings, on_disk, memory_folder)
            counts['control program'] = control
        _print_counts(counts)


def _make_folder(
    stack: contextlib.ExitStack, parent: pathlib.Path | None
) -> pathlib.Path:
    if parent is not None and not parent.is_dir():
        parent = None
    folder = tempfile.TemporaryDirectory(prefix='borageshelf-', dir=parent)
    return pathlib.Path(stack.enter_context(folder))


async def _print_commands(
    surroundings: binary_surroundings.Surroundings,
    programs: tuple[binary_surroundings.Program, ...],
    repeats: int,
) -> None:
    """Print the times of a command that ends at once, interleaved."""
    times: dict[str, list[float]] = {item.name: [] for item in programs}
    for _ in range(repeats):
        for program in programs:
            times[program.name].append(
                await time_command(surroundings, program)
            )
    print('| `--version` | median ms | min | max |')
    print('|---|---|---|---|')
    for name, found in times.items():
        print(
            f'| {name} | {statistics.median(found):.0f} '
            f'| {min(found):.0f} | {max(found):.0f} |'
        )
    print()


async def _print_pairs(
    surroundings: binary_surroundings.Surroundings,
    programs: tuple[binary_surroundings.Program, ...],
    repeats: int,
) -> None:
    """Print start-up time and memory of running processes, interleaved."""
    samples: dict[str, list[Sample]] = {}
    for _ in range(repeats):
        for program in programs:
            entry, agent = await run_pair(surroundings, program)
            samples.setdefault(f'entry, {program.name}', []).append(entry)
            samples.setdefault(f'agent, {program.name}', []).append(agent)
    print(
        '| process | ready after, median ms | resident MB, max | threads, '
        'max | exit statuses |'
    )
    print('|---|---|---|---|---|')
    for name, found in samples.items():
        ready_ms = statistics.median(item.ready_ms for item in found)
        resident_mb = max(item.resident_mb for item in found)
        threads = max(item.threads for item in found)
        statuses = sorted({item.exit_status for item in found})
        print(
            f'| {name} | {ready_ms:.0f} | {resident_mb:.1f} | {threads} '
            f'| {statuses} |'
        )
    print()


def _print_counts(
    counts: dict[str, tuple[traces.Counts, int]],
) -> None:
    """Print what strace saw."""
    print(
        '| process | programs started | processes | threads | io_uring | '
        'shared memory | exit status |'
    )
    print('|---|---|---|---|---|---|---|')
    for name, (found, status) in counts.items():
        print(
            f'| {name} | {len(found.execs)} | {found.processes} '
            f'| {found.threads} | {found.io_uring} '
            f'| {len(found.shared_memory)} | {status} |'
        )
    for name, (found, _) in counts.items():
        print(f'\nPrograms of {name}: {", ".join(found.execs)}')
        for call in found.shared_memory:
            print(f'Shared memory of {name}: {call}')


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--file', type=pathlib.Path, default=pathlib.Path('dist/borageshelf')
    )
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--memory-folder', type=pathlib.Path, required=True)
    flags = parser.parse_args()
    if not flags.file.is_file():
        parser.error(f'{flags.file} does not exist; run make binary')
    # SIGTERM ends the processes that were started, like an interrupt.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    asyncio.run(
        measure(flags.file.resolve(), flags.repeats, flags.memory_folder)
    )


if __name__ == '__main__':
    main()
