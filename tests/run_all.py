"""Runs all tests except the known failures, which it prints.

Tests marked ``alone`` run one at a time after all others.

``python -m tests.run_all [PYTEST FLAG...]``; ``make test`` and CI use it.
"""

import pathlib
import subprocess
import sys
from typing import Final

import pytest

KNOWN_FAILURES_FILE: Final = (
    pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
)
TEST_LABEL: Final = 'test: '


def list_known_failures() -> list[str]:
    """Return the ids of the tests that are known to fail."""
    return [
        line.removeprefix(TEST_LABEL).strip()
        for line in KNOWN_FAILURES_FILE.read_text().splitlines()
        if line.startswith(TEST_LABEL)
    ]


def main() -> int:
    """Run the tests and return the first exit status that is no success."""
    print(KNOWN_FAILURES_FILE.read_text(), flush=True)
    flags = [f'--deselect={test}' for test in list_known_failures()]
    flags += sys.argv[1:]
    status = int(pytest.main(flags))
    # A process of its own, as pytest can't run twice in one.
    command = [sys.executable, '-m', 'pytest', *flags, '-n', '0', '-m']
    alone = subprocess.run([*command, 'alone'], check=False).returncode
    if alone == pytest.ExitCode.NO_TESTS_COLLECTED:
        alone = 0
    return status or alone


if __name__ == '__main__':
    sys.exit(main())
