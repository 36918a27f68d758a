"""Entries, agents, workers and the store under a fake clock and faults.

``World.perform`` carries out one named action, so that a property test, a
random search and a recorded trace drive the same code. An action that does
not apply has no effect, which keeps shortened traces valid. Properties are
checked when something happens that could break them.
"""

import collections
from collections import abc
import dataclasses
from typing import Any, Final

from borageshelf.agent import reservations
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.model import resources
from borageshelf.shards import effects
from borageshelf.shards import grants
from borageshelf.shards import log
from borageshelf.shards import owner
from borageshelf.shards import ownership
from borageshelf.shards import records
from tests import batch_agent
from tests import batch_checks
from tests import fakes

ENTRIES: Final = ('e1', 'e2')
TARGETS: Final = ('t1', 't2')
SHARDS: Final = 2
TICK_MS: Final = 500
LEASE_MS: Final = 10_000
REPORT_MS: Final = 2_000
SKEW_LIMIT_MS: Final = 1_000
# Two tasks fit on a VM.
CAPACITY: Final = resources.Resources(2000, 2000)
DECLARED: Final = resources.Resources(1000, 1000)
# Short horizons, so that runs pass them.
POLICY: Final = grants.GrantPolicy(30_000, 60_000, 90_000, 2_000)


@dataclasses.dataclass(frozen=True)
class Parts:
    """The classes under test, which a test may replace by broken ones."""

    owner_type: type[owner.ShardOwner] = owner.ShardOwner
    log_type: type[log.ShardLog] = log.ShardLog
    ledger_type: type[reservations.Reservations] = reservations.Reservations


class Link:
    """One stream between an agent process and an entry process."""

    def __init__(self, entry: 'Entry', agent: batch_agent.Agent) -> None:
        self.entry = entry
        self.agent = agent
        self.to_entry: collections.deque[Any] = collections.deque()
        self.to_agent: collections.deque[Any] = collections.deque()
        self.is_open = True
        self.to_entry.append(batch_agent.Hello(agent.identity))

    def break_off(self, keeps: bool) -> None:
        """End the stream; keep what the receivers already have if wanted."""
        self.is_open = False
        if not keeps:
            self.to_entry.clear()
            self.to_agent.clear()


class Shard:
    """A shard that an entry owns or acquires."""

    def __init__(self, engine: log.ShardLog, process: fakes.Process) -> None:
        self.log = engine
        self.process: fakes.Process | None = process
        self.owner: owner.ShardOwner | None = None
        self.batch: owner.Batch | None = None
        self.is_releasing = False


class Entry:
    """One entry process."""

    def __init__(self, entry_id: str) -> None:
        self.entry_id = entry_id
        self.shards: dict[int, Shard] = {}
        self.sessions: dict[str, Link] = {}
        self.lease_deadline_ms = 0
        self.announced: set[int] = set()


