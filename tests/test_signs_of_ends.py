"""Signs that an executor has gone start nothing again while it goes on."""

import dataclasses
from typing import Any

import pytest

from borageshelf.workflows import end_proofs
from borageshelf.workflows import messages
from borageshelf.workflows import policy
from tests import test_gone_executors as gone_tests
from tests import test_proofs_of_ends as proofs
from tests import test_workflow_driver as driver_tests
from tests import workflow_support as support

KEY = (proofs.TASK, 1)
SIGNS = [
    cause
    for cause in messages.GoneCause
    if not end_proofs.WORTH[end_proofs.Sign(cause.value)].is_proof
]
LISTED = frozenset({'vm-0', 'vm-1'})


class SuspectCluster(support.Cluster):
    """A cluster with one run on a target that is suspected to have gone."""

    def __init__(self, cause: messages.GoneCause) -> None:
        super().__init__()
        for number in range(2):
            self.add_target(f'vm-{number}')
        self.submit(support.make_workflow())
        self.run_until_idle()
        ((target_id, _, _),) = self.sent_starts
        self.fake = self.targets[target_id]
        self.read_list(LISTED)
        self.report(cause)

    @property
    def lost_ids(self) -> frozenset[str]:
        """What the list shows without the suspect."""
        return LISTED - {self.fake.target_id}

    def report(self, cause: messages.GoneCause, **fields: Any) -> None:
        """Let the agent report a sign or a proof."""
        gone = messages.ExecutorGone(
            0, self.fake.make_state().incarnation, cause, (KEY,), **fields
        )
        target = self.core.targets[self.fake.target_id]
        self.core.handle_executor_gone(target, gone, self.moment)
        self.run_until_idle()

    def read_list(
        self,
        ids: frozenset[str],
        ago_ms: int = 0,
        is_one_page: bool = True,
    ) -> None:
        """Let the owner read the list of VMs."""
        reading = end_proofs.Reading(ids, self.now_ms - ago_ms, is_one_page)
        self.core.apply_listing(reading, self.moment)
        self.run_until_idle()


def test_each_cause_is_a_sign_of_the_table() -> None:
    """Guards against a cause that nobody has weighed."""
    values = {sign.value for sign in end_proofs.WORTH}
    assert {cause.value for cause in messages.GoneCause} <= values


@pytest.mark.parametrize('cause', SIGNS)
def test_sign_of_an_executor_that_is_listed_as_up_starts_nothing(
    cause: messages.GoneCause,
) -> None:
    """Guards against a second run beside one whose executor goes on."""
    cluster = SuspectCluster(cause)
    for _ in range(50):
        cluster.now_ms += 90
        cluster.read_list(LISTED)
    assert len(cluster.sent_starts) == 1
    cluster.attach(cluster.fake)
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
    assert cluster.list_running() == [proofs.TASK]
    assert gone_tests.count_crashes(cluster) == 0


@pytest.mark.parametrize('cause', SIGNS)
def test_suspect_that_the_list_has_dropped_is_replaced_at_once(
    cause: messages.GoneCause,
) -> None:
    """Guards against a wait for the lease after each crash."""
    cluster = SuspectCluster(cause)
    assert cluster.core.needs_listing(cluster.moment)
    cluster.fake.running.clear()
    cluster.read_list(cluster.lost_ids)
    assert [start[2] for start in cluster.sent_starts] == [1, 2]
    has_crashed = cause is not messages.GoneCause.LEFT
    assert gone_tests.count_crashes(cluster) == has_crashed
    assert not cluster.core.needs_listing(cluster.moment)


def test_end_of_the_lease_decides_without_a_list() -> None:
    """Guards against a run that waits for a list that can't be read."""
    cluster = SuspectCluster(messages.GoneCause.NOTHING_LISTENS)
    cluster.core.note_failed_listing(cluster.moment)
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1
    cluster.fake.running.clear()
    cluster.report(messages.GoneCause.LEASE_ENDED)
    assert [start[2] for start in cluster.sent_starts] == [1, 2]


def test_reading_that_is_older_than_the_sign_proves_nothing() -> None:
    cluster = SuspectCluster(messages.GoneCause.NOTHING_LISTENS)
    cluster.read_list(cluster.lost_ids, ago_ms=1)
    assert len(cluster.sent_starts) == 1


