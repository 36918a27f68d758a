"""Tests of the agent's driver, which makes the final check of each order."""

import asyncio
from collections import abc
import dataclasses
import json
from typing import Any

import pytest

from borageshelf.agent.workflows import driver
from borageshelf.agent.workflows import pacer
from borageshelf.agent.workflows import runs
from borageshelf import clock
from borageshelf import events
from borageshelf.model import resources
from borageshelf.model import targets
from borageshelf.ports import task_executor
from borageshelf.workflows import messages

ID = '0123456789abcdef'
TASK = f'{ID}.0.0.0'
TOKEN = 1_000_001
GRANT_MS = 5_000
LEASE_LIMIT_MS = 1_500
ORDER_AGE_MS = 60_000
SMALL = resources.Resources(1_000, 1_000)
STARTED = task_executor.StartOutcome.STARTED


class FakeExecutor:
    """An executor in memory whose answers and faults a test sets."""

    def __init__(self) -> None:
        self.clock_offset_ms = -50_000
        self.born_at_ms = 1
        self.token = 0
        self.running: dict[tuple[str, int], int] = {}
        self.ended: list[task_executor.EndedRun] = []
        self.starts: list[task_executor.StartOrder] = []
        self.stops: list[tuple[str, int]] = []
        self.refused_stops = 0
        self.stop_refusal = task_executor.StartOutcome.UNHEALTHY
        self.paces: dict[str, int] = {}
        self.leases_ms: list[int] = []
        self.acknowledged = 0
        self.lost_starts = 0
        self.applies_lost_starts = False
        self.lost_inspections = 0
        self.inspection_s = 0.005
        self.listed_ends_limit = 500
        # Whether stopped runs go on until the test ends them.
        self.are_stops_slow = False
        self.is_down = False
        self.outcome = STARTED
        self.measured: dict[str, int] = {}
        self.progress_percent = 100
        self.on_lost_start: abc.Callable[[], None] = lambda: None

    def read_clock_ms(self) -> int:
        """Return the executor's own clock."""
        return clock.read_elapsed_ms() + self.clock_offset_ms

    def restart(self) -> None:
        """Be another incarnation, whose clock begins anew."""
        self.born_at_ms += 1
        self.clock_offset_ms = 1 - clock.read_elapsed_ms()

    async def start(
        self, instance_id: str, order: task_executor.StartOrder
    ) -> task_executor.StartAnswer:
        await asyncio.sleep(0)
        if self.is_down:
            raise task_executor.ExecutorUnavailable('refused', True)
        self.starts.append(order)
        self.leases_ms.append(order.lease_deadline_ms)
        if self.lost_starts:
            self.lost_starts -= 1
            if self.applies_lost_starts:
                self._run(order)
            self.on_lost_start()
            raise task_executor.ExecutorUnavailable('no answer')
        if self.outcome is STARTED:
            self._run(order)
        return task_executor.StartAnswer(self.outcome, self.read_clock_ms())

    def _run(self, order: task_executor.StartOrder) -> None:
        key = (order.task, order.attempt)
        if key not in self.running:
            self.running[key] = 0

    async def stop(
        self, instance_id: str, task: str, attempt: int, token: int
    ) -> None:
        await asyncio.sleep(0)
        if self.refused_stops:
            self.refused_stops -= 1
            raise task_executor.OrderRefused(self.stop_refusal)
        if token < self.token:
            raise task_executor.OrderRefused(task_executor.StartOutcome.FENCED)
        self.stops.append((task, attempt))
        if (task, attempt) in self.running and not self.are_stops_slow:
            self.end(task, attempt, task_executor.EndKind.STOPPED)

    def end(
        self, task: str, attempt: int, kind: task_executor.EndKind
    ) -> None:
        """End a run."""
        self.running.pop((task, attempt), None)
        number = len(self.ended) + 1
        self.ended.append(
            task_executor.EndedRun(number, task, attempt, kind, '')
        )

    async def inspect(
        self,
        instance_id: str,
        token: int,
        acknowledged: int,
        lease_deadline_ms: int,
        wait_ms: int,
    ) -> task_executor.Inspection:
        await asyncio.sleep(self.inspection_s)
        if self.is_down:
            raise task_executor.ExecutorUnavailable('refused', True)
        if self.lost_inspections:
            self.lost_inspections -= 1
            raise task_executor.ExecutorUnavailable('no answer')
        if token < self.token:
            raise task_executor.OrderRefused(task_executor.StartOutcome.FENCED)
        self.token = token
        self.acknowledged = max(self.acknowledged, acknowledged)
        if lease_deadline_ms:
            self.leases_ms.append(lease_deadline_ms)
        ended = [end for end in self.ended if end.number > self.acknowledged]
        return task_executor.Inspection(
            self.read_clock_ms(),
            self.born_at_ms,
            tuple(
                task_executor.RunningTask(
                    task,
                    attempt,
                    '',
                    self.progress_percent,
                    self.measured.get(task, 0),
                )
                for task, attempt in self.running
            ),
            tuple(ended[: self.listed_ends_limit]),
            len(ended) <= self.listed_ends_limit,
        )

    async def pace(
        self,
        instance_id: str,
        task: str,
        attempt: int,
        percent: int,
        token: int,
    ) -> None:
        self.paces[task] = percent


