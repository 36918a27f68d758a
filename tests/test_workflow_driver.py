"""The agent's driver must be the last guard of its executor."""

import asyncio
from collections import abc
import dataclasses
from typing import Any

import pytest

from borageshelf.agent.workflows import driver as driver_module
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
SMALL = resources.Resources(1_000, 1_000)
STARTED = task_executor.StartOutcome.STARTED


class FakeExecutor:
    """An executor in memory; tests decide what its answers are."""

    def __init__(self) -> None:
        self.clock_offset_ms = -50_000
        self.born_at_ms = 1
        self.token = 0
        self.running: dict[tuple[str, int], int] = {}
        self.ended: list[task_executor.EndedRun] = []
        self.starts: list[task_executor.StartOrder] = []
        self.stops: list[tuple[str, int]] = []
        self.paces: dict[str, int] = {}
        self.leases_ms: list[int] = []
        self.acknowledged = 0
        self.lost_starts = 0
        self.applies_lost_starts = False
        self.lost_inspections = 0
        self.outcome = STARTED
        self.measured: dict[str, int] = {}
        self.on_lost_start: abc.Callable[[], None] = lambda: None

    def read_clock_ms(self) -> int:
        """Return the executor's own clock."""
        return clock.read_elapsed_ms() + self.clock_offset_ms

    async def start(
        self, instance_id: str, order: task_executor.StartOrder
    ) -> task_executor.StartOutcome:
        await asyncio.sleep(0)
        self.starts.append(order)
        self.leases_ms.append(order.lease_deadline_ms)
        if self.lost_starts:
            self.lost_starts -= 1
            if self.applies_lost_starts:
                self._run(order)
            self.on_lost_start()
            raise task_executor.ExecutorLost('no answer')
        if self.outcome is STARTED:
            self._run(order)
        return self.outcome

    def _run(self, order: task_executor.StartOrder) -> None:
        key = (order.task, order.attempt)
        if key not in self.running:
            self.running[key] = 0

    async def stop(
        self, instance_id: str, task: str, attempt: int, token: int
    ) -> None:
        await asyncio.sleep(0)
        self.stops.append((task, attempt))
        if (task, attempt) in self.running:
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
        await asyncio.sleep(0.005)
        if self.lost_inspections:
            self.lost_inspections -= 1
            raise task_executor.ExecutorLost('no answer')
        if token < self.token:
            raise task_executor.OrderRefused(task_executor.StartOutcome.FENCED)
        self.token = token
        self.acknowledged = max(self.acknowledged, acknowledged)
        if lease_deadline_ms:
            self.leases_ms.append(lease_deadline_ms)
        return task_executor.Inspection(
            self.read_clock_ms(),
            self.born_at_ms,
            tuple(
                task_executor.RunningTask(
                    task, attempt, '', 100, self.measured.get(task, 0)
                )
                for task, attempt in self.running
            ),
            tuple(end for end in self.ended if end.number > self.acknowledged),
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


class Scene:
    """A driver, its executor and what it tells the owner."""

    def __init__(self) -> None:
        self.executor = FakeExecutor()
        self.sent: list[messages.AnyMessage] = []
        self.sessions_asked = 0
        self.driver = driver_module.ExecutorDriver(
            self.executor,
            events.EventLog('agent', 'test', descriptor=1),
            self.sent.append,
            self._ask_session,
            LEASE_LIMIT_MS,
        )

    def _ask_session(self) -> None:
        self.sessions_asked += 1

    async def begin(self) -> None:
        """Announce the executor and begin a session with a grant."""
        self.driver.note_announcement(ANNOUNCEMENT)
        self.driver.begin_session(messages.Welcome(1, TOKEN, GRANT_MS, ()))
        await self.wait_for(messages.Snapshot)
        self.grant()

    def grant(self) -> None:
        """Answer a report of now."""
        self.driver.note_grant(messages.Answer(clock.read_elapsed_ms(), True))

    def start(self, **terms: Any) -> None:
        """Order a start."""
        terms.setdefault('task', TASK)
        terms.setdefault('attempt', 1)
        terms.setdefault('reserved', SMALL)
        self.driver.order_start(
            messages.Start(
                TOKEN, messages.RunTerms(**terms), ID, 'the spec', ''
            )
        )

    def find(self, kind: type[Any]) -> list[Any]:
        """Return the messages of a kind."""
        return [item for item in self.sent if isinstance(item, kind)]

    async def wait_for(self, kind: type[Any], count: int = 1) -> Any:
        """Wait for messages of a kind and return the last one."""
        while len(self.find(kind)) < count:
            await asyncio.sleep(0.005)
        return self.find(kind)[-1]

    async def wait_until(self, is_true: abc.Callable[[], bool]) -> None:
        """Wait for a condition."""
        while not is_true():
            await asyncio.sleep(0.005)


def play(scenario: abc.Callable[[Scene], abc.Awaitable[None]]) -> None:
    """Run a scenario with a bound that only a hang reaches."""

    async def run() -> None:
        scene = Scene()
        try:
            async with asyncio.timeout(20):
                await scenario(scene)
        finally:
            await scene.driver.stop()

    asyncio.run(run())


def test_start_without_answer_is_repeated_with_its_specification() -> None:
    """Guards against an empty specification after the workflow has ended.

    The run was carried out, ended, completed its workflow and was forgotten
    while the start was still repeated.
    """

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.executor.lost_starts = 1
        scene.executor.on_lost_start = lambda: scene.driver.forget(ID)
        scene.start()
        await scene.wait_until(lambda: len(scene.executor.starts) == 2)
        specs = {order.spec for order in scene.executor.starts}
        assert specs == {'the spec'}

    play(scenario)


def test_start_that_ended_meanwhile_is_not_repeated() -> None:
    """Guards against orders for a run whose end is known."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.executor.lost_starts = 10
        scene.executor.applies_lost_starts = True
        scene.executor.on_lost_start = lambda: scene.executor.end(
            TASK, 1, task_executor.EndKind.DONE
        )
        scene.start()
        await scene.wait_for(messages.Ends)
        count = len(scene.executor.starts)
        await asyncio.sleep(0.3)
        assert len(scene.executor.starts) <= count + 1

    play(scenario)


def test_start_that_is_never_answered_is_stopped_before_it_is_refused() -> (
    None
):
    """Guards against a start that is carried out after it was given up."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.executor.lost_starts = 100
        scene.start()
        refused = await scene.wait_for(messages.StartRefused)
        assert (refused.task, refused.attempt) == (TASK, 1)
        assert scene.executor.stops == [(TASK, 1)]
        assert refused.is_unhealthy

    play(scenario)


def test_start_above_the_capacity_is_refused() -> None:
    """Guards against an owner that counts wrongly."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        for number in range(5):
            scene.start(task=f'{ID}.0.0.{number}')
        refused = await scene.wait_for(messages.StartRefused)
        assert refused.task == f'{ID}.0.0.4'
        assert refused.reason == 'no room'
        await scene.wait_until(lambda: len(scene.executor.starts) == 4)

    play(scenario)


def test_draining_executor_gets_no_start() -> None:
    """Guards against work on an executor that leaves."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.driver.note_announcement(
            dataclasses.replace(ANNOUNCEMENT, sequence=2, is_draining=True)
        )
        scene.start()
        refused = await scene.wait_for(messages.StartRefused)
        assert refused.reason == 'draining'
        assert scene.executor.starts == []

    play(scenario)


