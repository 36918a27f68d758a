"""Tests of the evacuation of a data centre: the set and the three checks."""

import asyncio
import pathlib
import tomllib
from typing import Any

import msgspec
import pytest

from borageshelf.agent.workflows import evacuation_gate
from borageshelf.agent.workflows import target_state
from borageshelf import clock
from borageshelf.decisions import evacuation
from borageshelf.entry.workflows import configuration
from borageshelf.entry.workflows import evacuations
from borageshelf.model import data_centres
from borageshelf.platform import documents
from borageshelf.ports import store as store_interface
from borageshelf.ports import task_executor
from borageshelf.workflows import evacuation_control
from borageshelf.workflows import messages
from standins import faults
from standins import memory_store
from tests import test_agent_sessions
from tests import test_workflow_configuration
from tests import test_workflow_driver
from tests import workflow_support

State = data_centres.ServiceState
NORTH, SOUTH = 'tajo-norte', 'tajo-sur'
KEY = documents.EVACUATION_PREFIX
CASES: dict[str, Any] = tomllib.loads(
    (
        pathlib.Path(__file__).parents[1] / 'test-data' / 'evacuation.toml'
    ).read_text()
)


class WatchedStore(memory_store.MemoryStore):
    """A store that records the prefixes of watches."""

    def __init__(self) -> None:
        super().__init__()
        self.watched: set[str] = set()

    async def watch(
        self, prefix: str, after_revision: int, deadline_ms: int
    ) -> store_interface.WatchAnswer:
        """Wait for changes; see the interface."""
        self.watched.add(prefix)
        return await super().watch(prefix, after_revision, deadline_ms)


def make_evacuations() -> evacuations.Evacuations:
    """Return a set that follows the store, before its first listing."""
    return evacuations.Evacuations(
        KEY, NORTH, test_agent_sessions.make_event_log()
    )


def make_set(*names: str, age_ms: int = 0) -> evacuation.EvacuatedSet:
    """Return a set as read some time ago, for a cluster's first moment."""
    return evacuation.EvacuatedSet(True, frozenset(names), 100_000 - age_ms)


def make_cluster() -> workflow_support.Cluster:
    """Return a cluster with one target in each of two data centres."""
    cluster = workflow_support.Cluster()
    cluster.core.evacuation.apply(make_set(), cluster.moment)
    cluster.add_target('vm-north', data_centre=NORTH)
    cluster.add_target('vm-south', millicores=32_000, data_centre=SOUTH)
    return cluster


def test_set_follows_the_store_through_outages_and_lost_history() -> None:
    """Guards against a key that is missed, or kept after its removal.

    It also guards against a second watch, and against one of other keys where
    the part is off.
    """

    async def check(evacuated: evacuations.Evacuations | None) -> set[str]:
        store = WatchedStore()
        event_log = test_agent_sessions.make_event_log()
        follower = configuration.ConfigurationFollower(
            store,
            documents.CONFIGURATION_KEY,
            documents.decode_configuration,
            event_log,
            evacuated,
            documents.OPERATORS_PREFIX,
        )
        north = await store.put(KEY + NORTH, b'', 0)
        await store.put('op/other', b'', 0)
        follower_task = asyncio.ensure_future(follower.run())

        async def wait_for(version: int, *names: str) -> None:
            while follower.configuration.version != version or (
                evacuated is not None
                and evacuated.known.data_centres != set(names)
            ):
                await asyncio.sleep(0.01)

        async def publish(version: int, revision: int) -> int:
            document = test_workflow_configuration.make_document(version)
            return await store.put(
                documents.CONFIGURATION_KEY, document, revision
            )

        async with asyncio.timeout(20):
            revision = await publish(1, 0)
            await wait_for(1, NORTH)
            south = await store.put(KEY + SOUTH, b'x', 0)
            await wait_for(1, NORTH, SOUTH)
            assert store.waiting_watches == 1
            await store.delete(KEY + NORTH, north)
            await wait_for(1, SOUTH)
            store.set_faults(faults.FaultPlan(outage=faults.Outage.REFUSING))
            await asyncio.sleep(0.3)
            store.set_faults(faults.FaultPlan())
            await store.delete(KEY + SOUTH, south)
            await store.put(KEY + NORTH, b'', 0)
            store.compact()
            await publish(2, revision)
            await wait_for(2, NORTH)
        follower_task.cancel()
        return store.watched

    assert asyncio.run(check(make_evacuations())) == {'op/'}
    assert asyncio.run(check(None)) == {'op/config'}


