"""How long a lasting task waits for the proof that its order is void.

LOST allows 9 s after the end of the last run (RULES.md). An executor that was
back under its id exceeds them: it may have started the run late.
"""

from borageshelf.workflows import messages
from borageshelf.workflows import policy
from tests import test_proofs_of_ends as proofs
from tests import workflow_support as support

Cause = messages.GoneCause

KEY = (proofs.TASK, 1)
# Executors that are down and up by turns (`srv_flap` of the site files).
TURN_MS = 1_400
FLAPPING_MS = 6_500
REPORT_INTERVAL_MS = 200


class Fleet:
    """Two targets, and a lasting task whose order is open at a crash."""

    def __init__(self) -> None:
        self.cluster = support.Cluster()
        for number in range(2):
            self.cluster.add_target(f'vm-{number}')
        self.cluster.submit(
            support.make_workflow(
                support.make_step(is_lasting=True, estimate_ms=0)
            )
        )
        self.cluster.run_until_idle()
        ((target_id, _, _),) = self.cluster.sent_starts
        self.fake = self.cluster.targets[target_id]
        self.fake.running.clear()
        self.ordered_at_ms = self.cluster.now_ms
        self.is_attached = True

    @property
    def waited_ms(self) -> int:
        """Time since the order."""
        return self.cluster.now_ms - self.ordered_at_ms

    @property
    def is_restarted(self) -> bool:
        """Tell whether the task was started again."""
        return len(self.cluster.sent_starts) > 1

    def pass_time(self, duration_ms: int) -> None:
        """Let time pass; an attached agent reports."""
        until_ms = self.cluster.now_ms + duration_ms
        while self.cluster.now_ms < until_ms and not self.is_restarted:
            self.cluster.now_ms += REPORT_INTERVAL_MS
            if self.is_attached:
                self.cluster.core.extend_grant(
                    self.cluster.core.targets[self.fake.target_id],
                    self.cluster.moment,
                )
            self.cluster.run_until_idle()

    def report_gone(self, cause: Cause, is_known: bool) -> None:
        """Report that the present incarnation has gone.

        :param is_known: whether it is the one that got the order
        """
        fields = {}
        if is_known:
            fields = {'reached': (KEY,), 'unproved': (KEY,)}
        proofs.send_gone(
            self.cluster,
            self.fake,
            cause,
            order_age_ms=self.waited_ms if is_known else 0,
            **fields,
        )

    def attach_next(self) -> None:
        """Begin a session with the next incarnation, without a snapshot."""
        self.fake.start_count += 1
        hello = messages.AgentHello(
            self.fake.target_id,
            'boot',
            'tajo-norte',
            self.fake.make_state().incarnation,
        )
        self.fake.session = 100 + self.fake.start_count
        self.cluster.core.attach(hello, self.fake.session, self.cluster.moment)

    def flap(self) -> None:
        """Let the executor restart under its id by turns, and crash last.

        It goes each time before the agent has inspected it.
        """
        is_known = True
        self.report_gone(Cause.NOTHING_LISTENS, is_known)
        while self.waited_ms < FLAPPING_MS and not self.is_restarted:
            self.pass_time(TURN_MS)
            self.report_gone(Cause.RESTARTED, is_known)
            is_known = False
            self.attach_next()
            self.pass_time(TURN_MS)
            self.report_gone(Cause.NOTHING_LISTENS, is_known)


def round_up(duration_ms: int) -> int:
    """Return the time of the first report at or after a duration."""
    return -(-duration_ms // REPORT_INTERVAL_MS) * REPORT_INTERVAL_MS


def test_task_of_an_executor_that_stays_away_waits_for_one_order_limit() -> (
    None
):
    fleet = Fleet()
    fleet.report_gone(Cause.NOTHING_LISTENS, is_known=True)
    fleet.pass_time(30_000)
    assert fleet.is_restarted
    assert fleet.waited_ms == round_up(policy.ORDER_LIMIT_MS)


def test_start_at_a_silent_executor_expires_after_a_whole_lease() -> None:
    """Guards against the end of a run that a silent restart has started."""
    fleet = Fleet()
    fleet.pass_time(policy.ORDER_LIMIT_MS)
    fleet.report_gone(Cause.LEASE_ENDED, is_known=True)
    fleet.pass_time(2_000)
    fleet.report_gone(Cause.LEASE_ENDED, is_known=True)
    fleet.pass_time(30_000)
    assert fleet.is_restarted
    assert fleet.waited_ms == round_up(2 * policy.ORDER_LIMIT_MS)


def test_next_owner_waits_for_an_open_order_no_longer_than_the_first() -> None:
    fleet = Fleet()
    fleet.report_gone(Cause.NOTHING_LISTENS, is_known=True)
    fleet.pass_time(3_000)
    fleet.cluster.take_over()
    hello = messages.AgentHello(
        fleet.fake.target_id,
        'boot',
        'tajo-norte',
        fleet.fake.make_state().incarnation,
    )
    fleet.cluster.core.attach(hello, 1, fleet.cluster.moment)
    fleet.cluster.attach(
        next(
            fake
            for fake in fleet.cluster.targets.values()
            if fake is not fleet.fake
        )
    )
    fleet.report_gone(Cause.NOTHING_LISTENS, is_known=True)
    fleet.pass_time(30_000)
    assert fleet.is_restarted
    assert fleet.waited_ms <= policy.ORDER_LIMIT_MS + REPORT_INTERVAL_MS


def test_flapping_before_the_executor_goes_adds_nothing_to_the_wait() -> None:
    """Guards against reports of restarts that each begin the wait anew."""
    fleet = Fleet()
    fleet.flap()
    fleet.pass_time(30_000)
    assert fleet.is_restarted
    assert fleet.waited_ms == round_up(3 * policy.ORDER_LIMIT_MS)


def test_flapping_before_the_agent_is_lost_adds_nothing_to_the_wait() -> None:
    """Guards against reports of restarts that each begin the wait anew."""
    fleet = Fleet()
    is_known = True
    for _ in range(4):
        fleet.pass_time(TURN_MS)
        fleet.report_gone(Cause.RESTARTED, is_known)
        is_known = False
        fleet.attach_next()
    fleet.is_attached = False
    fleet.cluster.core.detach(fleet.fake.target_id, fleet.fake.session)
    fleet.pass_time(30_000)
    assert fleet.is_restarted
    assert fleet.waited_ms == round_up(3 * policy.ORDER_LIMIT_MS)