ANNOUNCEMENT = targets.Announcement(
    'i-1',
    1,
    'pigment',
    '10.0.0.1:1',
    1,
    resources.Resources(4_000, 8_000),
    ('a', 'r1'),
)


class DriverHarness:
    """A driver with a fake executor; collects its messages to the owner."""

    def __init__(self, needs_answers: bool = False) -> None:
        self.executor = FakeExecutor()
        self.sent: list[messages.AnyMessage] = []
        self.requested_sessions = 0
        self.event_log = events.EventLog('agent', 'test', descriptor=1)
        self.driver = driver.ExecutorDriver(
            self.executor,
            self.event_log,
            self.sent.append,
            self._request_session,
            LEASE_LIMIT_MS,
            needs_answers,
        )

    def _request_session(self) -> None:
        self.requested_sessions += 1

    async def begin_session(self) -> None:
        """Announce the executor, and begin a session that has a grant."""
        self.driver.handle_announcement(ANNOUNCEMENT)
        self.driver.begin_session(messages.Welcome(1, TOKEN, GRANT_MS, ()))
        await self.wait_for(messages.Snapshot)
        self.extend_grant()

    def extend_grant(self) -> None:
        """Extend the grant as if a report of this moment were answered."""
        self.driver.extend_grant(
            messages.Answer(clock.read_elapsed_ms(), True)
        )

    def start(self, **terms: Any) -> None:
        """Order a start as the owner does."""
        terms.setdefault('task', TASK)
        terms.setdefault('attempt', 1)
        terms.setdefault('reserved', SMALL)
        self.driver.order_start(
            messages.Start(
                TOKEN,
                messages.RunTerms(**terms),
                ID,
                'the spec',
                '',
                clock.read_wall_clock_ms() - ORDER_AGE_MS,
            )
        )

    def list_sent(self, kind: type[Any]) -> list[Any]:
        """Return the sent messages of a kind."""
        return [item for item in self.sent if isinstance(item, kind)]

    async def wait_for(self, kind: type[Any], count: int = 1) -> Any:
        """Wait until messages of a kind were sent; return the last one."""
        while len(self.list_sent(kind)) < count:
            await asyncio.sleep(0.005)
        return self.list_sent(kind)[-1]

    async def wait_until(self, is_true: abc.Callable[[], bool]) -> None:
        """Wait for a condition."""
        while not is_true():
            await asyncio.sleep(0.005)


def run_scenario(
    scenario: abc.Callable[[DriverHarness], abc.Awaitable[None]],
    needs_answers: bool = False,
) -> None:
    """Run a scenario; the timeout is reached only if it hangs."""

    async def run() -> None:
        harness = DriverHarness(needs_answers)
        try:
            async with asyncio.timeout(20):
                await scenario(harness)
        finally:
            await harness.driver.stop()

    asyncio.run(run())


def test_start_without_answer_is_repeated_with_its_specification() -> None:
    """Guards against a repeated start with an empty specification.

    The first start was carried out but its answer was lost. The run ended and
    completed its workflow, which was forgotten while the start was repeated.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 1
        harness.executor.on_lost_start = lambda: (
            harness.driver.forget_workflow(ID)
        )
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 2)
        specs = {order.spec for order in harness.executor.starts}
        assert specs == {'the spec'}

    run_scenario(scenario)


def test_start_that_ended_meanwhile_is_not_repeated() -> None:
    """Guards against repeated starts of a run whose end is known."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 10
        harness.executor.applies_lost_starts = True
        harness.executor.on_lost_start = lambda: harness.executor.end(
            TASK, 1, task_executor.EndKind.DONE
        )
        harness.start()
        await harness.wait_for(messages.Ends)
        count = len(harness.executor.starts)
        await asyncio.sleep(0.3)
        assert len(harness.executor.starts) <= count + 1

    run_scenario(scenario)


