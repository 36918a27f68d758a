"""Test cases of placement in ``test-data/placement-choice.test``."""

import dataclasses
import random
from typing import Any

import pytest

from borageshelf.decisions import interference
from borageshelf.decisions import placement
from borageshelf.decisions import views
from borageshelf.model import objects
from borageshelf.model import resources
from tests import text_cases

NOW_MS = 1_000_000_000
CASES = text_cases.read_cases('placement-choice.test')


def parse_size(text: str) -> resources.Resources:
    """Parse a size of the form cores/GB/accelerators."""
    cores, memory_gb, accelerators = text.split('/')
    return resources.Resources(
        int(cores) * 1000, int(memory_gb) * 1000, int(accelerators)
    )


def parse_fields(words: list[str]) -> dict[str, str]:
    """Parse words of the form ``name=value``."""
    return dict(word.split('=', 1) for word in words)


def parse_target(target_id: str, fields: dict[str, str]) -> views.TargetView:
    """Return the target of a line, without running attempts."""
    capacity = parse_size(fields.get('capacity', '60/250/0'))
    return views.TargetView(
        target_id=target_id,
        data_centre=fields.get('centre', 'tajo-norte'),
        rack=fields.get('rack', 'r1'),
        vm_boot_id='vm',
        agent_boot_id='agent',
        capacity=capacity,
        free=capacity,
        leaving='leaving' in fields,
        quarantined_until_deadline_ms=NOW_MS + 1
        if 'quarantined' in fields
        else 0,
        service=fields.get('service', ''),
        failure_share=float(fields.get('failures', '0')),
        on_probation='probation' in fields,
    )


def add_running(
    target: views.TargetView, task_id: str, fields: dict[str, str]
) -> views.TargetView:
    """Return the target with one more running attempt."""
    size = parse_size(fields['size'])
    running = views.RunningView(
        task_id,
        'ledger',
        'team',
        int(fields['urgency']),
        size,
        is_movable=fields.get('movable', '1') == '1',
    )
    return dataclasses.replace(
        target,
        running=(*target.running, running),
        free=target.free.minus(size),
    )


def parse_task(fields: dict[str, str]) -> views.TaskView:
    """Return the task of a case."""

    def split(name: str) -> tuple[str, ...]:
        return tuple(fields[name].split(',')) if name in fields else ()

    waited_ms = int(fields.get('waited', '600')) * 1000
    return views.TaskView(
        task_id='job/0',
        family=fields.get('family', 'ledger'),
        team='team',
        declared=parse_size(fields['size']),
        urgency=int(fields.get('urgency', '0')),
        spread=fields.get('spread', 'none'),
        sibling_racks=split('sibling_racks'),
        sibling_data_centres=split('sibling_centres'),
        failed_targets=split('failed'),
        waiting_since_ms=NOW_MS - waited_ms,
    )


def run_case(case: text_cases.Case) -> str:
    """Return the decision on the task of a case as text."""
    targets: list[views.TargetView] = []
    pairs: dict[tuple[str, str], interference.Estimate] = {}
    policy: dict[str, Any] = {'covers_fleet': True}
    task: views.TaskView | None = None
    for line in case.inputs[''].splitlines():
        kind, *words = line.split()
        if kind == 'target':
            targets.append(parse_target(words[0], parse_fields(words[1:])))
        elif kind == 'running':
            fields = parse_fields(words[1:])
            targets[-1] = add_running(targets[-1], words[0], fields)
        elif kind == 'effect':
            estimate = interference.Estimate(float(words[2]), 0.0, NOW_MS)
            pairs[(words[0], words[1])] = estimate
        elif kind == 'weights':
            tail, batch, evictions = (float(word) for word in words)
            policy['objective'] = objects.Objective(tail, batch, evictions)
        elif kind == 'quota':
            policy['quotas'] = {'team': parse_size(words[0])}
            policy['team_usage'] = {'team': parse_size(words[2])}
        else:
            assert kind == 'task', line
            task = parse_task(parse_fields(words))
    assert task is not None
    policy['interference_table'] = interference.Table(pairs=pairs)
    decision = placement.choose_target(
        task, targets, views.Policy(**policy), NOW_MS, random.Random(1)
    )
    if isinstance(decision, views.Refused):
        return decision.code.name
    text = decision.target_id
    if decision.preempts:
        text += ' preempts'
    if decision.start_speed != 1.0:
        text += f' at {decision.start_speed:g}'
    return text


@pytest.mark.parametrize('case', CASES, ids=text_cases.name_case)
def test_case(case: text_cases.Case) -> None:
    """Guards against a decision that breaks the rule the case names."""
    assert run_case(case) == case.expected
