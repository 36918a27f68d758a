"""Counts system calls that entries and agents must not make.

Reads the output of ``strace -f``. A process may start threads. It must not
start other processes or use io_uring or shared memory.
"""

from collections import abc
import dataclasses
import re
from typing import Final

TRACED_CALLS: Final = (
    'clone,clone3,fork,vfork,execve,execveat,io_uring_setup,io_uring_enter,'
    'io_uring_register,shmget,shmat,shmctl,memfd_create,mmap,openat,mq_open'
)
# Calls that count whatever their arguments are.
IO_URING_CALLS: Final = (
    'io_uring_setup',
    'io_uring_enter',
    'io_uring_register',
)
SHARED_MEMORY_CALLS: Final = (
    'shmget',
    'shmat',
    'shmctl',
    'memfd_create',
    'mq_open',
)

_CALL_LINE: Final = re.compile(r'^(?P<pid>\d+)\s+(?P<name>\w+)\((?P<rest>.*)$')
_RESUMED_LINE: Final = re.compile(r'^\d+\s+<\.\.\. \w+ resumed>')
_FAILED_RESULT: Final = re.compile(r'= -1 E[A-Z]+')


@dataclasses.dataclass
class Counts:
    """System calls of interest that a traced process made.

    :param execs: programs that were executed, including the process itself
    :param shared_memory: calls that create or open shared memory, as strace
        printed them
    """

    threads: int = 0
    processes: int = 0
    execs: list[str] = dataclasses.field(default_factory=list)
    io_uring: int = 0
    shared_memory: list[str] = dataclasses.field(default_factory=list)


def count_calls(lines: abc.Iterable[str], shared_folder: str) -> Counts:
    """Count the successful calls in the output of strace.

    strace prints a call in two lines if another thread makes a call before it
    returns. The first line has the name and the arguments and is counted; the
    second is ignored.

    :param shared_folder: folder whose files are shared memory, the mount point
        of tmpfs that POSIX shared memory uses
    """
    counts = Counts()
    for line in lines:
        call = _CALL_LINE.match(line)
        if (
            call is None
            or _RESUMED_LINE.match(line)
            or _FAILED_RESULT.search(line)
        ):
            continue
        _count_call(counts, call['name'], call['rest'], shared_folder)
    return counts


def _count_call(
    counts: Counts, name: str, rest: str, shared_folder: str
) -> None:
    if name in ('clone', 'clone3'):
        if 'CLONE_THREAD' in rest:
            counts.threads += 1
        else:
            counts.processes += 1
    elif name in ('fork', 'vfork'):
        counts.processes += 1
    elif name in ('execve', 'execveat'):
        counts.execs.append(rest.split(', [')[0])
    elif name in IO_URING_CALLS:
        counts.io_uring += 1
    elif name in SHARED_MEMORY_CALLS or _is_memory_shared(
        name, rest, shared_folder
    ):
        counts.shared_memory.append(f'{name}({rest}')


def _is_memory_shared(name: str, rest: str, shared_folder: str) -> bool:
    """Return whether a call makes memory visible to other processes.

    A shared mapping without write access only reads a file.
    """
    if name == 'mmap':
        return 'MAP_SHARED' in rest and 'PROT_WRITE' in rest
    return name == 'openat' and f'"{shared_folder}/' in rest


def find_first_pid(lines: abc.Iterable[str]) -> int:
    """Return the process id in the first traced call.

    :raises ValueError: if the trace has no call yet
    """
    for line in lines:
        call = _CALL_LINE.match(line)
        if call is not None:
            return int(call['pid'])
    raise ValueError('trace contains no system call')