def test_start_that_is_never_answered_is_stopped_before_it_is_refused() -> (
    None
):
    """Guards against a start that is carried out after it was refused."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 100
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert (refused.task, refused.attempt) == (TASK, 1)
        assert harness.executor.stops == [(TASK, 1)]
        assert refused.is_unhealthy

    run_scenario(scenario)


def test_log_shows_each_order_to_the_executor_and_its_answer(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against a history of a run that leaves open what was ordered.

    Without these lines no log tells whether a run was started twice by a late
    order, after a refused stop, or by another incarnation of the executor.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 1
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 2)
        harness.driver.order_stop(messages.Stop(TOKEN, TASK, 1))
        await harness.wait_for(messages.Ends)
        harness.event_log.flush()

    run_scenario(scenario)
    found = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    orders = [line for line in found if line.get('task') == TASK]
    assert [line['event'] for line in orders][:6] == [
        'start sent',
        'start not answered',
        'start sent',
        'start answered',
        'stop sent',
        'stop answered',
    ]
    sent = [line for line in orders if line['event'].endswith('sent')]
    assert {line['token'] for line in sent} == {TOKEN}
    assert {line['incarnation'] for line in sent} == {ANNOUNCEMENT.incarnation}
    assert [line['tries'] for line in sent] == [1, 2, 1]
    ages_ms = [line['order_age_ms'] for line in sent if 'order_age_ms' in line]
    assert ORDER_AGE_MS <= ages_ms[0] < ages_ms[1]
    assert sent[1]['received_age_ms'] == pytest.approx(
        ages_ms[1] - ages_ms[0] + sent[0]['received_age_ms'], abs=50
    )
    assert orders[3]['outcome'] == 'started'


@pytest.mark.parametrize(
    'outcome',
    [
        task_executor.StartOutcome.UNHEALTHY,
        task_executor.StartOutcome.NO_ROOM,
    ],
)
def test_refusal_after_an_unanswered_start_is_stopped_first(
    outcome: task_executor.StartOutcome,
) -> None:
    """Guards against a start that is carried out after a later refusal.

    Found by a hunt (further-grown trouble-1 --seed 18398724295, TWICE): the
    first try was not answered, and the second one was refused, which proves
    nothing about the first. The owner started the task elsewhere, where it
    was done before the first try was carried out.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 1
        harness.executor.outcome = outcome
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == outcome.value
        assert harness.executor.stops == [(TASK, 1)]

    run_scenario(scenario)


@pytest.mark.parametrize(
    'refusal',
    [
        task_executor.StartOutcome.UNHEALTHY,
        task_executor.StartOutcome.OTHER_INSTANCE,
        task_executor.StartOutcome.INVALID,
    ],
)
def test_refused_stop_does_not_prove_that_a_late_start_is_void(
    refusal: task_executor.StartOutcome,
) -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 100
        harness.executor.refused_stops = 3
        harness.executor.stop_refusal = refusal
        harness.start()
        await harness.wait_for(messages.StartRefused)
        assert harness.executor.refused_stops == 0
        assert harness.executor.stops == [(TASK, 1)]

    run_scenario(scenario)


def test_start_that_a_silent_executor_was_never_sent_is_refused() -> None:
    """Guards against a task that waits for the lease of that executor."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_inspections = 10_000
        await harness.wait_until(
            lambda: harness.executor.lost_inspections < 9_999
        )
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == 'no grant'
        assert refused.is_unhealthy
        assert not (harness.executor.starts or harness.executor.stops)

    run_scenario(scenario)


def test_start_that_no_connection_has_carried_needs_no_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def refuse_connection(*arguments: Any) -> Any:
        raise task_executor.ExecutorUnavailable('refused', True)

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        monkeypatch.setattr(harness.executor, 'start', refuse_connection)
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == 'not answered'
        assert refused.is_unhealthy
        assert harness.executor.stops == []

    run_scenario(scenario)


def test_lasting_run_is_reported_once_after_it_was_listed() -> None:
    """Guards against a lasting run whose end no new agent can prove."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 1
        harness.executor.applies_lost_starts = True
        harness.start(task=f'{ID}.0.0.0', is_lasting=True)
        harness.start(task=f'{ID}.0.0.1', is_lasting=True)
        await harness.wait_until(lambda: len(harness.executor.running) == 2)
        await harness.wait_until(
            lambda: all(run.row for run in harness.driver._runs.values())
        )
        for _ in range(3):
            harness.driver.send_report()
        rows = [
            (row.task, row.is_start_open)
            for report in harness.list_sent(messages.Report)
            for row in report.rows
        ]
        # An open try of the other one may reach the next incarnation.
        assert sorted(rows) == [(f'{ID}.0.0.0', True), (f'{ID}.0.0.1', False)]

    run_scenario(scenario)


