"""The real core of an owner among executors and agents, in virtual time."""

from collections import abc
import itertools
from typing import Final

from borageshelf.entry.workflows import runtime
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.workflows import effects
from borageshelf.workflows import end_proofs
from borageshelf.workflows import hand_over
from borageshelf.workflows import journal
from borageshelf.workflows import owner
from borageshelf.workflows import policy
from borageshelf.workflows import records
from borageshelf.workflows import silence
from tests.lasting import agents
from tests.lasting import executors
from tests.lasting import monitor as lasting_monitor
from tests import workflow_support as support

POLICY: Final = policy.OwnerPolicy(agents.GRANT_MS, support.RETENTION_MS)


class Cluster(support.Cluster):
    """An owner's core and its store; effects go to the agents.

    :ivar former_deadlines: when the runs under grants of former owners have
        ended, as the next owner knows
    :ivar store_down_count: number of disruptions that let all commits fail
    :ivar committed_at_ms: when the store last answered
    :ivar head: head that the last commit has stored
    """

    def __init__(self, now_ms: int = 100_000) -> None:
        self.former_deadlines = silence.Deadlines(now_ms, now_ms)
        self.store_down_count = 0
        self.committed_at_ms = now_ms
        self.agents: dict[str, agents.Agent] = {}
        self.head = records.HeadRecord()
        self._head_stored_at_ms = now_ms
        self._handed_over = hand_over.HandOver()
        super().__init__(now_ms=now_ms)

    def _make_core(self, epoch: int) -> owner.Owner:
        return owner.Owner(
            epoch,
            POLICY.silence_limits,
            support.RETENTION_MS,
            self.now_ms,
            self.former_deadlines,
            journal.encode,
            lambda event, **fields: self.log_lines.append((event, fields)),
            self._handed_over,
        )

    def replace_head(self, is_resigned: bool = False) -> None:
        """Store a head, as ``Journal`` does."""
        named = self._handed_over.name_silent_targets(self.now_ms, is_resigned)
        if self.store_down_count:
            return
        self.head = records.HeadRecord(
            is_resigned=is_resigned, silent_targets=named
        )
        self._head_stored_at_ms = self.now_ms
        self._handed_over.note_stored(named)

    def take_over_at(self, head_seen_at_ms: int) -> None:
        """Replace the owner by one that has seen the head at a time."""
        self._handed_over = hand_over.HandOver(self.head, head_seen_at_ms)
        self.replace_head()
        self.take_over()

    def commit(self, batch: owner.Batch) -> None:
        """Store a batch with a head."""
        self.replace_head()
        super().commit(batch)

    def _is_head_due(self) -> bool:
        age_ms = self.now_ms - self._head_stored_at_ms
        return age_ms >= runtime.CONFIRMATION_INTERVAL_MS or any(
            agent.is_grant_withheld for agent in self.agents.values()
        )

    @property
    def is_granting(self) -> bool:
        """Whether the owner knows that it still is the owner."""
        age_ms = self.now_ms - self.committed_at_ms
        return age_ms < runtime.CONFIRMATION_MAX_AGE_MS

    def run_until_idle(self) -> None:
        """Schedule and commit until there are no changes left."""
        if self._is_head_due():
            self.replace_head()
        if not self.store_down_count:
            self.committed_at_ms = self.now_ms
            super().run_until_idle()
            return
        self.core.advance(self.moment)
        self.core.schedule(self.moment)
        self.apply_effects(self.core.take_immediate_effects())
        self.core.handle_failed_commit(self.core.take_batch(), 1)
        self.apply_effects(self.core.take_immediate_effects())

    def apply_effects(self, due_effects: list[effects.Effect]) -> None:
        """Pass effects on to the agents that have a session."""
        for effect in due_effects:
            if isinstance(effect, effects.Reply):
                for token in effect.tokens:
                    self.replies[token] = effect
                continue
            agent = self.agents[effect.target_id]
            target = self.core.targets[effect.target_id]
            is_attached = bool(agent.session) and (
                target.session == agent.session
            )
            if isinstance(effect, effects.SendStart):
                self._order_start(agent, effect, is_attached)
            elif isinstance(effect, effects.SendStop):
                if is_attached:
                    agent.stops.append((effect.task, effect.attempt))
            else:
                acknowledged = self.core.mark_end_committed(effect) or 0
                if is_attached:
                    ended = agent.executor.ended
                    for number in [n for n in ended if n <= acknowledged]:
                        del ended[number]

    def _order_start(
        self,
        agent: agents.Agent,
        effect: effects.SendStart,
        is_attached: bool,
    ) -> None:
        target = self.core.targets[effect.target_id]
        key = (effect.task, effect.attempt)
        run = target.runs.get(key)
        if run is None:
            return
        if not target.is_ready or run.is_stopping:
            self.core.handle_unsent_start(effect)
            return
        run.is_sent = True
        run.started_at_ms = run.progress_at_ms = self.now_ms
        run.task.group.job.is_ordered = True
        self.sent_starts.append((effect.target_id, *key))
        if is_attached:
            # Otherwise it is lost on a broken stream.
            due_ms = self.now_ms + agents.ORDER_DELAY_MS
            step = run.task.group.step
            agent.orders.append(agents.Order(due_ms, key, step))


