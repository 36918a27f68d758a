"""Measures the built executable, which must exist.

``python -m bench.binary --file dist/borageshelf`` prints Markdown tables: the
start-up time and memory of the executable and of the same code run from the
source tree, and the system calls, counted with strace, of an entry and an
agent under load with the stand-ins.
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

from bench import binary_environment
from bench import binary_load
from bench import free_ports
from bench import local_fleet
from bench import traces

IDLE_BEFORE_MEASURE_S: Final = 3.0
# Twice the drain time, because a loaded machine may stop slowly.
STOP_TIMEOUT_S: Final = 10.0
# Starts one thread and one process and creates one shared mapping. The trace
# must report all three.
CONTROL_PROGRAM: Final = (
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
    """Measurements of a process that was started and stopped.

    :param ready_ms: time until the process reported that it had started
    :param exit_status: if negative, the number of the signal that ended it
    """

    ready_ms: float
    resident_mb: float
    threads: int
    exit_status: int


async def measure_command_ms(
    environment: binary_environment.MeasurementEnvironment,
    program: binary_environment.Program,
) -> float:
    """Run ``--version`` and return its duration in milliseconds.

    :raises RuntimeError: if the command fails
    """
    started_s = time.monotonic()
    process = await environment.launch(
        program.name, [*program.command, '--version']
    )
    status = await process.wait()
    if status != 0:
        raise RuntimeError(
            f'{program.name} --version failed: {list(process.lines)}'
        )
    return (time.monotonic() - started_s) * MS_PER_S


async def run_pair(
    environment: binary_environment.MeasurementEnvironment,
    program: binary_environment.Program,
) -> tuple[Sample, Sample]:
    """Start an entry and an agent, measure both and stop them."""
    inner_address = f'{local_fleet.HOST}:{free_ports.find_free_ports(1)[0]}'
    entry, entry_ms = await _start_timed(
        environment,
        program,
        environment.make_entry_flags(inner_address),
    )
    agent, agent_ms = await _start_timed(
        environment, program, environment.make_agent_flags(inner_address)
    )
    await asyncio.sleep(IDLE_BEFORE_MEASURE_S)
    agent_sample = await _measure_and_stop(agent, agent_ms)
    entry_sample = await _measure_and_stop(entry, entry_ms)
    return entry_sample, agent_sample


async def _start_timed(
    environment: binary_environment.MeasurementEnvironment,
    program: binary_environment.Program,
    flags: list[str],
) -> tuple[local_fleet.Process, float]:
    started_s = time.monotonic()
    process = await environment.launch(flags[0], [*program.command, *flags])
    await process.wait_for_line(f'{flags[0]} started')
    return process, (time.monotonic() - started_s) * MS_PER_S


async def _measure_and_stop(
    process: local_fleet.Process, ready_ms: float
) -> Sample:
    status = _read_status(process.pid)
    process.send_signal(signal.SIGTERM)
    return Sample(
        ready_ms,
        int(status['VmRSS'].split()[0]) / KB_PER_MB,
        int(status['Threads']),
        await _wait_for_exit_status(process),
    )


async def _wait_for_exit_status(
    process: local_fleet.Process, pid: int = 0
) -> int:
    """Wait for a process; kill it after ``STOP_TIMEOUT_S``.

    :param pid: process that strace traces and whose exit status it returns;
        0 if the process itself is to be killed
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await process.wait()
    os.kill(pid or process.pid, signal.SIGKILL)
    return await process.wait()


def _read_status(pid: int) -> dict[str, str]:
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    pairs = (line.split(':', 1) for line in text.splitlines())
    return {name: value.strip() for name, value in pairs}


async def trace_pair(
    environment: binary_environment.MeasurementEnvironment,
    program: binary_environment.Program,
    folder: pathlib.Path,
    memory_folder: pathlib.Path,
) -> dict[str, tuple[traces.Counts, int]]:
    """Trace an entry and an agent; return counts and exit statuses."""
    inner_address = f'{local_fleet.HOST}:{free_ports.find_free_ports(1)[0]}'
    flags = {
        'entry': environment.make_entry_flags(inner_address),
        'agent': environment.make_agent_flags(inner_address),
    }
    running: dict[str, tuple[local_fleet.Process, pathlib.Path]] = {}
    for name, arguments in flags.items():
        output = folder / f'{name}.trace'
        process = await environment.launch(
            name,
            [*_make_trace_command(output), *program.command, *arguments],
        )
        running[name] = (process, output)
        await process.wait_for_line(f'{name} started')
    await binary_load.publish(environment.store_url, environment.admin_url)
    outcome = await binary_load.drive(environment.caller_url)
    print(
        f'Traced load: {outcome.succeeded_calls} of '
        f'{binary_load.CALL_COUNT} calls and {outcome.succeeded_jobs} of '
        f'{binary_load.JOB_COUNT} jobs succeeded\n'
    )
    results = {}
    for name, (process, output) in reversed(running.items()):
        # strace exits with the status of the process that it traces.
        lines = output.read_text().splitlines()
        pid = traces.find_first_pid(lines)
        os.kill(pid, signal.SIGTERM)
        status = await _wait_for_exit_status(process, pid)
        lines = output.read_text().splitlines()
        results[name] = (traces.count_calls(lines, str(memory_folder)), status)
    return results