def test_list_of_several_pages_has_to_miss_an_executor_twice() -> None:
    """Guards against a page that changes while the list is read."""
    cluster = SuspectCluster(messages.GoneCause.NOTHING_LISTENS)
    for ids in (cluster.lost_ids, LISTED, cluster.lost_ids):
        cluster.read_list(ids, is_one_page=False)
    assert len(cluster.sent_starts) == 1
    cluster.fake.running.clear()
    cluster.read_list(cluster.lost_ids, is_one_page=False)
    assert len(cluster.sent_starts) == 2


def test_executor_that_was_never_listed_is_not_missed() -> None:
    """Guards against a list that does not know a new executor yet."""
    cluster = support.Cluster()
    fakes = [cluster.add_target(f'vm-{number}') for number in range(2)]
    cluster.submit(support.make_workflow())
    cluster.run_until_idle()
    (fake,) = (fake for fake in fakes if fake.running)
    target = cluster.core.targets[fake.target_id]
    gone = messages.ExecutorGone(
        0,
        fake.make_state().incarnation,
        messages.GoneCause.NOTHING_LISTENS,
        (KEY,),
    )
    cluster.core.handle_executor_gone(target, gone, cluster.moment)
    for _ in range(3):
        reading = end_proofs.Reading(LISTED - {fake.target_id}, cluster.now_ms)
        cluster.core.apply_listing(reading, cluster.moment)
        cluster.run_until_idle()
    assert len(cluster.sent_starts) == 1


def test_former_life_of_an_executor_id_does_not_count_as_listed() -> None:
    """Guards against a list that does not know a restarted executor yet."""
    cluster = SuspectCluster(messages.GoneCause.NOTHING_LISTENS)
    cluster.now_ms += 100
    cluster.restart(cluster.fake)
    cluster.report(messages.GoneCause.NOTHING_LISTENS)
    cluster.read_list(cluster.lost_ids)
    assert len(cluster.sent_starts) == 1


def test_path_that_fails_until_the_lease_ends_counts_as_no_crash() -> None:
    """Guards against sound tasks that are blamed for a fault of the path."""
    cluster = SuspectCluster(messages.GoneCause.NOTHING_LISTENS)
    cluster.read_list(LISTED)
    cluster.fake.running.clear()
    cluster.report(messages.GoneCause.LEASE_ENDED)
    assert [start[2] for start in cluster.sent_starts] == [1, 2]
    assert gone_tests.count_crashes(cluster) == 0


def test_end_of_the_lease_prolongs_no_wait_for_an_unlisted_executor() -> None:
    """Guards against a lasting task that waits for two limits (LOST)."""
    cluster = SuspectCluster(messages.GoneCause.LEFT)
    ordered_at_ms = cluster.now_ms
    cluster.report(messages.GoneCause.NOTHING_LISTENS, unproved=(KEY,))
    cluster.fake.running.clear()
    cluster.read_list(cluster.lost_ids)
    cluster.now_ms += 4_700
    cluster.report(
        messages.GoneCause.LEASE_ENDED, unproved=(KEY,), order_age_ms=4_700
    )
    target = cluster.core.targets[cluster.fake.target_id]
    while len(cluster.sent_starts) == 1:
        assert cluster.now_ms < ordered_at_ms + policy.ORDER_LIMIT_MS
        cluster.now_ms += 100
        cluster.core.note_contact(target, cluster.moment)
        assert cluster.core.needs_listing(cluster.moment)
        cluster.read_list(cluster.lost_ids)


