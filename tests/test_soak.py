"""Runs seeds of the soak, and its checks on made-up histories."""

import asyncio
import dataclasses
import pathlib
from typing import Final

import pytest

from standins import platform_executor
from tests import loopback
from tests.soak import __main__ as soak
from tests.soak import checks
from tests.soak import evacuations
from tests.soak import leavers
from tests.soak import plans
from tests.soak import proxies
from tests.soak import runner
from tests.soak import site_plans

SEEDS_FILE: Final = (
    pathlib.Path(__file__).parents[1] / 'test-data' / 'soak-seeds.txt'
)
# Starting the processes, load and faults, and waiting for the workflows.
RUN_LIMIT_S: Final = 120.0


def read_seeds() -> list[int]:
    """Return the seeds of the file; the rest of a line gives the reason."""
    lines = SEEDS_FILE.read_text().splitlines()
    return [
        int(line.split()[0])
        for line in lines
        if line and not line.startswith('#')
    ]


@pytest.mark.parametrize('seed', read_seeds())
def test_seed_breaks_no_promise(seed: int, tmp_path: pathlib.Path) -> None:
    """Guards against faults that the soak has found before."""
    found = loopback.run(
        runner.run_plan(site_plans.make_plan(seed), tmp_path), RUN_LIMIT_S
    )
    if found:
        for log in tmp_path.glob('*.log'):
            print(f'--- {log.name}\n{log.read_text()}')
    assert not found


def test_seeds_that_nobody_names_have_all_faults() -> None:
    """Guards against kinds of faults that ``make soak`` never plays."""
    seeds = soak.draw_seeds(None, 50)
    site_count = sum(seed >= site_plans.FIRST_SEED for seed in seeds)
    assert 10 <= site_count <= 40
    assert min(seeds) >= leavers.FIRST_SMALL_SEED
    assert all(site_plans.make_plan(seed).has_evacuations for seed in seeds)
    assert min(seeds) >= plans.FIRST_SEED_WITH_CROWDS
    drawn = {
        (fault.subject, fault.kind)
        for seed in range(4_850_000, 4_850_100)
        for fault in site_plans.make_plan(seed).faults
    }
    small = {
        (fault.subject, fault.kind)
        for seed in range(3_950_000, 3_950_500)
        for fault in plans.make_plan(seed).faults
    }
    assert drawn >= small
    assert ('vm', 'refuse-executor') in small
    assert ('crowd', 'small-chunks') in small
    assert ('entry-link', 'lose-power') in small
    assert all(
        any(item.leaving for item in site_plans.make_plan(seed).submissions)
        for seed in seeds
    )
    assert all(
        any(item.has_gangs for item in site_plans.make_plan(seed).submissions)
        and site_plans.make_plan(seed).has_recurring
        for seed in seeds
    )