def test_order_of_another_session_is_ignored() -> None:
    """Guards against orders that a former owner sent."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        terms = messages.RunTerms(TASK, 1, SMALL)
        scene.driver.order_start(
            messages.Start(TOKEN - 1, terms, ID, 'the spec', '')
        )
        await asyncio.sleep(0.1)
        assert scene.executor.starts == []

    play(scenario)


def test_lease_ends_before_the_grant() -> None:
    """Guards against work that goes on when the owner counts it as ended."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        granted_at_ms = clock.read_elapsed_ms()
        scene.start()
        await scene.wait_until(lambda: len(scene.executor.leases_ms) > 2)
        latest_ms = max(scene.executor.leases_ms)
        offset_ms = scene.executor.clock_offset_ms
        assert latest_ms - offset_ms <= granted_at_ms + GRANT_MS
        assert latest_ms - offset_ms > granted_at_ms + GRANT_MS * 0.9

    play(scenario)


def test_start_without_a_grant_is_refused() -> None:
    """Guards against work that no owner answers for."""

    async def scenario(scene: Scene) -> None:
        scene.driver.note_announcement(ANNOUNCEMENT)
        scene.driver.begin_session(messages.Welcome(1, TOKEN, GRANT_MS, ()))
        await scene.wait_for(messages.Snapshot)
        scene.start()
        refused = await scene.wait_for(messages.StartRefused)
        assert refused.reason == 'no grant'
        assert scene.executor.starts == []

    play(scenario)


