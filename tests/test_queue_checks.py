"""Runs the cases of ``check-queues`` in ``test-data/queue-checks.test``."""

import json
import pathlib

import pytest

from tests import test_commands
from tests import text_cases

CASES = text_cases.read_cases('queue-checks.test')


@pytest.mark.parametrize('case', CASES, ids=text_cases.name_case)
def test_faults_and_changes(
    case: text_cases.Case,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against queues that are sent with faults, or blamed wrongly."""
    monkeypatch.chdir(tmp_path)
    for name, text in case.inputs.items():
        (tmp_path / name).write_text(text)
    arguments = ['check-queues', 'queues.json']
    if 'in-force.json' in case.inputs:
        arguments += ['--against', 'in-force.json']
    status, output, _error_output = test_commands.run(*arguments)
    assert f'status {status}\n{output}'.strip() == case.expected
    status_of_json, output, _error_output = test_commands.run(
        *arguments, '--json'
    )
    document = json.loads(output)
    assert status_of_json == status == (3 if document['faults'] else 0)
    assert ('changes' in document) == ('in-force.json' in case.inputs)


def test_file_that_can_not_be_read() -> None:
    """Guards against an exit status of 0 after a wrong argument."""
    status, _output, error_output = test_commands.run('check-queues', 'none')
    assert (status, 'none: No such file' in error_output) == (2, True)