def test_failed_session_takes_no_second_snapshot_under_its_token(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a snapshot that a start of the same session follows."""

    async def fail(*arguments: Any) -> task_executor.Inspection:
        monkeypatch.undo()
        raise RuntimeError

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 100
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        monkeypatch.setattr(harness.executor, 'inspect', fail)
        await harness.wait_until(lambda: harness.requested_sessions == 2)
        await asyncio.sleep(0.4)
        assert len(harness.list_sent(messages.Snapshot)) == 1
        assert len(harness.executor.starts) == 1

    run_scenario(scenario)


def test_start_above_the_capacity_is_refused() -> None:
    """Guards against an overloaded executor if the owner miscounts."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        for number in range(5):
            harness.start(task=f'{ID}.0.0.{number}')
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.task == f'{ID}.0.0.4'
        assert refused.reason == 'no room'
        await harness.wait_until(lambda: len(harness.executor.starts) == 4)

    run_scenario(scenario)


def announce_capacity(
    harness: DriverHarness, sequence: int, capacity: resources.Resources
) -> None:
    """Announce the executor with another capacity."""
    harness.driver.handle_announcement(
        dataclasses.replace(ANNOUNCEMENT, sequence=sequence, capacity=capacity)
    )


def test_start_is_not_repeated_once_the_capacity_has_shrunk() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 1
        harness.executor.on_lost_start = lambda: announce_capacity(
            harness, 2, resources.Resources(500, 8_000)
        )
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == 'no room'
        assert not refused.is_unhealthy
        assert len(harness.executor.starts) == 1
        assert harness.executor.stops == [(TASK, 1)]

    run_scenario(scenario)


def test_start_that_waits_for_a_grant_minds_a_capacity_that_shrinks() -> None:
    async def scenario(harness: DriverHarness) -> None:
        harness.driver.handle_announcement(ANNOUNCEMENT)
        harness.driver.begin_session(messages.Welcome(1, TOKEN, GRANT_MS, ()))
        await harness.wait_for(messages.Snapshot)
        harness.start()
        await asyncio.sleep(0.1)
        announce_capacity(harness, 2, resources.Resources(500, 8_000))
        harness.extend_grant()
        await harness.wait_for(messages.StartRefused)
        assert harness.executor.starts == []

    run_scenario(scenario)


def test_paused_agent_starts_nothing_on_an_outdated_capacity() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        # The executor reported before the pause; the report and the order
        # waited in sockets.
        outdated_ms = harness.executor.read_clock_ms() - 5_000
        harness.driver.handle_announcement(
            dataclasses.replace(ANNOUNCEMENT, sequence=2, clock_ms=outdated_ms)
        )
        harness.start()
        await asyncio.sleep(0.3)
        assert harness.executor.starts == []
        harness.driver.handle_announcement(
            dataclasses.replace(
                ANNOUNCEMENT,
                sequence=3,
                capacity=resources.Resources(500, 8_000),
                clock_ms=harness.executor.read_clock_ms(),
            )
        )
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == 'no room'
        assert harness.executor.starts == []

    run_scenario(scenario)


def test_run_being_stopped_counts_against_a_capacity_that_shrinks() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        for number in range(3):
            harness.start(task=f'{ID}.0.0.{number}')
        await harness.wait_until(lambda: len(harness.executor.starts) == 3)
        announce_capacity(harness, 2, resources.Resources(3_000, 8_000))
        harness.driver.order_stop(messages.Stop(TOKEN, f'{ID}.0.0.0', 1))
        harness.start(task=f'{ID}.0.0.3')
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.task == f'{ID}.0.0.3'
        announce_capacity(harness, 3, resources.Resources(5_000, 8_000))
        harness.start(task=f'{ID}.0.0.3', attempt=2)
        await harness.wait_until(lambda: len(harness.executor.starts) == 4)

    run_scenario(scenario)


def test_burst_beside_a_capacity_below_the_runs_starts_nothing() -> None:
    """Guards against starts in place of runs that are still being stopped."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        executor = harness.executor
        executor.are_stops_slow = True
        tasks = [f'{ID}.0.0.{number}' for number in range(4)]
        for task in tasks:
            harness.start(task=task)
        await harness.wait_until(lambda: len(executor.running) == 4)
        announce_capacity(harness, 2, resources.Resources(2_000, 8_000))
        for task in tasks[1:]:
            harness.driver.order_stop(messages.Stop(TOKEN, task, 1))
        await harness.wait_until(lambda: len(executor.stops) == 3)

        async def order_burst(step: int) -> None:
            refused_count = len(harness.list_sent(messages.StartRefused))
            for number in range(8):
                harness.start(task=f'{ID}.0.{step}.{number}')
            await harness.wait_for(messages.StartRefused, refused_count + 7)

        # The stops are answered and their ends are not listed yet.
        await order_burst(1)
        assert len(executor.starts) == 4
        for count, task in enumerate(tasks[1:3], 1):
            executor.end(task, 1, task_executor.EndKind.STOPPED)
            await harness.wait_for(messages.Ends, count)
            await order_burst(1 + count)
            assert len(executor.starts) == 4
        executor.end(tasks[3], 1, task_executor.EndKind.STOPPED)
        await harness.wait_for(messages.Ends, 3)
        await order_burst(4)
        await harness.wait_until(lambda: len(executor.starts) == 5)
        assert len(executor.running) == 2

    run_scenario(scenario)


def test_nothing_starts_beside_a_run_of_unknown_size() -> None:
    """Guards against starts above the capacity after a late start.

    The owner counts a run that was reported as refused no more, so the agent
    does not know the size of one that the executor starts late.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.are_stops_slow = True
        harness.executor.running[(TASK, 3)] = 0
        await harness.wait_until(lambda: (TASK, 3) in harness.executor.stops)
        harness.start(task=f'{ID}.0.0.1')
        refusals = harness.list_sent(messages.StartRefused)
        assert [refused.reason for refused in refusals] == ['no room']
        harness.executor.end(TASK, 3, task_executor.EndKind.STOPPED)
        await harness.wait_for(messages.Ends)
        harness.start(task=f'{ID}.0.0.1', attempt=2)
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)

    run_scenario(scenario)