def test_end_is_forgotten_only_after_its_acknowledgement() -> None:
    """Guards against an end that is lost with the owner."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.start()
        await scene.wait_until(lambda: (TASK, 1) in scene.executor.running)
        scene.executor.end(TASK, 1, task_executor.EndKind.DONE)
        await scene.wait_for(messages.Ends)
        await asyncio.sleep(0.3)
        assert scene.executor.acknowledged == 0
        scene.driver.acknowledge(messages.Acknowledged(TOKEN, 1))
        await scene.wait_until(lambda: scene.executor.acknowledged == 1)
        assert len(scene.find(messages.Ends)) == 1

    play(scenario)


def test_new_life_under_the_same_id_is_noticed() -> None:
    """Guards against ends and runs of a former life."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.executor.born_at_ms = 2
        scene.executor.running.clear()
        await scene.wait_for(messages.ExecutorGone)
        await scene.wait_until(lambda: scene.sessions_asked > 0)
        assert scene.driver.incarnation == 'i-1/2'

    play(scenario)


def test_delayed_announcement_of_a_former_life_is_ignored() -> None:
    """Guards against a heartbeat that a partition held back."""
    scene = Scene()

    async def run() -> None:
        newer = dataclasses.replace(
            ANNOUNCEMENT, instance_id='i-2', born_at_ms=5
        )
        scene.driver.note_announcement(newer)
        scene.driver.note_announcement(
            dataclasses.replace(ANNOUNCEMENT, sequence=99)
        )
        assert scene.driver.incarnation == 'i-2/5'

    asyncio.run(run())


def test_unwanted_run_is_stopped() -> None:
    """Guards against a start that is carried out seconds later."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.executor.running[(TASK, 3)] = 0
        await scene.wait_until(lambda: (TASK, 3) in scene.executor.stops)

    play(scenario)


def test_refused_token_asks_for_a_new_session() -> None:
    """Guards against an agent that goes on under a token that is fenced."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        asked = scene.sessions_asked
        scene.executor.token = TOKEN + 1
        await scene.wait_until(lambda: scene.sessions_asked > asked)

    play(scenario)