def test_cut_delivers_later_what_it_holds_back() -> None:
    """Guards against a cut that loses bytes or lets new connections begin."""

    async def cut() -> list[bytes]:
        received: list[bytes] = []

        async def receive(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            received.append(await reader.read())
            writer.close()

        server = await asyncio.start_server(receive, proxies.HOST, 0)
        port = server.sockets[0].getsockname()[1]
        proxy = proxies.Proxy(f'{proxies.HOST}:{port}')
        address = (await proxy.start()).split(':')
        _, kept = await asyncio.open_connection(*address)
        kept.write(b'before ')
        await kept.drain()
        await asyncio.sleep(0.1)
        with proxies.hold([proxy]):
            kept.write(b'in the cut')
            kept.close()
            for is_given_up in (True, False):
                _, late = await asyncio.open_connection(*address)
                late.write(b'given up' if is_given_up else b'late')
                if is_given_up:
                    late.close()
            await asyncio.sleep(0.3)
            assert not received
        await asyncio.sleep(0.2)
        late.close()
        await asyncio.sleep(0.2)
        await proxy.stop()
        server.close()
        return received

    found = loopback.run(cut())
    assert sorted(found) == [b'before in the cut', b'late']


@pytest.mark.parametrize(
    ('kind', 'after_ms', 'is_found'),
    [
        ('none', 5_000, False),
        ('none', 5_001, True),
        ('none', 9_001, False),
        ('silent', 5_001, True),
        ('suspend', 5_001, False),
    ],
)
def test_start_in_an_evacuated_data_centre_is_found(
    kind: str, after_ms: int, is_found: bool
) -> None:
    """Guards against a check that finds nothing, or excuses too much."""
    evacuated = evacuations.Evacuations(
        [evacuations.Evacuation('north', 20_000, 29_000)], ['south', 'north']
    )
    subject = 'vm' if kind == 'suspend' else 'link'
    fault = plans.Fault(12_000, 4_000, subject, kind, 1)
    plan = plans.Plan(0, 1, 2, (fault,), ())
    event = platform_executor.Event(
        20_000 + after_ms, f'{WORKFLOW_ID}.0.0.0', 1, 'start', 'i-1'
    )
    instances = [frozenset({'i-0'}), frozenset({'i-1'})]
    found = evacuations.check_starts(
        plan, evacuated, instances, [event], 10_000
    )
    assert bool(list(found)) == is_found


WORKFLOW_ID: Final = '0123456789abcdef'
SUBMISSION: Final = plans.Submission(
    0,
    WORKFLOW_ID,
    {'Spec': '100', 'Phases': [{'Count': 1, 'Cpu': 5_000, 'MemMb': 1}] * 2},
    0,
)
PLAN: Final = plans.Plan(0, 1, 1, (), (SUBMISSION,))
ORDERED_SUBMISSION: Final = plans.Submission(
    0,
    WORKFLOW_ID,
    {
        'Spec': '100',
        'Phases': [
            {'Count': 1, 'Cpu': 5_000, 'MemMb': 1},
            {'Count': 1, 'Cpu': 5_000, 'MemMb': 1, 'After': [0]},
        ],
    },
    0,
)


def make_event(
    at_ms: int,
    what: str,
    phase: int = 0,
    attempt: int = 1,
    spec: str = '100',
) -> platform_executor.Event:
    """Return an event of the task of one of the two phases."""
    return platform_executor.Event(
        at_ms, f'{WORKFLOW_ID}.0.{phase}.0', attempt, what, 'i-0', 1, spec
    )


def make_call(method: str, status: int, state: str = '') -> checks.Call:
    """Return a call that follows all events of the history."""
    return checks.Call(9_000, 9_010, method, 0, 1, WORKFLOW_ID, status, state)


def find_kinds(
    history: checks.History, submission: plans.Submission = SUBMISSION
) -> set[str]:
    """Return the kinds of the violations in a history."""
    plan = plans.Plan(0, 1, 1, (), (submission,))
    return {
        line.partition(':')[0]
        for line in checks.find_violations(plan, history)
    }


def test_correct_history_has_no_violation() -> None:
    """Guards against checks that report a correct history."""
    history = checks.History(
        calls=[make_call('POST', 200), make_call('GET', 200, 'completed')],
        events=[
            make_event(1, 'start'),
            make_event(2, 'done'),
            make_event(3, 'start', 1),
            make_event(4, 'done', 1),
        ],
        acknowledged={
            (f'{WORKFLOW_ID}.0.0.0', 1),
            (f'{WORKFLOW_ID}.0.1.0', 1),
        },
    )
    assert not find_kinds(history, ORDERED_SUBMISSION)


def test_each_kind_of_violation_is_found() -> None:
    """Guards against checks that miss the violation they look for."""
    start, done = make_event(1, 'start'), make_event(2, 'done')
    again = make_event(3, 'start', 0, 2)
    accepted = make_call('POST', 200)
    assert find_kinds(
        checks.History(calls=[accepted], events=[start, again])
    ) >= {'twice'}
    assert find_kinds(
        checks.History(
            calls=[accepted],
            events=[start, done, again],
            acknowledged={(start.task, 1)},
        )
    ) == {'twice'}
    assert find_kinds(
        checks.History(calls=[accepted], events=[make_event(1, 'start', 1)]),
        ORDERED_SUBMISSION,
    ) == {'order'}
    assert find_kinds(
        checks.History(
            calls=[accepted], events=[start, make_event(2, 'start', 1)]
        )
    ) == {'limit'}
    assert find_kinds(
        checks.History(calls=[make_call('POST', 503)], events=[start])
    ) == {'refused'}
    assert find_kinds(
        checks.History(
            calls=[accepted, make_call('GET', 200, 'completed')],
            events=[start, done],
        )
    ) == {'mixed'}
    assert find_kinds(
        checks.History(
            calls=[accepted],
            events=[make_event(1, 'start', 0, 1, 'another')],
        )
    ) == {'unasked'}
    early = checks.Call(1, 2, 'POST', 0, 1, WORKFLOW_ID, 200)
    assert find_kinds(
        checks.History(calls=[early, make_call('GET', 410)])
    ) == {'lost'}
    assert find_kinds(
        checks.History(calls=[accepted, make_call('GET', 200, 'failed')])
    ) == {'lost'}
    found = checks.Probe(1, 2, 0, 1, 5, True)
    lost = checks.Probe(900, 901, 0, 1, 5, False)
    assert find_kinds(checks.History(probes=[found, lost])) == {
        'configuration'
    }


def test_start_beyond_a_capacity_that_has_shrunk_is_found() -> None:
    change = platform_executor.CapacityChange
    history = checks.History(
        calls=[make_call('POST', 200)],
        events=[make_event(10_000, 'start')],
        capacities=[(change(0, 8_000), change(6_000, 4_000))],
        instances=[frozenset(('i-0',))],
    )
    assert find_kinds(history) == {'limit'}
    history.events = [make_event(9_000, 'start')]
    assert find_kinds(history) == set()


def make_gang_events(
    *attempts: tuple[str, str],
) -> list[platform_executor.Event]:
    """Return the events of a gang of two by the ends of its attempts."""
    events = []
    for attempt, ends in enumerate(attempts, 1):
        for index, end in enumerate(ends):
            for at_ms, what in ((100 * attempt, 'start'), (50, end)):
                events.append(
                    dataclasses.replace(
                        make_event(
                            at_ms + (100 * attempt if what == end else 0),
                            what,
                            0,
                            attempt,
                            '100&2',
                        ),
                        task=f'{WORKFLOW_ID}.0.0.{index}',
                    )
                )
    return events


@pytest.mark.parametrize(
    ('attempts', 'expected'),
    [
        ([('failed', 'failed')], {'lost'}),
        ([('failed', 'failed'), ('broken', 'failed')], {'lost'}),
        ([('failed', 'broken')] * 2 + [('broken', 'failed')], set()),
        (
            [('failed', 'broken')] * 2
            + [('broken', 'failed'), ('broken', 'broken')],
            {'budget'},
        ),
    ],
)
def test_failed_attempts_of_a_gang_are_counted_once(
    attempts: list[tuple[str, str]], expected: set[str]
) -> None:
    """Guards against checks that count members instead (review/9)."""
    phase = {'Count': 2, 'Cpu': 100, 'MemMb': 1, 'Gang': True}
    submission = plans.Submission(
        0, WORKFLOW_ID, {'Spec': '100&2', 'Phases': [phase]}, 0
    )
    events = make_gang_events(*attempts)
    history = checks.History(
        calls=[make_call('POST', 200), make_call('GET', 200, 'failed')],
        events=events,
        acknowledged={
            (event.task, event.attempt)
            for event in events
            if event.what == 'failed'
        },
    )
    assert find_kinds(history, submission) == expected


def test_member_that_starts_late_is_in_the_same_attempt() -> None:
    """Guards against a check that takes it for the next one (3800139)."""
    phase = {'Count': 2, 'Cpu': 100, 'MemMb': 1, 'Gang': True}
    submission = plans.Submission(
        0, WORKFLOW_ID, {'Spec': '100&2', 'Phases': [phase]}, 0
    )
    events = make_gang_events(*[('failed', 'failed')] * 3)
    late = events[-2]
    assert (late.what, late.attempt) == ('start', 3)
    events[-2] = dataclasses.replace(late, at_ms=events[-1].at_ms)
    history = checks.History(
        calls=[make_call('POST', 200), make_call('GET', 200, 'failed')],
        events=events,
        acknowledged={
            (event.task, event.attempt)
            for event in events
            if event.what == 'failed'
        },
    )
    assert find_kinds(history, submission) == set()


def test_starts_after_crashes_beyond_the_budget_are_found() -> None:
    events = []
    for attempt in range(1, 7):
        events.append(make_event(10 * attempt, 'start', 0, attempt))
        events.append(make_event(10 * attempt + 1, 'crashed', 0, attempt))
    failed = make_call('GET', 200, 'failed')
    accepted = make_call('POST', 200)
    history = checks.History(calls=[accepted, failed], events=events[:-2])
    assert find_kinds(history) == set()
    history.events = events
    assert find_kinds(history) == {'budget'}
    history.events = events[:2]
    assert find_kinds(history) == {'lost'}


def test_executor_crashes_together_with_the_run_that_crashes_it() -> None:
    """Guards against answers that lack that run but list the other ones.

    The agent takes a run that is not listed any more for one that never
    started, so such a crash was not counted (seed 27010).
    """

    async def crash() -> tuple[bool, list[str]]:
        executor = platform_executor.PlatformExecutor(
            'i-0', 'pigment', 'http://127.0.0.1:9'
        )
        executor._runs = {
            'deadly': platform_executor.Run(
                'deadly', 1, 0, 0, will_crash=True
            ),
            'sound': platform_executor.Run('sound', 1, 0, 0),
        }
        executor._lease_deadline_ms = 2**63
        executor.start()
        while not executor.history:
            await asyncio.sleep(0)
        state = executor.is_down, executor.running
        await executor.stop()
        return state

    assert loopback.run(crash()) == (True, [])


def test_clock_of_an_executor_begins_anew_with_each_life() -> None:
    """Guards against answers that seem to come from the former life."""
    executor = platform_executor.PlatformExecutor(
        'i-0', 'pigment', 'http://127.0.0.1:9'
    )
    executor.restart('i-0')
    now_ms = executor._read_clock_ms()
    assert 0 <= now_ms < 1_000
    executor._extend_lease(now_ms + 60_000)
    limit_ms = now_ms + platform_executor.LEASE_LIMIT_MS
    assert limit_ms <= executor._lease_deadline_ms < limit_ms + 1_000


FIRST: Final = f'{WORKFLOW_ID}.0.0.0'
SECOND: Final = f'{WORKFLOW_ID}.0.1.0'


@pytest.mark.parametrize(
    ('running', 'done', 'expected'),
    [
        ((), (), True),
        (('lasting.0.0.0',), (), True),
        (('lasting.0.0.0',), (FIRST,), True),
        (('lasting.0.0.0',), (SECOND,), False),
        ((), (FIRST, SECOND), False),
        (('lasting.0.0.0',), ('ordered',), False),
    ],
)
def test_room_is_that_of_the_unfinished_tasks(
    running: tuple[str, ...], done: tuple[str, ...], expected: bool
) -> None:
    """Guards against a check that excuses work that does fit.

    The lasting task leaves 2,000 millicores, so the second task fits beside
    it and the first one does not. In the last case the second task waits for
    the first one.
    """
    sizes_millicores = {'lasting': (6_000,), WORKFLOW_ID: (3_000, 2_000)}
    lasting, submission = (
        plans.Submission(
            0,
            workflow_id,
            {
                'Spec': '0',
                'Phases': [
                    {'Count': 1, 'Cpu': size, 'MemMb': 1} for size in sizes
                ],
            },
            0,
        )
        for workflow_id, sizes in sizes_millicores.items()
    )
    if 'ordered' in done:
        submission.document['Phases'][1]['After'] = [0]
    found = checks.has_room(submission, (lasting, submission), [running], done)
    assert found is expected
