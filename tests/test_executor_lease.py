"""The agent takes no lease for ended that the executor may still hold."""

import asyncio

import pytest

from borageshelf.agent.workflows import executor_lease
from borageshelf import clock
from borageshelf.workflows import messages
from tests import test_workflow_driver as driver_tests

LIMIT_MS = 6_000


class FakeClocks:
    """The agent's clocks, which a test moves on."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.elapsed_ms = 200_000
        self.running_ms = 100_000
        monkeypatch.setattr(clock, 'read_elapsed_ms', lambda: self.elapsed_ms)
        monkeypatch.setattr(clock, 'read_running_ms', lambda: self.running_ms)

    def run(self, duration_ms: int) -> None:
        """Let the VM run."""
        self.elapsed_ms += duration_ms
        self.running_ms += duration_ms

    def suspend(self, duration_ms: int) -> None:
        """Suspend the VM."""
        self.elapsed_ms += duration_ms


def make_extended_lease(
    clocks: FakeClocks, grant_ms: int
) -> executor_lease.ExecutorLease:
    """Return a lease that one accepted order has extended."""
    lease = executor_lease.ExecutorLease(LIMIT_MS)
    clocks.run(LIMIT_MS + 1_000)
    lease.record_clock(1_000)
    extension = lease.compute_extension(clocks.elapsed_ms + grant_ms)
    lease.begin_extension(extension)
    lease.end_extension(extension, is_without_effect=False)
    return lease


def test_lease_has_not_ended_while_a_slow_executor_may_hold_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocks = FakeClocks(monkeypatch)
    lease = make_extended_lease(clocks, 5_000)
    clocks.suspend(4_000)
    clocks.run(round(5_000 * 0.975 / 0.98))
    assert not lease.has_ended()
    clocks.run(executor_lease.LEASE_END_MARGIN_MS + 1)
    assert lease.has_ended()


def test_order_after_a_suspension_requests_no_lease_beyond_the_grant(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocks = FakeClocks(monkeypatch)
    lease = executor_lease.ExecutorLease(LIMIT_MS)
    lease.record_clock(1_000)
    grant_deadline_ms = clocks.elapsed_ms + 5_000
    clocks.suspend(2_000)
    extension = lease.compute_extension(grant_deadline_ms)
    assert 1_000 < extension.lease_deadline_ms <= 1_000 + 3_000


def test_order_that_is_under_way_may_still_extend_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clocks = FakeClocks(monkeypatch)
    lease = make_extended_lease(clocks, 1_000)
    extension = lease.compute_extension(clocks.elapsed_ms + 5_000)
    lease.begin_extension(extension)
    clocks.run(2_000)
    assert not lease.has_ended()
    lease.end_extension(extension, is_without_effect=True)
    assert lease.has_ended()


def test_agent_reports_no_end_of_a_lease_after_a_suspension(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        read_elapsed_ms = clock.read_elapsed_ms
        monkeypatch.setattr(
            clock, 'read_elapsed_ms', lambda: read_elapsed_ms() + 6_000
        )
        harness.executor.clock_offset_ms -= 6_000
        harness.executor.lost_inspections = 3
        await harness.wait_until(lambda: not harness.executor.lost_inspections)
        await asyncio.sleep(0.3)
        assert harness.list_sent(messages.ExecutorGone) == []

    driver_tests.run_scenario(scenario)