def test_draining_executor_gets_no_start() -> None:
    """Guards against new runs on an executor that is about to end."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.driver.handle_announcement(
            dataclasses.replace(ANNOUNCEMENT, sequence=2, is_draining=True)
        )
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == 'draining'
        assert harness.executor.starts == []

    run_scenario(scenario)


def test_start_is_not_repeated_once_the_executor_drains() -> None:
    """Guards against a start long after a drain has been acknowledged.

    A start without an answer is repeated for a second and more; only the
    first try looked at the executor's state.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 1
        harness.executor.on_lost_start = lambda: (
            harness.driver.handle_announcement(
                dataclasses.replace(ANNOUNCEMENT, sequence=2, is_draining=True)
            )
        )
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == 'draining'
        assert len(harness.executor.starts) == 1
        assert harness.executor.stops == [(TASK, 1)]

    run_scenario(scenario)


def test_order_of_another_session_is_ignored() -> None:
    """Guards against the orders of a former owner."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        terms = messages.RunTerms(TASK, 1, SMALL)
        harness.driver.order_start(
            messages.Start(TOKEN - 1, terms, ID, 'the spec', '')
        )
        await asyncio.sleep(0.1)
        assert harness.executor.starts == []

    run_scenario(scenario)


def test_lease_ends_before_the_grant() -> None:
    """Guards against runs that outlast what the owner granted.

    The owner would consider them ended while they continue.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        granted_at_ms = clock.read_elapsed_ms()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.leases_ms) > 2)
        latest_ms = max(harness.executor.leases_ms)
        offset_ms = harness.executor.clock_offset_ms
        assert latest_ms - offset_ms <= granted_at_ms + GRANT_MS
        assert latest_ms - offset_ms > granted_at_ms + GRANT_MS * 0.9

    run_scenario(scenario)


def test_start_without_a_grant_is_refused() -> None:
    """Guards against runs that no owner has granted."""

    async def scenario(harness: DriverHarness) -> None:
        harness.driver.handle_announcement(ANNOUNCEMENT)
        harness.driver.begin_session(messages.Welcome(1, TOKEN, GRANT_MS, ()))
        await harness.wait_for(messages.Snapshot)
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == 'no grant'
        assert harness.executor.starts == []

    run_scenario(scenario)