@pytest.mark.parametrize(
    ('outcome', 'is_unhealthy'),
    [
        (task_executor.StartOutcome.NO_ROOM, False),
        (task_executor.StartOutcome.UNHEALTHY, True),
        (task_executor.StartOutcome.SUPERSEDED, False),
        (task_executor.StartOutcome.INVALID, False),
    ],
)
def test_refusal_is_told(
    outcome: task_executor.StartOutcome, is_unhealthy: bool
) -> None:
    """Guards against a run that both sides wait for."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.executor.outcome = outcome
        scene.start()
        refused = await scene.wait_for(messages.StartRefused)
        assert refused.reason == outcome.value
        assert refused.is_unhealthy is is_unhealthy

    play(scenario)


def test_filler_that_disturbs_is_slowed_and_others_are_not() -> None:
    """Guards against a serving task over its target, and idle processors."""

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.driver.note_effects(
            messages.Effects(
                (('monitor', 'loud', 3.0), ('monitor', 'quiet', 0.0))
            )
        )
        scene.executor.measured = {
            f'{ID}.0.0.0': 17,
            f'{ID}.0.1.0': 1_000,
            f'{ID}.0.2.0': 1_000,
        }
        scene.start(
            task=f'{ID}.0.0.0',
            is_lasting=True,
            latency_target_ms=18,
            image='monitor',
        )
        for number, image in ((1, 'loud'), (2, 'quiet')):
            scene.start(
                task=f'{ID}.0.{number}.0',
                is_filler=True,
                image=image,
                size_millicores=1_000,
            )
        await scene.wait_until(
            lambda: scene.executor.paces.get(f'{ID}.0.1.0', 100) < 60
        )
        assert scene.executor.paces.get(f'{ID}.0.2.0', 100) == 100

    play(scenario)


def test_new_process_waits_for_the_lease_of_its_predecessor() -> None:
    """Guards against work that is taken for ended while it goes on.

    A restarted agent knew of no lease, and said at the first unanswered
    inspection that everything on the executor had ended.
    """

    async def scenario(scene: Scene) -> None:
        begun_at_ms = clock.read_elapsed_ms()
        scene.executor.lost_inspections = 1_000
        scene.driver.note_announcement(ANNOUNCEMENT)
        scene.driver.begin_session(messages.Welcome(1, TOKEN, GRANT_MS, ()))
        await scene.wait_for(messages.ExecutorGone)
        assert clock.read_elapsed_ms() - begun_at_ms >= LEASE_LIMIT_MS

    play(scenario)


def test_disturbing_filler_is_paced_from_its_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a serving task over its target after each start.

    A task works at full pace until it is told otherwise, and the next
    inspection came half a second later.
    """

    async def scenario(scene: Scene) -> None:
        await scene.begin()
        scene.driver.note_effects(
            messages.Effects((('monitor', 'loud', 3.0),))
        )
        serving = f'{ID}.0.0.0'
        scene.executor.measured = {serving: 9}
        scene.start(
            task=serving,
            is_lasting=True,
            latency_target_ms=18,
            image='monitor',
        )
        await scene.wait_until(
            lambda: any(
                sample.latency_ms == 9
                for sample in scene.driver._pacer.make_samples()
            )
        )
        inspect = scene.executor.inspect
        released = asyncio.Event()

        async def inspect_later(*arguments: Any) -> task_executor.Inspection:
            found = await inspect(*arguments)
            await released.wait()
            return found

        monkeypatch.setattr(scene.executor, 'inspect', inspect_later)
        filler = f'{ID}.0.1.0'
        scene.start(
            task=filler, is_filler=True, image='loud', size_millicores=3_000
        )
        await scene.wait_until(
            lambda: scene.executor.paces.get(filler, 100) < 60
        )
        released.set()

    play(scenario)


def test_starts_after_one_inspection_slow_fillers_once() -> None:
    """Guards against fillers that stand still after a burst of starts.

    Each start took the same high latency for a new one, and slowed all
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
        found = pacer.FillerPacer(
            executor,
            events.EventLog('agent', 'test', descriptor=1),
            lambda: [serving, filler],
        )
        capacity = resources.Resources(64_000, 8_000)
        found.note_use(capacity)
        for _ in range(4):
            await found.pace(capacity, 'i-1', TOKEN)
        once = found._pace_gain
        found.note_use(capacity)
        await found.pace(capacity, 'i-1', TOKEN)
        assert once > 0.5 > found._pace_gain

    asyncio.run(check())