class World:
    """Executors, their agents, an owner and the monitor.

    :ivar has_owner: whether there is an owner now
    """

    def __init__(self, seed: int = 0) -> None:
        self._seed = seed
        self.cluster = Cluster()
        self.monitor = lasting_monitor.Monitor()
        self.executors: dict[str, executors.Executor] = {}
        self._tokens = itertools.count(1)
        self.has_owner = True
        self.clock_begin_ms = self.cluster.now_ms
        self._submitted: dict[int, workflows.Workflow] = {}
        self._unsent: list[workflows.Workflow] = []
        self._cancelled_ids: set[str] = set()
        self._uncancelled_ids: list[str] = []

    @property
    def now_ms(self) -> int:
        """Elapsed time."""
        return self.cluster.now_ms

    def add_executor(
        self,
        target_id: str,
        millicores: int = 8_000,
        labels: tuple[str, ...] = ('a', 'r1'),
    ) -> executors.Executor:
        """Add an executor with its agent."""
        capacity = resources.Resources(millicores, 4 * millicores)
        executor = executors.Executor(target_id, capacity, labels, self._seed)
        self.executors[target_id] = executor
        self.cluster.agents[target_id] = agents.Agent(
            executor, self._seed, self._tokens
        )
        return executor

    def get_agent(self, target_id: str) -> agents.Agent:
        """Return the agent of a target."""
        return self.cluster.agents[target_id]

    def submit(self, workflow: workflows.Workflow) -> None:
        """Hand in a workflow, again until there is an owner."""
        self._unsent.append(workflow)

    def cancel(self, workflow_id: str) -> None:
        """Cancel a workflow, again until there is an owner."""
        self._cancelled_ids.add(workflow_id)
        self._uncancelled_ids.append(workflow_id)
        self.monitor.note_cancelled(workflow_id)

    def remove_owner(
        self, held_ids: abc.Collection[str] = (), is_resigned: bool = False
    ) -> None:
        """End the owner; agents notice at once.

        :param held_ids: targets whose agents hold to it for as long as it
            may still extend grants
        """
        self.has_owner = False
        if is_resigned:
            self.cluster.replace_head(is_resigned)
        core = self.cluster.core
        for agent in self.cluster.agents.values():
            target_id = agent.executor.target_id
            is_held = (
                agent.is_ready
                and target_id in held_ids
                and not core.is_named_silent(core.targets[target_id])
            )
            agent.end_session()
            agent.attach_due_ms = None
            if is_held:
                agent.former_deadline_ms = (
                    self.now_ms + runtime.CONFIRMATION_MAX_AGE_MS
                )

    def add_owner(
        self, slowest_ms: int, head_seen_at_ms: int, is_former_resigned: bool
    ) -> None:
        """Let a new owner take over; agents find it within a time.

        :param head_seen_at_ms: when it had seen the last commit of the former
            owner
        """
        self.cluster.former_deadlines = runtime.compute_former_limits(
            POLICY, is_former_resigned
        ).count_from(head_seen_at_ms)
        self.cluster.take_over_at(head_seen_at_ms)
        self.has_owner = True
        for agent in self.cluster.agents.values():
            agent.find_owner(self.now_ms + 200, self.now_ms + slowest_ms)

    def pause_owner(self, is_noticed: bool) -> None:
        """Pause the owner's process.

        :param is_noticed: whether it takes so long that agents notice
        """
        self.has_owner = False
        if is_noticed:
            for agent in self.cluster.agents.values():
                agent.end_session()
                agent.attach_due_ms = None

    def resume_owner(self, is_noticed: bool) -> None:
        """Let the owner's process go on; agents open new sessions."""
        self.has_owner = True
        for agent in self.cluster.agents.values():
            if is_noticed:
                agent.find_owner(self.now_ms, self.now_ms + 600)
            else:
                agent.heard_at_ms = self.now_ms

    def tick(self) -> list[lasting_monitor.Violation]:
        """Let a tick pass; return new violations."""
        cluster = self.cluster
        cluster.now_ms += executors.TICK_MS
        if self.has_owner:
            self._send_requests()
            self._close_silent_sessions()
            cluster.run_until_idle()
        for executor in self.executors.values():
            executor.advance(cluster.now_ms)
        core = cluster.core if self.has_owner else None
        for agent in cluster.agents.values():
            agent.advance(core, cluster.is_granting, cluster.moment)
        if self.has_owner:
            self._read_list()
            cluster.apply_effects(cluster.core.take_immediate_effects())
            cluster.run_until_idle()
            self._read_replies()
        return self.monitor.check(self.executors.values(), cluster.now_ms)

    def _read_list(self) -> None:
        """Let the owner read which executors are up."""
        cluster = self.cluster
        if cluster.core.needs_listing(cluster.moment):
            up_ids = frozenset(
                executor.executor_id
                for executor in self.executors.values()
                if executor.is_up and not executor.is_lost
            )
            reading = end_proofs.Reading(up_ids, cluster.now_ms)
            cluster.core.apply_listing(reading, cluster.moment)

    def _send_requests(self) -> None:
        unsent, self._unsent = self._unsent, []
        for workflow in unsent:
            if workflow.workflow_id in self._cancelled_ids:
                continue
            token = len(self._submitted) + 1
            self._submitted[token] = workflow
            self.cluster.submit(workflow, token=token)
        if self.cluster.store_down_count:
            return
        for workflow_id in self._uncancelled_ids:
            self.cluster.cancel(workflow_id, token=0)
        self._uncancelled_ids.clear()

    def _read_replies(self) -> None:
        for token, reply in self.cluster.replies.items():
            workflow = self._submitted.get(token)
            if workflow is None:
                continue
            is_lasting = any(step.is_lasting for step in workflow.steps)
            if reply.outcome is effects.Outcome.REFUSED and is_lasting:
                # The store was down; its caller tries again.
                self._unsent.append(workflow)
            if reply.outcome is not effects.Outcome.ACCEPTED:
                continue
            if workflow.workflow_id not in self._cancelled_ids:
                self.monitor.note_accepted(workflow, self.now_ms)
        self.cluster.replies.clear()

    def _close_silent_sessions(self) -> None:
        limit_ms = self.now_ms - runtime.AGENT_SILENCE_LIMIT_MS
        for target in self.cluster.core.targets.values():
            agent = self.cluster.agents[target.target_id]
            if target.session and agent.heard_at_ms < limit_ms:
                self.cluster.core.detach(target.target_id, target.session)
