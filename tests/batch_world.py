"""Simulated cluster of entries, agents, workers and a store, with faults.

The clock is simulated. ``World.perform`` carries out one action by its name,
so the property test, the random search and the recorded traces run the same
code. An action that does not apply has no effect, which keeps shortened traces
valid. A property is checked whenever it could have been violated.
"""

from collections import abc

from borageshelf.model import objects
from borageshelf.shards import records
from tests import batch_agent
from tests import batch_entries
from tests import batch_state
from tests import batch_worker
from tests import fakes

CAPACITY = batch_state.CAPACITY
ENTRIES = batch_state.ENTRIES
SHARDS = batch_state.SHARDS
TARGETS = batch_state.TARGETS
Parts = batch_state.Parts


class World(batch_entries.Entries):
    """The simulated cluster with all actions."""

    def __init__(self, parts: Parts | None = None) -> None:
        super().__init__(parts)
        for target in TARGETS:
            self._boot(target)

    def perform(self, name: str, *arguments: str) -> None:
        """Carry out one action by its name."""
        action: abc.Callable[..., None] = getattr(self, f'do_{name}')
        action(*arguments)
        self.checks.check_executions(self.executions, CAPACITY)

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
        self.fates.setdefault(entry_id, []).append(fakes.CallOutcome[fate])

    def do_arrive(self) -> None:
        """Let the oldest delayed write arrive at the store."""
        if self.store.delayed:
            self.store.apply_delayed_write()

    def do_skew(self, node: str, skew_ms: str) -> None:
        limit_ms = batch_state.SKEW_LIMIT_MS
        self.skews[node] = max(-limit_ms, min(limit_ms, int(skew_ms)))
        self._enforce_leases()

    def do_crash(self, node: str) -> None:
        """End a process and start its successor at once."""
        if node in self.entries:
            for shard in self.entries[node].shards.values():
                if shard.process is not None:
                    shard.process.close()
            self._break_links(node, False)
            self.entries[node] = batch_state.Entry(node)
        elif node in self.agents:
            self._end_agent(node)
            self._start_agent(node)

    def do_lose(self, target: str) -> None:
        """Lose a VM."""
        if target in self.workers:
            self._end_agent(target)
            worker = self.workers.pop(target)
            worker.lose_vm()
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
        """Break the streams between an entry and a target.

        :param keeps: ``keep`` if messages that were sent may still arrive
        """
        for link in self.links:
            names = (link.entry.entry_id, link.agent.identity.target_id)
            if link.is_open and names == (entry_id, target):
                link.break_stream(keeps == 'keep')

    def do_hold(self, target: str) -> None:
        """Hold back the requests of the current agent to its worker."""
        if target in self.agents:
            self.agents[target].is_held_back = True

    def do_unhold(self, target: str) -> None:
        for agent in [*self.dead_agents, *self.agents.values()]:
            if agent.identity.target_id == target:
                agent.is_held_back = False

    def do_skip(self, duration_ms: str) -> None:
        """Advance the time while only the workers run."""
        self.now_ms += int(duration_ms)
        self._enforce_leases()

    # Jobs.

    def do_submit(self, entry_id: str, kind: str) -> None:
        """Submit a job of one task.

        :param kind: ``idem`` for an idempotent task, ``once`` for one that is
            not, ``monitor`` for an idempotent task of the monitor work class
        """
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
            batch_state.DECLARED,
            self._read_clock(entry_id),
            work_class=work_class,
            idempotent=kind != 'once',
            attempts_limit=100,
        )
        shard = self._find_owned(entry_id, self._find_shard(job_id))
        if shard is None or shard.owner is None or shard.is_releasing:
            return
        self.tokens += 1
        self.requests[self.tokens] = job_id
        shard.owner.submit((task,), self.tokens)

    def do_cancel(self, entry_id: str, job_id: str) -> None:
        shard = self._find_owned(entry_id, self._find_shard(job_id))
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
        """Let an entry take over a shard, even from a live owner."""
        number = int(shard)
        entry = self.entries[entry_id]
        if number not in entry.shards and entry_id not in self.paused:
            self._acquire(entry, number)

    # Progress.

    def do_run(self, duration_ms: str) -> None:
        """Advance time and run everything that is not paused or blocked."""
        for _ in range(int(duration_ms) // batch_state.TICK_MS):
            self.do_skip(str(batch_state.TICK_MS))
            self._run_once()

    def do_sprint(self, rounds: str) -> None:
        """Run everything without advancing time, so that no deadline passes.

        :param rounds: number of times that each process runs
        """
        for _ in range(int(rounds)):
            self._run_once()

    def _run_once(self) -> None:
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
        self.checks.check_executions(self.executions, CAPACITY)

    def do_work(self, target: str) -> None:
        """Advance an agent and its worker."""
        now_ms = self._read_clock(target)
        for dead in self.dead_agents:
            if dead.identity.target_id == target:
                dead.serve_requests(now_ms)
        agent = self.agents.get(target)
        if agent is None or target in self.paused:
            return
        agent.serve_requests(now_ms)
        agent.poll(now_ms, self.now_ms)
        if (
            now_ms - self.reported_at_ms.get(target, 0)
            >= batch_state.REPORT_MS
        ):
            self.reported_at_ms[target] = now_ms
            for number in range(SHARDS):
                agent.report(number)
        for message in agent.outbox:
            for link in self.links:
                if link.agent is agent and link.is_open:
                    link.to_entry.append(message)
        agent.outbox.clear()

    def heal(self) -> None:
        """End all faults and run until every job has ended."""
        self.paused.clear()
        self.blocked.clear()
        self.fates.clear()
        self.store.is_down = False
        while self.store.delayed:
            self.store.apply_delayed_write()
        self.do_late()
        for target in TARGETS:
            self.do_unhold(target)
            if target not in self.workers:
                self._boot(target)
        # Longer than the longest horizon and the backoff that follows it.
        self.do_run('120000')
        self.checks.check_cancelled()
        for _ in range(50):
            self.do_run('5000')
            for job_id in self.jobs:
                self._end_task(job_id, True)
            if self.checks.have_all_ended():
                return
        raise batch_worker.Violation(
            f'jobs have not ended: {self.checks.list_unfinished()}'
        )

    # Processes.

    def _break_links(self, node: str, keeps_messages: bool) -> None:
        for link in self.links:
            if link.entry.entry_id == node:
                link.break_stream(False)
            elif link.agent.identity.target_id == node and link.is_open:
                # Messages of a dead agent may still arrive.
                link.break_stream(keeps_messages)

    def _enforce_leases(self) -> None:
        for target, worker in self.workers.items():
            worker.enforce_leases(self._read_clock(target))

    def _end_task(self, job_id: str, is_success: bool) -> None:
        for execution in self.executions:
            if execution.runs and execution.key.task_id == f'{job_id}/0':
                worker = self.workers[execution.target_id]
                worker.end_task(execution.key, is_success)

    def _boot(self, target: str) -> None:
        self.workers[target] = batch_worker.FakeWorker(
            target, CAPACITY, self._note_start
        )
        self._start_agent(target)

    def _start_agent(self, target: str) -> None:
        self.agents[target] = batch_agent.Agent(
            self.workers[target],
            self.now_ms,
            self.parts.ledger_type,
            self.checks.check_release,
            self.checks.check_stop,
        )

    def _end_agent(self, target: str) -> None:
        agent = self.agents.pop(target)
        agent.is_alive = False
        self.dead_agents.append(agent)
        self._break_links(target, True)

    def _note_start(self, execution: batch_worker.Execution) -> None:
        self.checks.check_start(execution, self.executions)
        self.executions.append(execution)