async def trace_control(
    environment: binary_environment.MeasurementEnvironment,
    folder: pathlib.Path,
    memory_folder: pathlib.Path,
) -> tuple[traces.Counts, int]:
    """Trace a program that makes calls which the trace must report."""
    output = folder / 'control.trace'
    command = [
        *_make_trace_command(output),
        sys.executable,
        '-c',
        CONTROL_PROGRAM,
    ]
    process = await environment.launch('control', command)
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
        f'trace={traces.TRACED_CALLS}',
        '-e',
        'signal=none',
    ]


def measure_folder_mb(folder: pathlib.Path) -> float:
    """Return the total size of the files in a folder, in MB."""
    files = (path for path in folder.rglob('*') if path.is_file())
    return sum(path.stat().st_size for path in files) / BYTES_PER_MB


async def measure(
    file: pathlib.Path, repetitions: int, memory_folder: pathlib.Path
) -> None:
    """Print all tables.

    :param memory_folder: folder in memory, in which operators are told to let
        the executable unpack itself; it would also hold shared memory
    """
    executable = binary_environment.Program('executable', (str(file),))
    source = binary_environment.Program(
        'source', (sys.executable, '-m', 'borageshelf.main')
    )
    with contextlib.ExitStack() as stack:
        in_memory = _make_folder(stack, memory_folder)
        print(f'File size: {file.stat().st_size / BYTES_PER_MB:.1f} MB')
        async with binary_environment.MeasurementEnvironment(
            in_memory
        ) as environment:
            first_ms = await measure_command_ms(environment, executable)
            print(f'First start, which unpacks: {first_ms:.0f} ms\n')
            await _print_commands(
                environment, (executable, source), repetitions
            )
            await _print_pairs(environment, (executable, source), repetitions)
            # Imports of the runs above have written byte code beside the
            # modules.
            unpacked_mb = measure_folder_mb(in_memory)
            print(f'Unpacked, with byte code: {unpacked_mb:.1f} MB\n')
        if shutil.which('strace') is None:
            print('strace is not installed; system calls were not counted.')
            return
        # Not in the memory folder, whose files would count as shared memory.
        on_disk = _make_folder(stack, None)
        async with binary_environment.MeasurementEnvironment(
            on_disk
        ) as environment:
            await measure_command_ms(environment, executable)
            counts = await trace_pair(
                environment, executable, on_disk, memory_folder
            )
            control = await trace_control(environment, on_disk, memory_folder)
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
    environment: binary_environment.MeasurementEnvironment,
    programs: tuple[binary_environment.Program, ...],
    repetitions: int,
) -> None:
    """Measure ``--version`` of all programs in turn; print the times."""
    durations_by_program: dict[str, list[float]] = {
        item.name: [] for item in programs
    }
    for _ in range(repetitions):
        for program in programs:
            durations_by_program[program.name].append(
                await measure_command_ms(environment, program)
            )
    print('| `--version` | median ms | min | max |')
    print('|---|---|---|---|')
    for name, durations_ms in durations_by_program.items():
        print(
            f'| {name} | {statistics.median(durations_ms):.0f} '
            f'| {min(durations_ms):.0f} | {max(durations_ms):.0f} |'
        )
    print()


async def _print_pairs(
    environment: binary_environment.MeasurementEnvironment,
    programs: tuple[binary_environment.Program, ...],
    repetitions: int,
) -> None:
    """Measure entry and agent of all programs in turn; print the results."""
    samples: dict[str, list[Sample]] = {}
    for _ in range(repetitions):
        for program in programs:
            entry, agent = await run_pair(environment, program)
            samples.setdefault(f'entry, {program.name}', []).append(entry)
            samples.setdefault(f'agent, {program.name}', []).append(agent)
    print(
        '| process | ready after, median ms | resident MB, max | threads, '
        'max | exit statuses |'
    )
    print('|---|---|---|---|---|')
    for name, process_samples in samples.items():
        ready_ms = statistics.median(
            sample.ready_ms for sample in process_samples
        )
        resident_mb = max(sample.resident_mb for sample in process_samples)
        threads = max(sample.threads for sample in process_samples)
        statuses = sorted({sample.exit_status for sample in process_samples})
        print(
            f'| {name} | {ready_ms:.0f} | {resident_mb:.1f} | {threads} '
            f'| {statuses} |'
        )
    print()


def _print_counts(
    counts: dict[str, tuple[traces.Counts, int]],
) -> None:
    """Print the system calls that strace reported."""
    print(
        '| process | programs started | processes | threads | io_uring | '
        'shared memory | exit status |'
    )
    print('|---|---|---|---|---|---|---|')
    for name, (totals, status) in counts.items():
        print(
            f'| {name} | {len(totals.execs)} | {totals.processes} '
            f'| {totals.threads} | {totals.io_uring} '
            f'| {len(totals.shared_memory)} | {status} |'
        )
    for name, (totals, _) in counts.items():
        print(f'\nPrograms of {name}: {", ".join(totals.execs)}')
        for call in totals.shared_memory:
            print(f'Shared memory of {name}: {call}')


def main() -> None:
    """Run the measurement for the flags of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--file', type=pathlib.Path, default=pathlib.Path('dist/borageshelf')
    )
    parser.add_argument('--repeats', type=int, default=5)
    parser.add_argument('--memory-folder', type=pathlib.Path, required=True)
    flags = parser.parse_args()
    if not flags.file.is_file():
        parser.error(f'{flags.file} does not exist; run make binary')
    # On SIGTERM, end the started processes as on an interrupt.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    asyncio.run(
        measure(flags.file.resolve(), flags.repeats, flags.memory_folder)
    )


if __name__ == '__main__':
    main()
