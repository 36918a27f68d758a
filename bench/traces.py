"""Counts of the system calls that a process of the system must not make.

Reads the output of ``strace -f``. A process may start threads, but no other
process, and uses no io_uring and no shared memory.
"""

from collections import abc
import dataclasses
import re
from typing import Final

TRACED: Final = (
    'clone,clone3,fork,vfork,execve,execveat,io_uring_setup,io_uring_enter,'
    'io_uring_register,shmget,shmat,shmctl,memfd_create,mmap,openat,mq_open'
)
# Calls that are always of interest, by name.
IO_URING: Final = ('io_uring_setup', 'io_uring_enter', 'io_uring_register')
SHARED_MEMORY: Final = ('shmget', 'shmat', 'shmctl', 'memfd_create', 'mq_open')

_CALL: Final = re.compile(r'^(?P<pid>\d+)\s+(?P<name>\w+)\((?P<rest>.*)$')
_RESUMED: Final = re.compile(r'^\d+\s+<\.\.\. \w+ resumed>')
_FAILED: Final = re.compile(r'= -1 E[A-Z]+')


@dataclasses.dataclass
class Counts:
    """What a traced process did.

    :param execs: programs that were started, the process itself included
    :param shared_memory: calls and mappings, as strace printed them
    """

    threads: int = 0
    processes: int = 0
    execs: list[str] = dataclasses.field(default_factory=list)
    io_uring: int = 0
    shared_memory: list[str] = dataclasses.field(default_factory=list)


def count_calls(lines: abc.Iterable[str], shared_folder: str) -> Counts:
    """Count the calls in the output of strace.

    A call that another thread interrupts is printed in two lines; the first
    has its name and arguments and is the one that counts.

    :param shared_folder: folder whose files are memory of several processes
    """
    counts = Counts()
    for line in lines:
        found = _CALL.match(line)
        if found is None or _RESUMED.match(line) or _FAILED.search(line):
            continue
        _count_call(counts, found['name'], found['rest'], shared_folder)
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
    elif name in IO_URING:
        counts.io_uring += 1
    elif name in SHARED_MEMORY or _shares_memory(name, rest, shared_folder):
        counts.shared_memory.append(f'{name}({rest}')


def _shares_memory(name: str, rest: str, shared_folder: str) -> bool:
    """Tell whether memory becomes visible to other processes.

    A shared mapping that cannot be written is a file that is read.
    """
    if name == 'mmap':
        return 'MAP_SHARED' in rest and 'PROT_WRITE' in rest
    return name == 'openat' and f'"{shared_folder}/' in rest


def find_first_pid(lines: abc.Iterable[str]) -> int:
    """Return the id of the traced process.

    :raises ValueError: if there is no call yet
    """
    for line in lines:
        found = _CALL.match(line)
        if found is not None:
            return int(found['pid'])
    raise ValueError('the trace is empty')