def test_end_is_forgotten_only_after_its_acknowledgement() -> None:
    """Guards against an end that is lost with the owner.

    The owner died before it had committed the end.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.start()
        await harness.wait_until(lambda: (TASK, 1) in harness.executor.running)
        harness.executor.end(TASK, 1, task_executor.EndKind.DONE)
        await harness.wait_for(messages.Ends)
        await asyncio.sleep(0.3)
        assert harness.executor.acknowledged == 0
        harness.driver.acknowledge_ends(messages.Acknowledged(TOKEN, 1))
        await harness.wait_until(lambda: harness.executor.acknowledged == 1)
        assert len(harness.list_sent(messages.Ends)) == 1

    run_scenario(scenario)


def test_run_whose_end_is_not_listed_yet_is_not_reported_as_absent() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        for number in range(3):
            harness.start(task=f'{ID}.0.0.{number}')
        await harness.wait_until(lambda: len(harness.executor.running) == 3)
        harness.executor.listed_ends_limit = 2
        for number in range(3):
            harness.executor.end(
                f'{ID}.0.0.{number}', 1, task_executor.EndKind.DONE
            )
        await harness.wait_for(messages.Ends)
        await asyncio.sleep(0.4)
        assert harness.list_sent(messages.StartRefused) == []
        harness.driver.acknowledge_ends(messages.Acknowledged(TOKEN, 2))
        last = await harness.wait_for(messages.Ends, 2)
        assert last.ended[-1].task == f'{ID}.0.0.2'

    run_scenario(scenario)


def test_snapshot_without_all_ends_is_followed_by_a_complete_one() -> None:
    async def scenario(harness: DriverHarness) -> None:
        harness.executor.listed_ends_limit = 2
        for number in range(3):
            harness.executor.end(
                f'{ID}.0.0.{number}', 1, task_executor.EndKind.DONE
            )
        await harness.begin_session()
        assert not harness.list_sent(messages.Snapshot)[-1].has_all_ends
        harness.driver.acknowledge_ends(messages.Acknowledged(TOKEN, 2))
        await harness.wait_until(lambda: harness.requested_sessions > 1)

    run_scenario(scenario)


def test_restart_under_the_same_id_begins_a_new_session() -> None:
    """Guards against mixing up runs and ends of two incarnations.

    An executor restarts under the same instance id.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.born_at_ms = 2
        harness.executor.running.clear()
        await harness.wait_for(messages.ExecutorGone)
        await harness.wait_until(lambda: harness.requested_sessions > 0)
        assert harness.driver.incarnation == 'i-1/2'

    run_scenario(scenario)


def test_restarted_executor_gets_no_start_before_it_announces_itself() -> None:
    """Guards against a start on the capacity of the former incarnation."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        executor = harness.executor
        executor.born_at_ms = 2
        await harness.wait_for(messages.ExecutorGone)
        harness.driver.begin_session(messages.Welcome(1, TOKEN, GRANT_MS, ()))
        snapshot = await harness.wait_for(messages.Snapshot, 2)
        assert snapshot.state.capacity == resources.NOTHING
        harness.extend_grant()
        harness.start()
        refusals = harness.list_sent(messages.StartRefused)
        assert [refused.reason for refused in refusals] == ['no room']
        harness.driver.handle_announcement(
            dataclasses.replace(ANNOUNCEMENT, born_at_ms=2)
        )
        harness.start(attempt=2)
        await harness.wait_until(lambda: len(executor.starts) == 1)

    run_scenario(scenario)


def test_next_owner_learns_which_runs_a_crash_took() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        harness.executor.is_down = True
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.cause is messages.GoneCause.NOTHING_LISTENS
        assert gone.reached == ((TASK, 1),)
        harness.driver.begin_session(
            messages.Welcome(2, TOKEN + 1, GRANT_MS, ())
        )
        gone = await harness.wait_for(messages.ExecutorGone, 2)
        assert gone.reached == ((TASK, 1),)

    run_scenario(scenario)


def test_start_on_its_way_at_a_restart_is_not_proved_to_have_ended() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.start(task=f'{ID}.0.0.0')
        key = (f'{ID}.0.0.0', 1)
        await harness.wait_until(lambda: key in harness.executor.running)
        await harness.wait_until(
            lambda: harness.driver._runs[key].row is not None
        )
        harness.executor.lost_starts = 100
        harness.executor.on_lost_start = lambda: setattr(
            harness.executor, 'born_at_ms', 2
        )
        harness.start(task=f'{ID}.0.0.1')
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.cause is messages.GoneCause.RESTARTED
        assert gone.unproved == ((f'{ID}.0.0.1', 1),)

    run_scenario(scenario)


def test_start_answered_by_the_next_incarnation_is_unproved() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.inspection_s = 0.1
        await asyncio.sleep(0.02)
        harness.executor.restart()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.unproved == ((TASK, 1),)

    run_scenario(scenario)


def test_start_answered_before_an_unseen_restart_has_ended() -> None:
    """Guards against a run that is kept though its executor is gone (LOST).

    The clock in the answer shows that the former incarnation has started it.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.inspection_s = 0.1
        await asyncio.sleep(0.02)
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        await asyncio.sleep(0.02)
        harness.executor.restart()
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.reached == ((TASK, 1),)
        assert gone.unproved == ()

    run_scenario(scenario)


def test_departure_proves_nothing_before_the_executor_has_ended() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        harness.driver.handle_departure('i-1')
        await asyncio.sleep(0.2)
        assert harness.list_sent(messages.ExecutorGone) == []
        harness.executor.is_down = True
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.cause is messages.GoneCause.LEFT

    run_scenario(scenario)


