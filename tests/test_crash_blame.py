"""Test cases of blame for crashes in ``test-data/crash-blame.test``."""

import pytest

from borageshelf.decisions import crash_blame
from tests import text_cases

CASES = text_cases.read_cases('crash-blame.test')


def judge(text: str) -> str:
    """Judge the crashes of a case, and describe the tasks after them."""
    histories: dict[str, crash_blame.History] = {}
    spontaneous_per_s = 0.0
    for line in text.splitlines():
        kind, *words = line.split()
        if kind == 'rate':
            spontaneous_per_s = float(words[0])
            continue
        isolated = {word[0] for word in words if word[1] == '!'}
        ages = dict(word.replace('!', '').split('=') for word in words)
        runs = [
            crash_blame.CrashedRun(
                histories.get(task, crash_blame.NO_CRASHES),
                None if age == '?' else int(age),
                task in isolated,
            )
            for task, age in ages.items()
        ]
        verdict = crash_blame.judge_crash(runs, spontaneous_per_s)
        histories.update(zip(ages, verdict.histories, strict=True))
    lines = []
    for task, history in sorted(histories.items()):
        if history.is_at_fault:
            lines.append(f'{task} at fault')
        elif history.is_suspect:
            lines.append(f'{task} suspected')
    return '\n'.join(lines) or 'nobody'


@pytest.mark.parametrize('case', CASES, ids=text_cases.name_case)
def test_case(case: text_cases.Case) -> None:
    assert judge(case.inputs['']) == case.expected
