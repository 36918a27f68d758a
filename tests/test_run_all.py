"""Checks the list of known failures, which `make test` passes over."""

import pathlib

from tests import run_all

ROOT = pathlib.Path(__file__).parents[1]


def test_each_known_failure_names_a_test() -> None:
    """Guards against entries that pass over nothing, or over a whole file."""
    for test in run_all.list_known_failures():
        path, _, name = test.partition('::')
        function = name.partition('[')[0]
        assert f'\ndef {function}(' in (ROOT / path).read_text(), test


def test_each_entry_tells_how_to_see_the_failure() -> None:
    """Guards against entries without a command, a result or an issue."""
    entries = run_all.KNOWN_FAILURES_FILE.read_text().strip().split('\n\n')
    for entry in entries:
        labels = [line.partition(': ')[0] for line in entry.splitlines()]
        assert labels[-3:] == ['command', 'seen', 'issue'], entry
        assert {*labels[:-3]} <= {'test', 'case'}, entry
        assert labels[0] in ('test', 'case'), entry