def test_acknowledgement_for_a_crashed_incarnation_forgets_no_end() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.is_down = True
        await harness.wait_for(messages.ExecutorGone)
        harness.driver.acknowledge_ends(messages.Acknowledged(TOKEN, 7))
        harness.executor.is_down = False
        harness.executor.born_at_ms = 2
        await harness.wait_until(lambda: harness.requested_sessions > 0)
        assert harness.executor.acknowledged == 0

    run_scenario(scenario)


def test_new_agent_does_not_deny_the_runs_that_a_crash_took() -> None:
    async def scenario(harness: DriverHarness) -> None:
        harness.executor.is_down = True
        harness.driver.handle_announcement(ANNOUNCEMENT)
        harness.driver.begin_session(messages.Welcome(1, TOKEN, GRANT_MS, ()))
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.reached is None

    run_scenario(scenario)


def test_start_that_reached_nobody_is_not_reported_with_a_crash() -> None:
    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.is_down = True
        harness.start()
        gone = await harness.wait_for(messages.ExecutorGone)
        assert gone.reached == ()

    run_scenario(scenario)


def test_delayed_announcement_of_a_former_incarnation_is_ignored() -> None:
    """Guards against a return to a former incarnation.

    A network partition delayed one of its heartbeats.
    """
    harness = DriverHarness()

    async def run() -> None:
        newer = dataclasses.replace(
            ANNOUNCEMENT, instance_id='i-2', born_at_ms=5
        )
        harness.driver.handle_announcement(newer)
        harness.driver.handle_announcement(
            dataclasses.replace(ANNOUNCEMENT, sequence=99)
        )
        assert harness.driver.incarnation == 'i-2/5'

    asyncio.run(run())


def test_unknown_run_is_stopped() -> None:
    """Guards against a start that is carried out seconds after its refusal."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.running[(TASK, 3)] = 0
        await harness.wait_until(lambda: (TASK, 3) in harness.executor.stops)

    run_scenario(scenario)


def test_fenced_token_requests_a_new_session() -> None:
    """Guards against an agent that continues under a fenced token."""

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        requested = harness.requested_sessions
        harness.executor.token = TOKEN + 1
        await harness.wait_until(
            lambda: harness.requested_sessions > requested
        )

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('outcome', 'is_unhealthy'),
    [
        (task_executor.StartOutcome.NO_ROOM, False),
        (task_executor.StartOutcome.UNHEALTHY, True),
        (task_executor.StartOutcome.SUPERSEDED, False),
        (task_executor.StartOutcome.INVALID, False),
    ],
)
def test_refusal_is_reported(
    outcome: task_executor.StartOutcome, is_unhealthy: bool
) -> None:
    """Guards against a refusal that the owner never learns of.

    Agent and owner would then both wait for the run.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.outcome = outcome
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == outcome.value
        assert refused.is_unhealthy is is_unhealthy

    run_scenario(scenario)


def test_filler_that_disturbs_is_slowed_and_others_are_not() -> None:
    """Guards against missed latency targets and against idle processors.

    A filler that disturbs a serving task must be slowed down; slowing down the
    others as well would leave processors idle.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.driver.set_effects(
            messages.Effects(
                (('monitor', 'loud', 3.0), ('monitor', 'quiet', 0.0))
            )
        )
        harness.executor.measured = {
            f'{ID}.0.0.0': 17,
            f'{ID}.0.1.0': 1_000,
            f'{ID}.0.2.0': 1_000,
        }
        harness.start(
            task=f'{ID}.0.0.0',
            is_lasting=True,
            latency_target_ms=18,
            image='monitor',
        )
        for number, image in ((1, 'loud'), (2, 'quiet')):
            harness.start(
                task=f'{ID}.0.{number}.0',
                is_filler=True,
                image=image,
                size_millicores=1_000,
            )
        await harness.wait_until(
            lambda: harness.executor.paces.get(f'{ID}.0.1.0', 100) < 60
        )
        assert harness.executor.paces.get(f'{ID}.0.2.0', 100) == 100

    run_scenario(scenario)


def test_new_process_waits_for_the_lease_of_its_predecessor() -> None:
    """Guards against runs that are reported as ended while they continue.

    A restarted agent knew of no lease and reported, at the first unanswered
    inspection, that all runs on the executor had ended.
    """

    async def scenario(harness: DriverHarness) -> None:
        begun_at_ms = clock.read_elapsed_ms()
        harness.executor.lost_inspections = 1_000
        harness.driver.handle_announcement(ANNOUNCEMENT)
        harness.driver.begin_session(messages.Welcome(1, TOKEN, GRANT_MS, ()))
        await harness.wait_for(messages.ExecutorGone)
        assert clock.read_elapsed_ms() - begun_at_ms >= LEASE_LIMIT_MS

    run_scenario(scenario)


def test_disturbing_filler_is_paced_from_its_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a serving task above its latency target after a start.

    A task runs at full pace until it is paced, and the next inspection came
    half a second after the start.
    """

    async def scenario(harness: DriverHarness) -> None:
        await harness.begin_session()
        harness.driver.set_effects(
            messages.Effects((('monitor', 'loud', 3.0),))
        )
        serving = f'{ID}.0.0.0'
        harness.executor.measured = {serving: 9}
        harness.start(
            task=serving,
            is_lasting=True,
            latency_target_ms=18,
            image='monitor',
        )
        await harness.wait_until(
            lambda: any(
                sample.latency_ms == 9
                for sample in harness.driver._pacer.make_latency_samples()
            )
        )
        inspect = harness.executor.inspect
        released = asyncio.Event()

        async def inspect_later(*arguments: Any) -> task_executor.Inspection:
            inspection = await inspect(*arguments)
            await released.wait()
            return inspection

        monkeypatch.setattr(harness.executor, 'inspect', inspect_later)
        filler = f'{ID}.0.1.0'
        harness.start(
            task=filler, is_filler=True, image='loud', size_millicores=3_000
        )
        await harness.wait_until(
            lambda: harness.executor.paces.get(filler, 100) < 60
        )
        released.set()

    run_scenario(scenario)


