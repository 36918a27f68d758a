"""Tests that no forbidden system call is missing from the counts."""

from bench import traces

OUTPUT = """\
7 execve("dist/borageshelf", ["dist/borageshelf"], 0x7ffd /* 9 vars */) = 0
7 execve("/sbin/python3", ["python3"], 0x7ffe /* 9 vars */) = -1 ENOENT (No)
7 execve("/usr/bin/python3", ["python3"], 0x7ffe /* 9 vars */) = 0
7 mmap(NULL, 8192, PROT_READ|PROT_WRITE, MAP_PRIVATE|MAP_ANONYMOUS, -1, 0) = 1
7 mmap(NULL, 27028, PROT_READ, MAP_SHARED, 3, 0) = 0x7f
7 mmap(NULL, 4096, PROT_READ|PROT_WRITE, MAP_SHARED, 3, 0) = 0x7f
7 clone3({flags=CLONE_VM|CLONE_FS|CLONE_THREAD, stack=0x7f}, 88) = 8
7 clone3({flags=CLONE_VM|CLONE_VFORK, exit_signal=SIGCHLD}, 88) = 9
7 clone(child_stack=NULL, flags=CLONE_CHILD_SETTID|SIGCHLD <unfinished ...>
8 <... clone resumed>, child_tidptr=0x7f) = 10
7 vfork() = 11
7 io_uring_setup(8, {flags=0}) = 5
7 memfd_create("x", 0) = 6
7 openat(AT_FDCWD, "/dev/shm/sem.x", O_RDWR|O_CREAT, 0600) = 7
7 openat(AT_FDCWD, "/etc/hosts", O_RDONLY) = 7
7 --- SIGTERM {si_signo=SIGTERM} ---
7 +++ exited with 0 +++
"""


def test_forbidden_calls_are_counted() -> None:
    """Guards against a new process that is counted as a thread.

    A clone makes a thread only with CLONE_THREAD and a process otherwise.
    """
    counts = traces.count_calls(OUTPUT.splitlines(), '/dev/shm')
    assert counts.threads == 1
    assert counts.processes == 3
    assert counts.execs == ['"dist/borageshelf"', '"/usr/bin/python3"']
    assert counts.io_uring == 1
    assert [call.split('(')[0] for call in counts.shared_memory] == [
        'mmap',
        'memfd_create',
        'openat',
    ]
    assert traces.find_first_pid(OUTPUT.splitlines()) == 7
