"""Agents of the histories: what the owner learns of the executors, and when.

An agent follows ``agent.workflows.driver``, reduced to the messages that it
sends to the owner's core.
"""

from collections import abc
import dataclasses
import random
from typing import Final

from borageshelf.agent.workflows import driver
from borageshelf.agent.workflows import executor_lease
from borageshelf.agent.workflows import owner_link
from borageshelf import clock
from borageshelf.model import workflows
from borageshelf.workflows import messages
from borageshelf.workflows import owner
from borageshelf.workflows import policy
from tests.lasting import executors

ORDER_DELAY_MS: Final = 100
GRANT_MS: Final = policy.GRANT_LIMIT_MS
LEASE_MS: Final = int(GRANT_MS * executor_lease.LEASE_TO_GRANT_RATIO)
BACK_CAUSES: Final = (
    messages.GoneCause.REPLACED,
    messages.GoneCause.RESTARTED,
)
# A heartbeat announces a new incarnation.
ANNOUNCEMENT_LIMIT_MS: Final = 1_100
# After some tries without an answer, a start is stopped.
TRIES_MS: Final = 2_000
# Tries that meet refused connections follow each other quickly.
REFUSED_TRIES_MS: Final = driver.START_TRIES * driver.RETRY_PAUSE_MS


@dataclasses.dataclass(frozen=True)
class Order:
    """An order to start a run, on its way to the agent."""

    due_ms: int
    key: executors.RunKey
    step: workflows.Step


@dataclasses.dataclass
class AgentRun:
    """A run as the agent knows it.

    :ivar ordered_at_ms: when its start was sent
    :ivar may_have_arrived: whether the executor may know its start
    :ivar is_open: whether its start is unanswered
    :ivar is_listed: whether the executor has listed it since
    :ivar is_dated: whether the answer to its start shows the clock of the
        incarnation that the agent has inspected
    """

    ordered_at_ms: int = 0
    may_have_arrived: bool = True
    is_open: bool = False
    is_listed: bool = False
    is_dated: bool = False