def test_owner_places_nothing_without_a_recent_set() -> None:
    """Guards against starts that rely on an old reading, or on none."""
    cluster = make_cluster()
    limit_ms = evacuation.SET_AGE_LIMIT_MS
    for known in (
        evacuation.EvacuatedSet(True),
        make_set(age_ms=limit_ms + 1),
    ):
        cluster.core.evacuation.apply(known, cluster.moment)
        cluster.submit(workflow_support.make_workflow())
        cluster.run_until_idle()
        assert not cluster.sent_starts
    cluster.core.evacuation.apply(make_set(age_ms=limit_ms), cluster.moment)
    cluster.run_until_idle()
    assert cluster.sent_starts
    logged = [event for event, _ in cluster.log_lines if 'placement' in event]
    assert logged == ['placement paused', 'placement resumed']


def test_unknown_data_centre_is_named_once_and_kept() -> None:
    """Guards against a misspelled key that nobody notices, or a lost one."""
    cluster = make_cluster()
    cluster.now_ms += 2_000
    for _ in range(2):
        cluster.core.evacuation.apply(
            make_set(NORTH, 'elsewhere'), cluster.moment
        )
    named = [
        fields['data_centre']
        for event, fields in cluster.log_lines
        if event == 'evacuation of an unknown data centre'
    ]
    assert named == ['elsewhere']
    cluster.add_target('vm-late', data_centre='elsewhere')
    assert cluster.core.targets['vm-late'].is_evacuated


def test_placed_start_is_withdrawn_and_the_task_is_placed_elsewhere() -> None:
    """Guards against a start that is sent after its commit took long."""
    cluster = make_cluster()
    cluster.submit(workflow_support.make_workflow())
    cluster.core.schedule(cluster.moment)
    batch = cluster.core.take_batch()
    assert cluster.core.targets['vm-north'].runs
    changed = cluster.core.evacuation.apply(make_set(NORTH), cluster.moment)
    assert [target.target_id for target in changed] == ['vm-north']
    cluster.commit(batch)
    cluster.run_until_idle()
    assert [target for target, _, _ in cluster.sent_starts] == ['vm-south']


def test_refusal_counts_neither_for_the_task_nor_for_the_target() -> None:
    """Guards against a workflow that fails because of an evacuation.

    The agent knows of it before the owner, as after a change of owner.
    """
    cluster = make_cluster()
    cluster.submit(workflow_support.make_workflow())
    for _ in range(10):
        cluster.run_until_idle()
        target_id, task, attempt = cluster.sent_starts[-1]
        del cluster.targets[target_id].running[task]
        target = cluster.core.targets[target_id]
        refused = messages.StartRefused(
            0, task, attempt, messages.EVACUATED_REASON
        )
        cluster.core.handle_start_refusal(target, refused, cluster.moment)
        assert target.is_healthy(cluster.now_ms)
        cluster.now_ms += 500
        cluster.core.evacuation.apply(
            evacuation.EvacuatedSet(True, frozenset(), cluster.now_ms),
            cluster.moment,
        )
    job = cluster.core.jobs['0123456789abcdef']
    assert job.is_active
    assert not job.tasks[0].failures


def test_work_is_refused_at_once_while_everything_is_evacuated() -> None:
    """Guards against accepted work that waits for the end of an evacuation."""
    cluster = make_cluster()
    cluster.now_ms += 5_000
    cluster.core.evacuation.apply(make_set(NORTH, SOUTH), cluster.moment)
    cluster.submit(workflow_support.make_workflow())
    assert cluster.replies[1].outcome.name == 'REFUSED'
    assert cluster.replies[1].retry_after_s


def test_cold_target_takes_only_what_the_warm_ones_have_no_room_for() -> None:
    """Guards against work on a slow target beside free warm ones."""
    cluster = make_cluster()
    north = cluster.targets['vm-north']
    state = msgspec.structs.replace(north.make_state(), cold_left_ms=2_000)
    target = cluster.core.targets['vm-north']
    cluster.core.update_target_state(target, state, cluster.moment)
    step = workflow_support.make_step(34)
    cluster.submit(workflow_support.make_workflow(step))
    cluster.run_until_idle()
    assert len(cluster.targets['vm-south'].running) == 32
    assert len(north.running) == 2
    cluster.now_ms += 2_000
    cluster.submit(
        workflow_support.make_workflow(workflow_id='fedcba9876543210')
    )
    cluster.run_until_idle()
    assert len(north.running) == 3


