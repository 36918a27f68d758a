"""Runs the cases of the configuration checks in test-data."""

import pathlib

import pytest

from borageshelf.configuration import checks
from tests import text_cases

CASES = text_cases.read_cases('configuration-checks.test')


@pytest.mark.parametrize('case', CASES, ids=text_cases.name_case)
def test_faults_of_a_set(
    case: text_cases.Case, tmp_path: pathlib.Path
) -> None:
    """Guards against faults that are missed or show a wrong file or line."""
    for name, text in case.inputs.items():
        (tmp_path / name).write_text(text)
    checked = checks.check_folder(tmp_path)
    assert '\n'.join(map(str, checked.faults)) == case.expected
    assert (checked.configuration is None) == bool(case.expected)
