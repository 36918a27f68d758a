"""Data-driven tests of routing, admission and results of calls."""

import random

import pytest

from borageshelf.decisions import admission
from borageshelf.decisions import routing
from borageshelf.entry import call_tries
from borageshelf import errors
from tests import text_cases

NOW_MS = 1_000_000
ROUTING = text_cases.read_cases('calls-routing.test')
RESULTS = text_cases.read_cases('calls-results.test')
ADMISSION = text_cases.read_cases('calls-admission.test')
LIMITS = admission.Limits(
    queue_limit=3, kind_shares={'bulk': 0.34}, team_quotas={'capped': 2}
)


def read_options(words: list[str]) -> dict[str, str]:
    """Return the ``name=value`` options; a bare word has the value ''."""
    pairs = (word.partition('=') for word in words)
    return {name: value for name, _, value in pairs}


def make_view(line: str) -> routing.ExecutorView:
    """Return the executor that an input line describes."""
    name, data_centre, outstanding, *words = line.split()
    options = read_options(words)
    return routing.ExecutorView(
        target_id=name,
        data_centre=data_centre,
        slots=8,
        outstanding_calls=int(outstanding),
        reported_calls=int(options.get('reported', 0)),
        reported_at_ms=NOW_MS - int(options.get('age', 0)),
        joined_at_ms=NOW_MS - int(options.get('joined', 60_000)),
        leaving='leaving' in options,
        ejected_until_deadline_ms=NOW_MS + 1 if 'ejected' in options else 0,
    )


@pytest.mark.parametrize('case', ROUTING, ids=text_cases.name_case)
def test_routing(case: text_cases.Case) -> None:
    """Guards against calls that are sent to the wrong executor."""
    views = [make_view(line) for line in case.inputs['executors'].splitlines()]
    chosen = {
        routing.choose_executor(views, 'north', NOW_MS, random.Random(seed))
        for seed in range(100)
    }
    names = sorted(view.target_id if view else 'none' for view in chosen)
    assert ' '.join(names) == case.expected


@pytest.mark.parametrize('case', RESULTS, ids=text_cases.name_case)
def test_results(case: text_cases.Case) -> None:
    """Guards against results "not run" or "done" without proof."""
    by_name = {code.name: code for code in errors.REGISTRY.values()}
    may_have_run = False
    for line in case.inputs['tries'].splitlines():
        name, proof = line.split()
        ran = proof == 'ran'
        result = call_tries.make_failure_result(
            by_name[name], ran, may_have_run, ''
        )
        may_have_run = may_have_run or ran
    assert f'{result.outcome.value} {result.code.name}' == case.expected


@pytest.mark.parametrize('case', ADMISSION, ids=text_cases.name_case)
def test_admission(case: text_cases.Case) -> None:
    """Guards against a wrong order, refusal or displacement of calls."""
    state = admission.AdmissionState(limits=LIMITS, slots=1)
    calls: dict[str, admission.QueuedCall] = {}
    now_ms = NOW_MS
    lines = []
    for line in case.inputs['script'].splitlines():
        verb, *words = line.split()
        if verb == 'at':
            now_ms = NOW_MS + int(words[0])
        elif verb == 'offer':
            call = make_call(words[0], read_options(words[1:]), now_ms)
            calls[call.call_id] = call
            state, answer = admission.offer(state, call, now_ms)
            lines.append(f'{call.call_id} {describe_answer(answer)}')
        elif verb == 'take':
            state, taken = admission.take(state, now_ms)
            lines.append(f'took {taken.call_id if taken else "none"}')
        elif verb == 'finish':
            state = admission.finish(state, calls[words[0]], now_ms)
        else:
            state, expired = admission.expire(state, now_ms)
            names = ' '.join(call.call_id for call in expired)
            lines.append(f'expired {names}')
    assert '\n'.join(lines) == case.expected


def make_call(
    name: str, options: dict[str, str], now_ms: int
) -> admission.QueuedCall:
    """Return the call that a script line offers."""
    return admission.QueuedCall(
        call_id=name,
        team=options.get('team', 'large'),
        kind=options.get('kind', 'single'),
        urgency=int(options.get('urgency', 0)),
        deadline_ms=NOW_MS + int(options.get('deadline', 10_000)),
        offered_at_ms=now_ms,
    )


def describe_answer(answer: admission.Admitted | admission.Refused) -> str:
    """Return the expected output for an admission decision."""
    if isinstance(answer, admission.Refused):
        return answer.code.name
    if answer.displaced is not None:
        return f'admitted, displaces {answer.displaced.call_id}'
    return 'admitted'