@pytest.mark.parametrize(
    ('failing_ms', 'is_kept'), [(900, True), (1_300, False)]
)
def test_silent_vm_is_given_up_for_a_list_that_fails_for_long_only(
    failing_ms: int, is_kept: bool
) -> None:
    """Guards against failures in quick succession, beside a suspicion."""
    cluster = SuspectCluster(messages.GoneCause.NOTHING_LISTENS)
    cluster.core.await_listings()
    target = cluster.core.targets[cluster.fake.target_id]
    cluster.now_ms = target.lost_deadlines.other_ms
    cluster.read_list(LISTED)
    for _ in range(failing_ms // 100):
        cluster.core.note_failed_listing(cluster.moment)
        cluster.run_until_idle()
        cluster.now_ms += 100
    cluster.run_until_idle()
    assert len(cluster.sent_starts) == 2 - is_kept


def test_suspicion_ends_once_other_proofs_have_decided() -> None:
    """Guards against a list that is read for good for a lost agent."""
    cluster = SuspectCluster(messages.GoneCause.NOTHING_LISTENS)
    assert cluster.core.is_listing_urgent(cluster.moment)
    cluster.core.detach(cluster.fake.target_id, cluster.fake.session)
    cluster.now_ms += 60_000
    cluster.run_until_idle()
    assert not cluster.core.needs_listing(cluster.moment)


def test_new_executor_is_looked_for_in_the_list() -> None:
    cluster = support.Cluster()
    cluster.add_target('vm-0')
    assert cluster.core.needs_listing(cluster.moment)
    reading = end_proofs.Reading(LISTED, cluster.now_ms)
    cluster.core.apply_listing(reading, cluster.moment)
    assert not cluster.core.needs_listing(cluster.moment)


def test_refused_connections_end_no_lease_that_is_left() -> None:
    """Guards against a proof before the lease has ended, and for want of one.

    The agent knows its runs again once the executor answers.
    """

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        harness.driver.handle_announcement(driver_tests.ANNOUNCEMENT)
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN, 1_500, ())
        )
        await harness.wait_for(messages.Snapshot)
        harness.extend_grant()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        harness.executor.is_down = True
        first = await harness.wait_for(messages.ExecutorGone)
        assert first.cause is messages.GoneCause.NOTHING_LISTENS
        second = await harness.wait_for(messages.ExecutorGone, 2)
        assert second.cause is messages.GoneCause.LEASE_ENDED
        assert second.reached == first.reached == (KEY,)

    driver_tests.run_scenario(scenario)


def test_heartbeat_of_another_executor_is_no_proof_before_it_answers() -> None:
    """Guards against a heartbeat that was sent to the wrong agent."""

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        harness.start()
        await harness.wait_until(lambda: len(harness.executor.starts) == 1)
        harness.executor.is_down = True
        other = dataclasses.replace(
            driver_tests.ANNOUNCEMENT, instance_id='i-2', born_at_ms=2
        )
        harness.driver.handle_announcement(other)
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN + 1, 5_000, ())
        )
        await harness.wait_for(messages.ExecutorGone, 3)
        causes = {
            gone.cause for gone in harness.list_sent(messages.ExecutorGone)
        }
        assert causes <= set(SIGNS)
        harness.executor.is_down = False
        harness.executor.born_at_ms = 2
        await harness.wait_until(
            lambda: (
                harness.list_sent(messages.ExecutorGone)[-1].cause
                is messages.GoneCause.REPLACED
            )
        )

    driver_tests.run_scenario(scenario)


def test_executor_that_has_announced_its_end_counts_as_no_crash() -> None:
    """Guards against blame for a planned end that is proved later."""

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        harness.driver.handle_departure('i-1')
        harness.executor.is_down = True
        await harness.wait_for(messages.ExecutorGone)
        other = dataclasses.replace(
            driver_tests.ANNOUNCEMENT, instance_id='i-2', born_at_ms=2
        )
        harness.driver.handle_announcement(other)
        harness.executor.is_down = False
        harness.executor.born_at_ms = 2
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN + 1, 5_000, ())
        )
        await harness.wait_for(messages.Snapshot, 2)
        reports = harness.list_sent(messages.ExecutorGone)
        assert reports[-1].cause is messages.GoneCause.REPLACED
        assert all(gone.is_orderly for gone in reports)

    driver_tests.run_scenario(scenario)


def test_open_start_is_not_forgotten_when_a_suspect_answers_again() -> None:
    """Guards against a late start on the next incarnation (TWICE)."""

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        await harness.begin_session()
        executor = harness.executor
        executor.lost_starts = 1
        executor.applies_lost_starts = True
        harness.start()
        await harness.wait_until(lambda: len(executor.starts) == 2)
        executor.is_down = True
        suspected = await harness.wait_for(messages.ExecutorGone)
        executor.is_down = False
        await harness.wait_until(lambda: harness.requested_sessions > 1)
        harness.driver.begin_session(
            messages.Welcome(1, driver_tests.TOKEN + 1, 5_000, ())
        )
        await harness.wait_for(messages.Snapshot, 2)
        executor.restart()
        proved = await harness.wait_for(messages.ExecutorGone, 3)
        assert proved.cause is messages.GoneCause.RESTARTED
        assert proved.unproved == suspected.unproved == (KEY,)

    driver_tests.run_scenario(scenario)