def test_effects_of_a_former_owner_stay_in_use() -> None:
    """Guards against harmless fillers that are slowed after a takeover."""
    filler_pacer = pacer.FillerPacer(
        FakeExecutor(),
        events.EventLog('agent', 'test', descriptor=1),
        lambda: [],
    )
    known = (('m', 'loud', 3.0), ('m', 'quiet', 0.0))
    filler_pacer.set_effects(messages.Effects(known))
    filler_pacer.set_effects(messages.Effects((('m', 'loud', 2.0),)))
    assert filler_pacer._effects == {('m', 'quiet'): 0.0, ('m', 'loud'): 2.0}


def test_starts_after_one_inspection_slow_fillers_once() -> None:
    """Guards against fillers that are paused after a burst of starts.

    Each start counted the same high latency as a new one and slowed all
    fillers further.
    """

    async def check() -> None:
        executor = FakeExecutor()
        terms = messages.RunTerms(
            TASK, 1, SMALL, is_lasting=True, latency_target_ms=18, image='m'
        )
        serving = runs.AgentRun(terms, runs.RunState.RUNNING)
        serving.row = task_executor.RunningTask(TASK, 1, '', 100, 18)
        filler = runs.AgentRun(
            messages.RunTerms(
                f'{ID}.0.1.0',
                1,
                SMALL,
                is_filler=True,
                image='loud',
                size_millicores=1_000,
            ),
            runs.RunState.RUNNING,
        )
        filler_pacer = pacer.FillerPacer(
            executor,
            events.EventLog('agent', 'test', descriptor=1),
            lambda: [serving, filler],
        )
        capacity = resources.Resources(64_000, 8_000)
        filler_pacer.record_filler_usage(capacity)
        for _ in range(4):
            await filler_pacer.pace(capacity, 'i-1', TOKEN)
        gain_after_starts = filler_pacer._pace_gains['m']
        filler_pacer.record_filler_usage(capacity)
        await filler_pacer.pace(capacity, 'i-1', TOKEN)
        assert gain_after_starts > 0.5 > filler_pacer._pace_gains['m']

    asyncio.run(check())


def test_pace_that_was_taken_without_an_answer_is_set_again() -> None:
    """Guards against a filler that stays slow though nothing disturbs it."""

    class MuteExecutor(FakeExecutor):
        is_mute = True

        async def pace(self, *arguments: Any, **fields: Any) -> None:
            await super().pace(*arguments, **fields)
            if self.is_mute:
                raise task_executor.ExecutorUnavailable('no answer')

    async def check() -> None:
        executor = MuteExecutor()
        filler = runs.AgentRun(
            messages.RunTerms(
                TASK, 1, SMALL, is_filler=True, size_millicores=1_000
            ),
            runs.RunState.RUNNING,
        )
        filler_pacer = pacer.FillerPacer(
            executor,
            events.EventLog('agent', 'test', descriptor=1),
            lambda: [filler],
        )
        await filler_pacer._set_pace(filler, 40, 'i-1', TOKEN)
        assert executor.paces == {TASK: 40}
        executor.is_mute = False
        # Nothing disturbs any more, so that it may run at full pace.
        await filler_pacer.pace(
            resources.Resources(8_000, 8_000), 'i-1', TOKEN
        )
        assert executor.paces == {TASK: 100}

    asyncio.run(check())
