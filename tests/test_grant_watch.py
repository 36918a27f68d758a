"""Runs end with the owner's grant, also on a VM that was suspended."""

import asyncio

import pytest

from borageshelf.agent.workflows import grant_watch
from borageshelf import clock
from borageshelf.workflows import messages
from borageshelf.workflows import policy
from tests import test_workflow_driver as driver_tests
from tests import workflow_support as support

NOTICE_LIMIT_S = 4 * grant_watch.CHECK_INTERVAL_MS / 1000


class Suspension:
    """Moves the agent's clocks on and lets the executor's stand still."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._moved_ms = 0
        for name in ('read_elapsed_ms', 'read_running_ms'):
            read_ms = getattr(clock, name)
            monkeypatch.setattr(
                clock, name, lambda read_ms=read_ms: read_ms() + self._moved_ms
            )

    def suspend(
        self, harness: driver_tests.DriverHarness, duration_ms: int
    ) -> None:
        """Suspend the VM; the agent's clocks count the time."""
        self._moved_ms += duration_ms
        harness.executor.clock_offset_ms -= duration_ms

    def skip(self, duration_ms: int) -> None:
        """Let all clocks go on; the tasks of the agent miss the time."""
        self._moved_ms += duration_ms


async def run_task(harness: driver_tests.DriverHarness) -> None:
    """Begin a session with one run at work."""
    await harness.begin_session()
    harness.start()
    await harness.wait_until(
        lambda: (driver_tests.TASK, 1) in harness.executor.running
    )
    await asyncio.sleep(0.05)


@pytest.mark.parametrize('has_session', [True, False])
def test_runs_are_stopped_when_a_suspended_vm_goes_on_without_a_grant(
    has_session: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a run beside the one that the owner has started (TWICE).

    The agent is cut off when its VM goes on, and the executor's lease has as
    much left as before.
    """
    suspension = Suspension(monkeypatch)

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await run_task(harness)
        if not has_session:
            harness.driver.end_session()
        suspension.suspend(harness, driver_tests.GRANT_MS)
        await asyncio.sleep(NOTICE_LIMIT_S)
        assert harness.executor.stops == [(driver_tests.TASK, 1)]
        assert not harness.executor.running

    driver_tests.run_scenario(scenario)


def test_stop_without_a_grant_is_repeated_until_it_is_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a run that goes on because its stop was refused."""
    suspension = Suspension(monkeypatch)

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await run_task(harness)
        harness.driver.end_session()
        harness.executor.refused_stops = 2
        suspension.suspend(harness, driver_tests.GRANT_MS)
        await harness.wait_until(lambda: not harness.executor.running)
        await asyncio.sleep(NOTICE_LIMIT_S)
        assert harness.executor.stops == [(driver_tests.TASK, 1)]

    driver_tests.run_scenario(scenario)


def test_stop_without_a_grant_is_not_fenced_after_a_session_of_a_former_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against runs that go on because a late welcome has a low token.

    An agent that loses the owner may reach a former one that does not know it.
    """
    suspension = Suspension(monkeypatch)

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await run_task(harness)
        requested = harness.requested_sessions
        harness.driver.begin_session(
            messages.Welcome(
                0, driver_tests.TOKEN - 1, driver_tests.GRANT_MS, ()
            )
        )
        await harness.wait_until(
            lambda: harness.requested_sessions > requested
        )
        suspension.suspend(harness, driver_tests.GRANT_MS)
        await asyncio.sleep(NOTICE_LIMIT_S)
        assert harness.executor.stops == [(driver_tests.TASK, 1)]

    driver_tests.run_scenario(scenario)


def test_runs_go_on_while_the_grant_lasts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against work that a short suspension throws away."""
    suspension = Suspension(monkeypatch)

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await run_task(harness)
        harness.driver.end_session()
        suspension.suspend(harness, driver_tests.GRANT_MS - 2_000)
        await asyncio.sleep(NOTICE_LIMIT_S)
        assert harness.executor.stops == []

    driver_tests.run_scenario(scenario)


def test_runs_that_a_new_agent_adopts_are_not_stopped() -> None:
    """Guards against stops before the first grant of a new process."""

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        harness.executor.running[(driver_tests.TASK, 1)] = 0
        harness.driver.handle_announcement(driver_tests.ANNOUNCEMENT)
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN, driver_tests.GRANT_MS, ())
        )
        await harness.wait_for(messages.Snapshot)
        await asyncio.sleep(NOTICE_LIMIT_S)
        assert harness.executor.stops == []

    driver_tests.run_scenario(scenario)