class World:
    """Everything together."""

    def __init__(self, parts: Parts | None = None) -> None:
        self.parts = parts or Parts()
        self.now_ms = 1_000_000
        self.store = fakes.FakeStore()
        self.checks = batch_checks.Checks(self.store)
        self.skews: dict[str, int] = {}
        self.paused: set[str] = set()
        self.blocked: set[tuple[str, str]] = set()
        self.fates: dict[str, list[fakes.Fate]] = {}
        self.entries = {name: Entry(name) for name in ENTRIES}
        self.workers: dict[str, batch_agent.FakeWorker] = {}
        self.agents: dict[str, batch_agent.Agent] = {}
        self.dead_agents: list[batch_agent.Agent] = []
        self.links: list[Link] = []
        self.jobs: list[str] = []
        self.tokens = 0
        self.requests: dict[int, str] = {}
        self.replies: dict[int, errors.ResultCode] = {}
        self.executions: list[batch_agent.Execution] = []
        self.reported_at_ms: dict[str, int] = {}
        self.placements = 0
        self.policy = POLICY
        # Targets that take new work.
        self.placeable = set(TARGETS)
        for target in TARGETS:
            self._boot(target)

    def perform(self, name: str, *arguments: str) -> None:
        """Carry out one action by its name."""
        action: abc.Callable[..., None] = getattr(self, f'do_{name}')
        action(*arguments)
        self.checks.look(self.executions, CAPACITY)

    # Faults and changes.

    def do_pause(self, node: str) -> None:
        self.paused.add(node)

    def do_resume(self, node: str) -> None:
        self.paused.discard(node)

    def do_block(self, source: str, destination: str) -> None:
        self.blocked.add((source, destination))

    def do_unblock(self, source: str, destination: str) -> None:
        self.blocked.discard((source, destination))

    def do_outage(self, state: str) -> None:
        self.store.is_down = state == 'on'

    def do_fate(self, entry_id: str, fate: str) -> None:
        self.fates.setdefault(entry_id, []).append(fakes.Fate[fate])

    def do_arrive(self) -> None:
        """Let the oldest delayed write arrive at the store."""
        if self.store.delayed:
            self.store.deliver()

    def do_skew(self, node: str, skew_ms: str) -> None:
        limit_ms = SKEW_LIMIT_MS
        self.skews[node] = max(-limit_ms, min(limit_ms, int(skew_ms)))
        self._enforce_leases()

    def do_crash(self, node: str) -> None:
        """End a process; its successor starts at once."""
        if node in self.entries:
            for shard in self.entries[node].shards.values():
                if shard.process is not None:
                    shard.process.kill()
            self._break_links(node, False)
            self.entries[node] = Entry(node)
        elif node in self.agents:
            self._end_agent(node)
            self._start_agent(node)

    def do_lose(self, target: str) -> None:
        """Lose a VM."""
        if target in self.workers:
            self._end_agent(target)
            worker = self.workers.pop(target)
            worker.die()
            self.dead_agents = [
                agent
                for agent in self.dead_agents
                if agent.worker is not worker
            ]

    def do_replace(self, target: str) -> None:
        """Start a new VM in place of the old one."""
        self.do_lose(target)
        self._boot(target)

    def do_cut(self, entry_id: str, target: str, keeps: str) -> None:
        """Break the streams between an entry and a target."""
        for link in self.links:
            names = (link.entry.entry_id, link.agent.identity.target_id)
            if link.is_open and names == (entry_id, target):
                link.break_off(keeps == 'keep')

    def do_hold(self, target: str) -> None:
        """Hold back the requests of the present agent to its worker."""
        if target in self.agents:
            self.agents[target].is_held_back = True

    def do_unhold(self, target: str) -> None:
        for agent in [*self.dead_agents, *self.agents.values()]:
            if agent.identity.target_id == target:
                agent.is_held_back = False

    def do_skip(self, duration_ms: str) -> None:
        """Let time pass while nothing runs but the workers."""
        self.now_ms += int(duration_ms)
        self._enforce_leases()

    # Work.

    def do_submit(self, entry_id: str, kind: str) -> None:
        """Submit a job of one task: idem, once or monitor."""
        job_id = f'j{len(self.jobs)}'
        self.jobs.append(job_id)
        work_class = objects.WorkClass.BATCH
        if kind == 'monitor':
            work_class = objects.WorkClass.MONITOR
        task = records.TaskRecord(
            f'{job_id}/0',
            job_id,
            'family',
            'team',
            DECLARED,
            self._read_clock(entry_id),
            work_class=work_class,
            idempotent=kind != 'once',
            attempts_limit=100,
        )
        shard = self._find_owned(entry_id, self._hash(job_id))
        if shard is None or shard.owner is None or shard.is_releasing:
            return
        self.tokens += 1
        self.requests[self.tokens] = job_id
        shard.owner.submit((task,), self.tokens)

    def do_cancel(self, entry_id: str, job_id: str) -> None:
        shard = self._find_owned(entry_id, self._hash(job_id))
        if shard is None or shard.owner is None or shard.is_releasing:
            return
        self.tokens += 1
        shard.owner.cancel(job_id, self.tokens, self._read_clock(entry_id))

    def do_finish(self, job_id: str) -> None:
        self._end_task(job_id, True)

    def do_fail(self, job_id: str) -> None:
        self._end_task(job_id, False)

    def do_evict(self, job_id: str) -> None:
        for execution in self.executions:
            if execution.runs and execution.key.task_id == f'{job_id}/0':
                self.agents[execution.target_id].evict(execution.key)

    def do_acquire(self, entry_id: str, shard: str) -> None:
        """Let an entry take a shard, rightly or not."""
        number = int(shard)
        entry = self.entries[entry_id]
        if number not in entry.shards and entry_id not in self.paused:
            self._acquire(entry, number)

    def do_release(self, entry_id: str, shard: str) -> None:
        """Let an entry give a shard up as planned."""
        found = self._find_owned(entry_id, int(shard))
        if found is not None and found.owner is not None:
            found.owner.leave()
            found.is_releasing = True

    # Progress.

    def do_run(self, duration_ms: str) -> None:
        """Run everything that is not paused or blocked."""
        for _ in range(int(duration_ms) // TICK_MS):
            self.do_skip(str(TICK_MS))
            for target in list(self.agents):
                self.do_work(target)
            for link in list(self.links):
                while self._deliver(link, False):
                    continue
                while link.is_open and self._deliver(link, True):
                    continue
            for entry_id in self.entries:
                self.do_step(entry_id)
            self._reconnect()
            self.checks.look(self.executions, CAPACITY)

    def do_deliver(self, source: str, destination: str) -> None:
        """Deliver the next message on one of the streams."""
        for link in list(self.links):
            names = (link.entry.entry_id, link.agent.identity.target_id)
            if names == (source, destination) and self._deliver(link, True):
                return
            if names == (destination, source) and self._deliver(link, False):
                return

    def do_late(self) -> None:
        """Deliver what is left on broken streams after newer streams."""
        for link in list(self.links):
            while not link.is_open and self._deliver(link, True):
                continue

    def do_connect(self) -> None:
        """Let agents open missing streams."""
        self._reconnect()

    def do_work(self, target: str) -> None:
        """Let an agent and its worker go on."""
        now_ms = self._read_clock(target)
        for dead in self.dead_agents:
            if dead.identity.target_id == target:
                dead.serve_requests(now_ms)
        agent = self.agents.get(target)
        if agent is None or target in self.paused:
            return
        agent.serve_requests(now_ms)
        agent.poll(now_ms)
        if now_ms - self.reported_at_ms.get(target, 0) >= REPORT_MS:
            self.reported_at_ms[target] = now_ms
            for number in range(SHARDS):
                agent.report(number)
        for message in agent.outbox:
            for link in self.links:
                if link.agent is agent and link.is_open:
                    link.to_entry.append(message)
        agent.outbox.clear()

    def do_step(self, entry_id: str) -> None:
        """Let an entry go on; its store calls take effect even if paused."""
        entry = self.entries[entry_id]
        for shard in list(entry.shards.values()):
            if shard.process is not None and shard.process.call is not None:
                self._serve_store(entry_id, shard.process.call)
        if entry_id in self.paused:
            return
        is_reachable = not self._is_cut_off(entry_id)
        for shard in entry.shards.values():
            if shard.owner is not None:
                shard.owner.note_store(is_reachable)
        if is_reachable:
            entry.lease_deadline_ms = self.now_ms + LEASE_MS
            entry.announced = set(entry.shards)
            self._reconcile(entry)
        for number in list(entry.shards):
            self._step_shard(entry, number)

    def heal(self) -> None:
        """End all faults and run until every job has ended."""
        self.paused.clear()
        self.blocked.clear()
        self.fates.clear()
        self.store.is_down = False
        while self.store.delayed:
            self.store.deliver()
        self.do_late()
        for target in TARGETS:
            self.do_unhold(target)
            if target not in self.workers:
                self._boot(target)
        # Longer than the longest horizon and the retries after it.
        self.do_run('120000')
        self.checks.check_cancelled()
        for _ in range(50):
            self.do_run('5000')
            for job_id in self.jobs:
                self._end_task(job_id, True)
            if self.checks.is_complete():
                return
        raise batch_agent.Violation(
            f'jobs have not ended: {self.checks.list_open()}'
        )

    # Processes.

    def _boot(self, target: str) -> None:
        self.workers[target] = batch_agent.FakeWorker(
            target, CAPACITY, self._note_start
        )
        self._start_agent(target)

    def _start_agent(self, target: str) -> None:
        self.agents[target] = batch_agent.Agent(
            self.workers[target],
            self.parts.ledger_type,
            self.checks.check_release,
            self.checks.check_stop,
        )

    def _end_agent(self, target: str) -> None:
        agent = self.agents.pop(target)
        agent.is_alive = False
        self.dead_agents.append(agent)
        self._break_links(target, True)

    def _break_links(self, node: str, keeps: bool) -> None:
        for link in self.links:
            if link.entry.entry_id == node:
                link.break_off(False)
            elif link.agent.identity.target_id == node and link.is_open:
                # What a dead agent has sent may still arrive.
                link.break_off(keeps)

    def _note_start(self, execution: batch_agent.Execution) -> None:
        self.checks.check_start(execution, self.executions)
        self.executions.append(execution)

    def _read_clock(self, node: str) -> int:
        return self.now_ms + self.skews.get(node, 0)

    def _enforce_leases(self) -> None:
        for target, worker in self.workers.items():
            worker.enforce(self._read_clock(target))

    def _end_task(self, job_id: str, is_success: bool) -> None:
        for execution in self.executions:
            if execution.runs and execution.key.task_id == f'{job_id}/0':
                worker = self.workers[execution.target_id]
                worker.end(execution.key, is_success)

    def _hash(self, job_id: str) -> int:
        return int(job_id[1:]) % SHARDS

    def _find_owned(self, entry_id: str, number: int) -> Shard | None:
        if entry_id in self.paused:
            return None
        return self.entries[entry_id].shards.get(number)

    # Streams.

    def _reconnect(self) -> None:
        self.links = [
            link
            for link in self.links
            if link.is_open or link.to_entry or link.to_agent
        ]
        for target, agent in self.agents.items():
            for entry in self.entries.values():
                names = {target, entry.entry_id}
                is_blocked = names & self.paused or any(
                    set(pair) == names for pair in self.blocked
                )
                if not is_blocked and not self._is_linked(entry, agent):
                    self.links.append(Link(entry, agent))

    def _is_linked(self, entry: Entry, agent: batch_agent.Agent) -> bool:
        return any(
            link.is_open and link.entry is entry and link.agent is agent
            for link in self.links
        )

    def _deliver(self, link: Link, to_agent: bool) -> bool:
        entry_id = link.entry.entry_id
        target = link.agent.identity.target_id
        names = (entry_id, target) if to_agent else (target, entry_id)
        queue = link.to_agent if to_agent else link.to_entry
        if not queue or names in self.blocked or names[1] in self.paused:
            return False
        message = queue.popleft()
        if to_agent:
            if link.agent.is_alive:
                link.agent.handle(message, self._read_clock(target))
        elif link.entry is self.entries[entry_id]:
            self._receive(link, message)
        return True

    def _receive(self, link: Link, message: Any) -> None:
        """Handle a message at an entry, as its sessions do."""
        entry = link.entry
        target = link.agent.identity.target_id
        if isinstance(message, batch_agent.Hello):
            entry.sessions[target] = link
            for number, shard in entry.shards.items():
                if shard.owner is not None:
                    link.to_agent.append(
                        batch_agent.Epoch(number, shard.owner.epoch)
                    )
            return
        if entry.sessions.get(target) is not link:
            return
        owned = entry.shards.get(message.shard)
        if owned is None or owned.owner is None:
            return
        core = owned.owner
        now_ms = self._read_clock(entry.entry_id)
        if isinstance(message, batch_agent.Ended):
            core.handle_event(
                message.agent, message.task_id, message.event, now_ms
            )
        elif message.epoch == core.epoch:
            core.handle_complete_report(
                message.agent, message.attempts, now_ms
            )
        else:
            core.handle_report(message.agent, message.attempts, now_ms)

    # The loop of an entry.

    def _is_cut_off(self, entry_id: str) -> bool:
        """Tell whether an entry does not reach the store."""
        return self.store.is_down or (entry_id, 'store') in self.blocked

    def _reconcile(self, entry: Entry) -> None:
        members = [
            other
            for other in self.entries.values()
            if other.lease_deadline_ms > self.now_ms
        ]
        owners = {
            number: member.entry_id
            for member in members
            for number in member.announced
        }
        plan = ownership.plan_shards(
            entry.entry_id,
            SHARDS,
            owners,
            [member.entry_id for member in members],
            set(entry.shards),
        )
        for number in plan.acquire:
            self._acquire(entry, number)
        for number in plan.release:
            self.do_release(entry.entry_id, str(number))

    def _acquire(self, entry: Entry, number: int) -> None:
        engine = self.parts.log_type(
            self.store, number, entry.entry_id, fakes.pause
        )

        def extend(horizons: records.Horizons) -> records.Horizons:
            return self.policy.extend(
                horizons, self._read_clock(entry.entry_id)
            )

        process = fakes.Process(engine.acquire(extend))
        entry.shards[number] = Shard(engine, process)

    def _serve_store(self, entry_id: str, call: fakes.Call) -> None:
        fates = self.fates.get(entry_id, [])
        fate = fakes.Fate.ANSWERED
        if call.outcome is None and call.name == 'put' and fates:
            fate = fates.pop(0)
        if self._is_cut_off(entry_id) and call.apply is not None:
            # A paused entry sees the outage when it resumes.
            if entry_id in self.paused:
                return
            fate = fakes.Fate.REFUSED
        self.store.serve(call, fate)
        self.checks.read_heads()

    def _step_shard(self, entry: Entry, number: int) -> None:
        shard = entry.shards[number]
        if shard.process is not None:
            process = shard.process
            if not process.is_done:
                process.resume()
            if process.is_done:
                shard.process = None
                self._end_process(entry, number, shard, process)
            return
        assert shard.owner is not None
        now_ms = self._read_clock(entry.entry_id)
        shard.owner.tick(now_ms)
        self._place(entry, shard.owner, now_ms)
        for effect in shard.owner.take_effects():
            self._carry_out(entry, shard.owner, effect)
        batch = shard.owner.take_batch(now_ms)
        if batch is not None:
            shard.batch = batch
            shard.process = fakes.Process(
                shard.log.commit(
                    batch.changes, shard.owner.make_snapshot, batch.horizons
                )
            )
        elif shard.is_releasing:
            shard.process = fakes.Process(
                shard.log.release(shard.owner.find_release_horizons())
            )
            shard.owner = None

    def _end_process(
        self, entry: Entry, number: int, shard: Shard, process: fakes.Process
    ) -> None:
        now_ms = self._read_clock(entry.entry_id)
        batch, shard.batch = shard.batch, None
        if batch is not None:
            assert shard.owner is not None
            self._end_commit(entry, number, shard, batch, process)
            return
        if process.error is not None or shard.is_releasing:
            del entry.shards[number]
            return
        shard.owner = self.parts.owner_type(
            number, process.result, shard.log.head.horizons, self.policy
        )
        for link in entry.sessions.values():
            link.to_agent.append(batch_agent.Epoch(number, shard.owner.epoch))
        shard.owner.tick(now_ms)

    def _end_commit(
        self,
        entry: Entry,
        number: int,
        shard: Shard,
        batch: owner.Batch,
        process: fakes.Process,
    ) -> None:
        now_ms = self._read_clock(entry.entry_id)
        assert shard.owner is not None
        if process.error is None:
            released = shard.owner.confirm_batch(batch, now_ms)
        elif process.error.code is errors.STORE_CONFLICT:
            del entry.shards[number]
            released = shard.owner.abandon(batch)
        else:
            released = shard.owner.refuse_batch(batch)
        for effect in released:
            self._carry_out(entry, shard.owner, effect)

    def _place(
        self, entry: Entry, core: owner.ShardOwner, now_ms: int
    ) -> None:
        links = [
            entry.sessions[target]
            for target in sorted(entry.sessions)
            if entry.sessions[target].is_open and target in self.placeable
        ]
        for task in core.list_startable(now_ms):
            agents = [link.agent.identity for link in links]
            failed = {failure.target_id for failure in task.failures}
            agents = [
                agent for agent in agents if agent.target_id not in failed
            ] or agents
            if not agents:
                return
            self.placements += 1
            agent = agents[self.placements % len(agents)]
            core.assign(
                task.task_id,
                records.Assignment(
                    agent.target_id,
                    agent.vm_boot_id,
                    agent.agent_boot_id,
                    'dc',
                    'rack',
                    core.epoch,
                ),
                now_ms,
            )

    def _carry_out(
        self, entry: Entry, core: owner.ShardOwner, effect: effects.Effect
    ) -> None:
        if isinstance(effect, effects.Reply):
            self._note_reply(effect)
            return
        self.checks.check_grants(effect)
        link = entry.sessions.get(effect.target_id)
        is_sent = link is not None and link.is_open
        if isinstance(effect, effects.SendStart) and link is not None:
            boot_id = link.agent.identity.agent_boot_id
            is_sent = is_sent and boot_id == effect.agent_boot_id
        if is_sent:
            assert link is not None
            link.to_agent.append(effect)
        elif isinstance(effect, effects.SendStart):
            core.handle_unsent(effect, self._read_clock(entry.entry_id))

    def _note_reply(self, reply: effects.Reply) -> None:
        self.replies[reply.token] = reply.code
        job_id = self.requests.get(reply.token)
        if job_id is None:
            return
        if reply.code is errors.PENDING:
            self.checks.accept(self._hash(job_id), f'{job_id}/0')
        elif reply.code.category is errors.Category.NOT_RUN:
            self.checks.refuse(f'{job_id}/0', self.executions)
