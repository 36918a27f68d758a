"""Signals that reach a program before it has installed its handlers."""

import pathlib
import signal
import subprocess
import sys
import time

import pytest

from borageshelf.commands import statuses


def ignores_reload(pid: int) -> bool:
    """Tell whether a process ignores SIGHUP."""
    lines = pathlib.Path(f'/proc/{pid}/status').read_text().splitlines()
    (ignored,) = (line for line in lines if line.startswith('SigIgn'))
    return bool(int(ignored.split()[1], 16) & 1 << signal.SIGHUP - 1)


@pytest.mark.parametrize('command', ['workflow-entry', 'workflow-agent'])
def test_reload_while_the_program_loads_does_not_end_it(command: str) -> None:
    """Guards against a process that a change of its settings kills."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'borageshelf.main', command]
        + ['--node-file', '/none.json'],
        stderr=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    )
    while process.poll() is None and not ignores_reload(process.pid):
        time.sleep(0.001)
    assert process.returncode is None
    process.send_signal(signal.SIGHUP)
    assert process.wait(60) == statuses.WRONG_SETTINGS