def test_silent_executor_of_a_suspended_vm_is_not_reported_as_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second start at the end of a suspension of 5 s (TWICE).

    The agent's request has timed out when the VM goes on. By the agent's clock
    the lease has ended, and by the executor's it has not.
    """
    suspension = Suspension(monkeypatch)

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await run_task(harness)
        harness.executor.lost_inspections = 3
        suspension.suspend(harness, driver_tests.GRANT_MS + 1_000)
        await harness.wait_until(lambda: not harness.executor.lost_inspections)
        assert harness.list_sent(messages.ExecutorGone) == []

    driver_tests.run_scenario(scenario)


def test_report_requests_no_grant_while_the_executor_is_silent() -> None:
    """Guards against lasting tasks without a run on a lost VM (LOST).

    The owner would count the wait from a time at which no lease was extended.
    """

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await run_task(harness)
        harness.driver.send_report()
        harness.executor.lost_inspections = 2
        await harness.wait_until(lambda: harness.executor.lost_inspections < 2)
        await asyncio.sleep(0)
        harness.driver.send_report()
        await harness.wait_until(lambda: not harness.executor.lost_inspections)
        await asyncio.sleep(NOTICE_LIMIT_S)
        harness.driver.send_report()
        reports = harness.list_sent(messages.Report)[-3:]
        assert [each.requests_grant for each in reports] == [True, False, True]

    driver_tests.run_scenario(scenario)


def test_start_is_not_sent_after_its_stop() -> None:
    """Guards against a start of a cancelled task (UNASKED).

    The stop arrives while the start waits for a grant.
    """

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        harness.driver.handle_announcement(driver_tests.ANNOUNCEMENT)
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN, driver_tests.GRANT_MS, ())
        )
        await harness.wait_for(messages.Snapshot)
        harness.executor.refused_stops = 100
        harness.start()
        await asyncio.sleep(0.05)
        harness.driver.order_stop(
            messages.Stop(driver_tests.TOKEN, driver_tests.TASK, 1)
        )
        harness.extend_grant()
        await asyncio.sleep(0.2)
        assert harness.executor.starts == []

    driver_tests.run_scenario(scenario)


def test_owner_waits_for_a_grant_and_the_longest_suspension() -> None:
    """Guards against a second start before a lease has ended (TWICE).

    A VM may be suspended at any time before its grant has ended.
    """
    limits = policy.OwnerPolicy(policy.GRANT_LIMIT_MS, 60_000).silence_limits
    # ``kinds`` of the users' platform, and their sites.
    longest_suspension_ms, site_suspension_ms = 5_000, 4_000
    longest_stop_ms = 900
    assert limits.other_ms >= policy.GRANT_LIMIT_MS + longest_suspension_ms
    assert limits.lasting_ms >= policy.GRANT_LIMIT_MS + site_suspension_ms
    # Rule LOST of the users' platform: 9 s after its last run a lasting task
    # has another one, which takes half a second to place and start.
    assert limits.lasting_ms <= 8_500
    assert longest_suspension_ms + longest_stop_ms < limits.lasting_ms
    assert (
        policy.GRANT_LIMIT_MS + grant_watch.CHECK_INTERVAL_MS + longest_stop_ms
        < limits.lasting_ms
    )


def test_lost_run_names_what_has_proved_its_end() -> None:
    """Guards against a log that names a proof that was not the one."""
    cluster = support.Cluster()
    fakes = [cluster.add_target(f'vm-{number}') for number in range(2)]
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    target_id = cluster.find_target_id(driver_tests.TASK)
    (fake,) = (each for each in fakes if each.target_id == target_id)
    incarnation = fake.make_state().incarnation
    cluster.core.handle_executor_gone(
        cluster.core.targets[fake.target_id],
        messages.ExecutorGone(
            0,
            incarnation,
            messages.GoneCause.LEASE_ENDED,
            reached=((driver_tests.TASK, 1),),
        ),
        cluster.moment,
    )
    (fields,) = (
        fields for event, fields in cluster.log_lines if event == 'run lost'
    )
    assert fields['proof'] == 'lease ended'
    assert fields['detail'] == incarnation
    assert fields['is_same_incarnation']
    assert fields['silent_ms'] == 0