@pytest.mark.parametrize('case', CASES['cold'])
def test_agent_tells_how_long_its_executor_is_slow(
    case: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a state that changes with each heartbeat."""
    heartbeat = {**CASES['heartbeat'], 'ColdLeftMs': case['left_ms']}
    monkeypatch.setattr(clock, 'read_elapsed_ms', lambda: 7_000)
    found = documents.decode_announcement(
        'i-1', msgspec.json.encode(heartbeat), 7_000
    )
    told = target_state.make_state(found, True)
    assert told.cold_left_ms == case['told_ms']
    assert not target_state.make_state(found, False).cold_left_ms


class LastingStep:
    """Lasting tasks in the north, whose ends and progress a test decides."""

    def __init__(self, absent_limit: int, south_millicores: int) -> None:
        self.cluster = workflow_support.Cluster()
        self.cluster.core.evacuation.apply(make_set(), self.cluster.moment)
        self.cluster.add_target('vm-north', data_centre=NORTH)
        step = workflow_support.make_step(
            4, is_lasting=True, absent_limit=absent_limit
        )
        self.cluster.submit(workflow_support.make_workflow(step))
        self.cluster.run_until_idle()
        self.cluster.add_target(
            'vm-south', south_millicores, data_centre=SOUTH
        )
        self.cluster.core.evacuation.apply(
            make_set(NORTH), self.cluster.moment
        )

    def report(self, *tasks: str) -> None:
        """Let the agents report that tasks are at work; all without names."""
        for fake in self.cluster.targets.values():
            self.cluster.core.update_progress(
                self.cluster.core.targets[fake.target_id],
                [
                    messages.Row(task, attempt, '', 100)
                    for task, attempt in fake.running.items()
                    if not tasks or task in tasks
                ],
                self.cluster.moment,
            )
        self.cluster.now_ms += evacuation_control.MOVE_INTERVAL_MS
        self.cluster.run_until_idle()

    def take_stopped(self) -> list[str]:
        """End the runs whose stop was ordered; return their tasks."""
        fake = self.cluster.targets['vm-north']
        stopped, fake.stop_orders = sorted(fake.stop_orders), set()
        for task in stopped:
            self.cluster.end_run(task, task_executor.EndKind.STOPPED)
        self.cluster.now_ms += evacuation_control.MOVE_INTERVAL_MS
        self.cluster.run_until_idle()
        return [task[-1] for task in stopped]


def test_lasting_tasks_move_within_their_limit() -> None:
    """Guards against a step with more absent tasks than it allows."""
    step = LastingStep(absent_limit=2, south_millicores=64_000)
    step.report()
    assert step.take_stopped() == ['0', '1']
    assert not step.take_stopped()
    step.report('0123456789abcdef.0.0.0')
    assert step.take_stopped() == ['2']
    step.report()
    assert step.take_stopped() == ['3']
    assert len(step.cluster.targets['vm-south'].running) == 4


def test_lasting_tasks_without_a_limit_move_one_by_one() -> None:
    """Guards against a move beside a task that is absent for another cause."""
    step = LastingStep(absent_limit=0, south_millicores=64_000)
    step.report('0123456789abcdef.0.0.1', '0123456789abcdef.0.0.2')
    assert not step.take_stopped()
    step.report('0123456789abcdef.0.0.3')
    assert step.take_stopped() == ['0']
    assert not step.take_stopped()
    step.report()
    assert step.take_stopped() == ['1']


@pytest.mark.parametrize(
    ('millicores', 'moved'), [(900, []), (2_900, ['0', '1'])]
)
def test_lasting_tasks_stay_where_no_room_is_elsewhere(
    millicores: int, moved: list[str]
) -> None:
    """Guards against a lasting task that is stopped and finds no target."""
    step = LastingStep(absent_limit=4, south_millicores=millicores)
    step.report()
    assert step.take_stopped() == moved
    step.report()
    assert not step.take_stopped()


@pytest.mark.parametrize('case', CASES['statements'])
def test_agent_needs_a_recent_statement(case: dict[str, Any]) -> None:
    """Guards against a start under an old, lost or revoked permission."""
    gate = evacuation_gate.EvacuationGate(
        True, test_agent_sessions.make_event_log()
    )
    now_ms = clock.read_elapsed_ms()
    for name, age_ms in case['given']:
        asked_at_ms = None if age_ms < 0 else now_ms - age_ms
        state = data_centres.ServiceState[name]
        gate.note_statement(state, asked_at_ms)
    assert gate.find_refusal_reason() == case['reason']


def test_agent_checks_before_each_try_of_a_start() -> None:
    """Guards against a repeated start after the agent was told."""

    async def scenario(harness: test_workflow_driver.DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.lost_starts = 10
        harness.executor.on_lost_start = lambda: harness.driver.extend_grant(
            messages.Answer(0, service_state=State.EVACUATED)
        )
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == messages.EVACUATED_REASON
        assert not refused.is_unhealthy
        harness.start(attempt=2)
        await harness.wait_for(messages.StartRefused, 2)
        assert len(harness.executor.starts) == 1

    test_workflow_driver.run_scenario(scenario, needs_answers=True)


def test_agent_reports_that_a_lasting_run_is_at_work() -> None:
    """Guards against moves that wait for a run that is at work long since."""

    async def scenario(harness: test_workflow_driver.DriverHarness) -> None:
        await harness.begin_session()
        harness.executor.progress_percent = 40
        harness.start(is_lasting=True)
        reported: list[int] = []
        while reported != [40, 100]:
            await asyncio.sleep(0.005)
            harness.driver.send_report()
            rows = [
                row
                for report in harness.list_sent(messages.Report)
                for row in report.rows
            ]
            reported = [row.progress_percent for row in rows]
            if reported:
                harness.executor.progress_percent = 100

    test_workflow_driver.run_scenario(scenario)


def test_agent_without_an_answer_starts_nothing() -> None:
    """Guards against starts on a grant that outlives the permission."""

    async def scenario(harness: test_workflow_driver.DriverHarness) -> None:
        await harness.begin_session()
        old_ms = clock.read_elapsed_ms() - evacuation.ANSWER_AGE_LIMIT_MS
        await asyncio.sleep(0)
        harness.driver._evacuation._permitted_from_ms = old_ms - 1
        harness.start()
        refused = await harness.wait_for(messages.StartRefused)
        assert refused.reason == messages.NO_RECENT_ANSWER_REASON
        assert not harness.executor.starts

    test_workflow_driver.run_scenario(scenario, needs_answers=True)


def test_owner_states_the_evacuation_in_each_answer_and_on_a_change() -> None:
    """Guards against an agent that learns of it late, or never."""

    async def check() -> None:
        evacuated = make_evacuations()
        owner = await test_agent_sessions.make_runtime(evacuated=evacuated)
        run = asyncio.ensure_future(owner.run())
        stream = test_agent_sessions.Stream()
        serving = asyncio.ensure_future(
            owner.serve_agent(
                test_agent_sessions.HELLO, stream.receive(), stream.outbox
            )
        )

        async def receive(kind: type[messages.Message], count: int) -> State:
            async with asyncio.timeout(20):
                while len(stream.list_received(kind)) < count:
                    await asyncio.sleep(0.005)
            state = stream.list_received(kind)[-1].service_state
            assert isinstance(state, State)
            return state

        assert await receive(messages.Welcome, 1) is State.UNKNOWN
        token = stream.list_received(messages.Welcome)[0].token
        evacuated.apply_listing((), clock.read_elapsed_ms())
        stream.send(messages.Report(token, 1))
        assert await receive(messages.Answer, 1) is State.IN_SERVICE
        key = store_interface.Entry(KEY + NORTH, b'', 1)
        evacuated.apply_changes((key,), clock.read_elapsed_ms())
        assert await receive(messages.Answer, 2) is State.EVACUATED
        stream.send(messages.Report(token, 1))
        assert await receive(messages.Answer, 3) is State.EVACUATED
        for task in (serving, run):
            task.cancel()
        await asyncio.gather(serving, run, return_exceptions=True)

    asyncio.run(check())


def test_messages_of_earlier_versions_are_understood() -> None:
    """Guards against streams between versions that end on a message."""
    welcome = messages.Welcome(1, 1, 1, (), service_state=State.EVACUATED)
    for message in (messages.Answer(1, service_state=State.UNKNOWN), welcome):
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
        # The tag comes before the fields.
        count = 1 + message.__struct_fields__.index('service_state')
        shorter = msgspec.msgpack.encode([fields[:count]])
        [found] = msgspec.msgpack.decode(
            shorter, type=list[messages.AnyMessage]
        )
        assert isinstance(found, messages.Answer | messages.Welcome)
        assert found.service_state is State.NOT_STATED
        longer = msgspec.msgpack.encode([[*fields, 7]])
        assert msgspec.msgpack.decode(
            longer, type=list[messages.AnyMessage]
        ) == [message]