class Agent:
    """The agent beside an executor.

    :ivar session: number of its session; 0 for none
    :ivar cut_count: number of disruptions that keep it from any owner
    :ivar former_deadline_ms: when the grants of a former owner end, with
        which it keeps its session
    :ivar attach_due_ms: when it opens the next session; None if it does not
    :ivar gone_due_ms: when it learns that its executor has gone
    :ivar crashed_at_ms: when its executor went
    :ivar announcement_due_ms: when it learns of the next incarnation
    """

    def __init__(
        self,
        executor: executors.Executor,
        seed: int,
        tokens: abc.Iterator[int],
    ) -> None:
        self.executor = executor
        self._tokens = tokens
        self._rng = random.Random(f'{seed}/{executor.target_id}')
        self._phase_ms = self._rng.randrange(0, 1_000, executors.TICK_MS)
        self.session = 0
        self.is_ready = False
        self.cut_count = 0
        self.former_deadline_ms = 0
        self._is_granted = True
        self._grant_deadline_ms = 0
        self._withheld_at: clock.Moment | None = None
        self.heard_at_ms = 0
        self.attach_due_ms: int | None = 0
        self.gone_due_ms: int | None = None
        self.crashed_at_ms = 0
        self.announcement_due_ms: int | None = None
        self._snapshot_due_ms: int | None = None
        self._incarnation = executor.incarnation
        self._inspected_incarnation = ''
        self._gone_cause: messages.GoneCause | None = None
        self._gone_since_ms = 0
        self._lost_runs: tuple[executors.RunKey, ...] = ()
        self._unproved_runs: tuple[executors.RunKey, ...] = ()
        self._begun_at_ms = 0
        self._unproved_order_at_ms = 0
        self._executor_id = executor.executor_id
        self._runs: dict[executors.RunKey, AgentRun] = {}
        self._seen_number = 0
        self._reported_state: messages.TargetState | None = None
        self.orders: list[Order] = []
        self.stops: list[executors.RunKey] = []
        self._unanswered: list[Order] = []
        self._unsent: list[Order] = []

    @property
    def is_grant_withheld(self) -> bool:
        """Whether a report waits for a commit to be granted."""
        return self._withheld_at is not None

    # Disturbances.

    def end_session(self) -> None:
        """Drop the session and all orders that belong to it."""
        self.session = 0
        self.is_ready = False
        self._withheld_at = None
        self._snapshot_due_ms = None
        self.orders.clear()
        self.stops.clear()
        self._unanswered.clear()
        self._unsent.clear()

    def cut_off(self) -> None:
        """Lose the link to the owner."""
        self.cut_count += 1
        self.attach_due_ms = None
        self.end_session()

    def reconnect(self, now_ms: int) -> None:
        """Get the link to the owner back."""
        self.cut_count -= 1
        self.find_owner(now_ms, now_ms + 600)

    def find_owner(self, from_ms: int, to_ms: int) -> None:
        """Open a session within a time, once there is a link."""
        self.end_session()
        if not self.cut_count:
            self.attach_due_ms = max(
                self._rng.randrange(from_ms, to_ms + 1, executors.TICK_MS),
                self.former_deadline_ms,
            )

    def start_again(self, now_ms: int) -> None:
        """Lose all that the process knew."""
        self.end_session()
        self._begun_at_ms = self._unproved_order_at_ms = now_ms
        self._incarnation = self._inspected_incarnation = ''
        self._gone_cause = None
        self._lost_runs = self._unproved_runs = ()
        self._runs.clear()
        self.gone_due_ms = None

    def note_restart(self, now_ms: int) -> None:
        """Let a heartbeat of a new incarnation follow."""
        self.announcement_due_ms = now_ms + self._rng.randrange(
            executors.TICK_MS, ANNOUNCEMENT_LIMIT_MS, executors.TICK_MS
        )

    # Time.

    def advance(
        self,
        core: owner.Owner | None,
        is_granted: bool,
        moment: clock.Moment,
    ) -> None:
        """Carry out orders and report what has changed.

        :param is_granted: whether the owner extends grants
        """
        self._is_granted = is_granted
        executor = self.executor
        if executor.is_lost or executor.is_suspended:
            return
        now_ms = moment.elapsed_ms
        self._stop_without_grant(now_ms)
        self._observe_executor(core, moment)
        if now_ms < self.former_deadline_ms and self._is_report_due(now_ms):
            self._extend_lease(now_ms)
        if core is None or self.cut_count:
            return
        if not self.session:
            is_due = (
                self.attach_due_ms is not None and now_ms >= self.attach_due_ms
            )
            if is_due and self._incarnation:
                self._attach(core, moment)
            return
        target = core.targets[executor.target_id]
        if not self.is_ready:
            self._try_snapshot(core, moment)
        else:
            self._carry_out_orders(core, moment)
            self._report_ends(core, moment)
        if not self.session:
            return
        if self._is_report_due(now_ms):
            self._report(core, moment)
        elif self._withheld_at is not None and is_granted:
            self._request_grant(core, self._withheld_at)
        self.heard_at_ms = now_ms
        assert target.session == self.session

    def _stop_without_grant(self, now_ms: int) -> None:
        """Stop all runs once the grant has ended, as ``GrantWatch`` does."""
        if self.executor.answers and now_ms >= self._grant_deadline_ms:
            for key in self._runs:
                self.executor.order_stop(key, now_ms)

    def _observe_executor(
        self, core: owner.Owner | None, moment: clock.Moment
    ) -> None:
        now_ms = moment.elapsed_ms
        executor = self.executor
        if self.gone_due_ms is not None and now_ms >= self.gone_due_ms:
            self.gone_due_ms = None
            if not executor.is_up and self._gone_cause is None:
                cause = messages.GoneCause.NOTHING_LISTENS
                self._note_gone(cause, core, moment)
        lease_end_ms = (
            executor.lease_deadline_ms + executor_lease.LEASE_END_MARGIN_MS
        )
        is_suspect = self._gone_cause is messages.GoneCause.NOTHING_LISTENS
        if (
            (is_suspect or (executor.mute_count and self._gone_cause is None))
            and self._inspected_incarnation
            and now_ms > lease_end_ms
        ):
            self._note_gone(messages.GoneCause.LEASE_ENDED, core, moment)
        if (
            self.announcement_due_ms is not None
            and now_ms >= self.announcement_due_ms
            and executor.is_up
        ):
            self.announcement_due_ms = None
            if self._incarnation and self._incarnation != executor.incarnation:
                cause = messages.GoneCause.REPLACED
                if self._executor_id == executor.executor_id:
                    cause = messages.GoneCause.RESTARTED
                self._note_gone(cause, core, moment)
            self._incarnation = executor.incarnation
            self._executor_id = executor.executor_id
            self._renew_session(now_ms)
        elif (
            self._gone_cause is not None
            and executor.answers
            and self._incarnation == executor.incarnation
        ):
            self._gone_cause = None
            self._renew_session(now_ms)

    def _renew_session(self, now_ms: int) -> None:
        had_session = self.session
        self.end_session()
        if had_session:
            self.attach_due_ms = now_ms

    def _note_gone(
        self,
        cause: messages.GoneCause,
        core: owner.Owner | None,
        moment: clock.Moment,
    ) -> None:
        is_back = cause in BACK_CAUSES
        self._gone_cause = None if is_back else cause
        self._gone_since_ms = moment.elapsed_ms
        if cause is not messages.GoneCause.LEASE_ENDED:
            self._gone_since_ms = self.crashed_at_ms
        if self._incarnation == self._inspected_incarnation:
            self._note_lost_runs(cause)
        if cause is messages.GoneCause.REPLACED and self._unproved_runs:
            # An order names the executor's id, which another one refuses.
            self._unproved_runs = ()
            if self._incarnation != self._inspected_incarnation:
                self._send_gone(
                    self._inspected_incarnation, cause, core, moment
                )
        self._runs.clear()
        self._seen_number = 0
        self._send_gone(self._incarnation, cause, core, moment)

    def _note_lost_runs(self, cause: messages.GoneCause) -> None:
        # A refused connection proves the end of each run that was answered.
        is_proof = cause is messages.GoneCause.NOTHING_LISTENS
        for key, run in self._runs.items():
            if not run.may_have_arrived:
                continue
            self._lost_runs += (key,)
            has_proof = run.is_listed or run.is_dated or is_proof
            if run.is_open or not has_proof:
                self._unproved_runs += (key,)
                self._unproved_order_at_ms = max(
                    self._unproved_order_at_ms, run.ordered_at_ms
                )

    def _send_gone(
        self,
        incarnation: str,
        cause: messages.GoneCause,
        core: owner.Owner | None,
        moment: clock.Moment,
    ) -> None:
        if not self.session or core is None:
            return
        reached = None
        ordered_at_ms = self._begun_at_ms
        if incarnation == self._inspected_incarnation:
            reached = self._lost_runs
            ordered_at_ms = self._unproved_order_at_ms
        core.handle_executor_gone(
            core.targets[self.executor.target_id],
            messages.ExecutorGone(
                0,
                incarnation,
                cause,
                reached,
                moment.elapsed_ms - self._gone_since_ms,
                self._unproved_runs if reached is not None else (),
                order_age_ms=moment.elapsed_ms - ordered_at_ms,
            ),
            moment,
        )

    # Sessions.

    def _attach(self, core: owner.Owner, moment: clock.Moment) -> None:
        self.attach_due_ms = None
        self.session = next(self._tokens)
        hello = messages.AgentHello(
            self.executor.target_id, 'boot', 'tajo-norte', self._incarnation
        )
        core.attach(hello, self.session, moment)
        self.heard_at_ms = moment.elapsed_ms
        self._snapshot_due_ms = moment.elapsed_ms + self._rng.randrange(
            executors.TICK_MS, 400, executors.TICK_MS
        )
        if self._gone_cause is not None:
            # The report to the former owner may not have been committed.
            self._send_gone(self._incarnation, self._gone_cause, core, moment)

    def _try_snapshot(self, core: owner.Owner, moment: clock.Moment) -> None:
        executor = self.executor
        assert self._snapshot_due_ms is not None
        if moment.elapsed_ms < self._snapshot_due_ms or not executor.answers:
            return
        if self._incarnation != executor.incarnation:
            return
        executor.inspect(self.session)
        self._inspected_incarnation = self._incarnation
        self._lost_runs = self._unproved_runs = ()
        self._runs = {key: AgentRun(is_listed=True) for key in executor.runs}
        self._seen_number = max(executor.ended, default=0)
        self.is_ready = True
        self._reported_state = executor.make_state()
        core.apply_snapshot(
            core.targets[executor.target_id],
            messages.Snapshot(
                0,
                self._reported_state,
                self._make_rows(has_lasting=True),
                tuple(executor.ended.values()),
            ),
            moment,
        )
        self._report(core, moment)

    # Orders.

    def _carry_out_orders(
        self, core: owner.Owner, moment: clock.Moment
    ) -> None:
        executor = self.executor
        now_ms = moment.elapsed_ms
        if executor.answers:
            for key in self.stops:
                executor.order_stop(key, now_ms)
            self.stops.clear()
        for order in list(self._unanswered):
            if not executor.answers or now_ms < order.due_ms + TRIES_MS:
                continue
            executor.order_stop(order.key, now_ms)
            if executor.late_ms:
                continue
            # Refused once a stop is answered, as it may have arrived.
            self._unanswered.remove(order)
            if order.key in self._runs and order.key not in executor.runs:
                self._refuse(order.key, 'not answered', True, core, moment)
        for order in list(self._unsent):
            if now_ms >= order.due_ms + REFUSED_TRIES_MS:
                self._unsent.remove(order)
                if order.key in self._runs:
                    is_silent = not executor.answers
                    self._refuse(
                        order.key, 'not answered', is_silent, core, moment
                    )
        for order in list(self.orders):
            if now_ms < order.due_ms:
                continue
            self.orders.remove(order)
            reason = self._find_refusal_reason(order)
            if reason:
                is_unhealthy = reason == 'unhealthy'
                self._refuse(order.key, reason, is_unhealthy, core, moment)
            elif not executor.is_up:
                self._runs[order.key] = AgentRun(now_ms, False)
                self._unsent.append(order)
            else:
                is_open = bool(executor.mute_count or executor.late_ms)
                self._runs[order.key] = AgentRun(
                    now_ms,
                    is_open=is_open,
                    is_dated=executor.incarnation
                    == self._inspected_incarnation,
                )
                if is_open:
                    self._unanswered.append(order)
                executor.order_start(
                    executors.Start(
                        order.key, order.step, self.session, now_ms
                    ),
                    now_ms,
                )

    def _find_refusal_reason(self, order: Order) -> str:
        executor = self.executor
        if self._gone_cause is not None:
            return 'no executor'
        if executor.is_draining:
            return 'draining'
        if not executor.has_room(order.step):
            return 'no room'
        if executor.answers and executor.refusing:
            return 'unhealthy' if executor.refusing[-1] else 'no room'
        return ''

    def _refuse(
        self,
        key: executors.RunKey,
        reason: str,
        is_unhealthy: bool,
        core: owner.Owner,
        moment: clock.Moment,
    ) -> None:
        self._runs.pop(key, None)
        core.handle_start_refusal(
            core.targets[self.executor.target_id],
            messages.StartRefused(0, *key, reason, is_unhealthy),
            moment,
        )

    # Reports.

    def _report_ends(self, core: owner.Owner, moment: clock.Moment) -> None:
        executor = self.executor
        if not executor.answers or self._incarnation != executor.incarnation:
            return
        ends = [
            end
            for number, end in executor.ended.items()
            if number > self._seen_number
        ]
        if ends or (moment.elapsed_ms + self._phase_ms) % 1_000 == 0:
            for key, run in self._runs.items():
                run.is_listed = run.is_listed or key in executor.runs
        for end in ends:
            self._seen_number = end.number
            self._runs.pop((end.task, end.attempt), None)
            core.handle_run_end(core.targets[executor.target_id], end, moment)

    def _report(self, core: owner.Owner, moment: clock.Moment) -> None:
        executor = self.executor
        target = core.targets[executor.target_id]
        if self.is_ready:
            state = executor.make_state()
            if state != self._reported_state and executor.answers:
                self._reported_state = state
                core.update_target_state(target, state, moment)
            if executor.answers:
                rows = self._make_rows(has_lasting=False)
                core.update_progress(target, rows, moment)
        # The first answer of another incarnation ends the session.
        is_answered = executor.answers and (
            self._incarnation == executor.incarnation
        )
        if is_answered:
            core.note_grant_request(target, moment)
        if self._is_granted and is_answered:
            self._request_grant(core, moment)
        elif self._is_granted:
            core.note_contact(target, moment)

    def _request_grant(
        self, core: owner.Owner, reported_at: clock.Moment
    ) -> None:
        """Extend the lease, or wait for a commit."""
        target = core.targets[self.executor.target_id]
        if not core.extend_grant(target, reported_at):
            self._withheld_at = reported_at
            return
        self._withheld_at = None
        if self.is_ready:
            self._extend_lease(reported_at.elapsed_ms)

    def _extend_lease(self, now_ms: int) -> None:
        self._grant_deadline_ms = now_ms + GRANT_MS
        executor = self.executor
        if executor.answers and self._incarnation == executor.incarnation:
            executor.lease_deadline_ms = now_ms + LEASE_MS

    def _is_report_due(self, now_ms: int) -> bool:
        return (now_ms + self._phase_ms) % (owner_link.REPORT_INTERVAL_MS) == 0

    def _make_rows(self, has_lasting: bool) -> tuple[messages.Row, ...]:
        return tuple(
            messages.Row(task, attempt, '', run.progress_percent)
            for (task, attempt), run in self.executor.runs.items()
            if has_lasting or not run.step.is_lasting
        )
