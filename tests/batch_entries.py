"""Streams and entry processes of the simulated cluster."""

from typing import Any

from borageshelf import errors
from borageshelf.shards import effects
from borageshelf.shards import ownership
from borageshelf.shards import records
from borageshelf.shards import shard_owner
from tests import batch_agent
from tests import batch_state
from tests import fakes

Entry = batch_state.Entry
Link = batch_state.Link
Shard = batch_state.Shard
SHARDS = batch_state.SHARDS
LEASE_MS = batch_state.LEASE_MS


class Entries(batch_state.State):
    """Delivers messages and advances the shards of the entries."""

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
        """Handle a message at an entry, as its sessions would."""
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

    def do_deliver(self, source: str, destination: str) -> None:
        """Deliver the next message on a stream from source to destination."""
        for link in list(self.links):
            names = (link.entry.entry_id, link.agent.identity.target_id)
            if names == (source, destination) and self._deliver(link, True):
                return
            if names == (destination, source) and self._deliver(link, False):
                return

    def do_late(self) -> None:
        """Deliver the remaining messages to agents on broken streams.

        They arrive after messages of newer streams.
        """
        for link in list(self.links):
            while not link.is_open and self._deliver(link, True):
                continue

    def do_connect(self) -> None:
        """Let agents open missing streams."""
        self._reconnect()

    # Entries.

    def do_step(self, entry_id: str) -> None:
        """Advance an entry; if it is paused, only its store calls proceed."""
        entry = self.entries[entry_id]
        for shard in list(entry.shards.values()):
            if shard.process is not None and shard.process.call is not None:
                self._serve_store(entry_id, shard.process.call)
        if entry_id in self.paused:
            return
        can_reach_store = not self._is_cut_off(entry_id)
        for shard in entry.shards.values():
            if shard.owner is not None:
                shard.owner.set_store_reachable(can_reach_store)
        if can_reach_store:
            entry.lease_deadline_ms = self.now_ms + LEASE_MS
            entry.announced = set(entry.shards)
            self._reconcile(entry)
        for number in list(entry.shards):
            self._step_shard(entry, number)

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

        process = fakes.CoroutineStepper(engine.acquire(extend))
        entry.shards[number] = Shard(engine, process)

    def _serve_store(self, entry_id: str, call: fakes.Call) -> None:
        fates = self.fates.get(entry_id, [])
        fate = fakes.CallOutcome.ANSWERED
        if call.answer is None and call.name == 'put' and fates:
            fate = fates.pop(0)
        if self._is_cut_off(entry_id) and call.apply is not None:
            # A paused entry notices the outage when it resumes.
            if entry_id in self.paused:
                return
            fate = fakes.CallOutcome.REFUSED
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
                self._handle_process_end(entry, number, shard, process)
            return
        assert shard.owner is not None
        now_ms = self._read_clock(entry.entry_id)
        shard.owner.tick(now_ms)
        self._place(entry, shard.owner, now_ms)
        for effect in shard.owner.take_immediate_effects():
            self._carry_out(entry, shard.owner, effect)
        batch = shard.owner.take_batch(now_ms)
        if batch is not None:
            shard.batch = batch
            shard.process = fakes.CoroutineStepper(
                shard.log.commit(
                    batch.changes, shard.owner.make_snapshot, batch.horizons
                )
            )
        elif shard.is_releasing:
            shard.process = fakes.CoroutineStepper(
                shard.log.release(shard.owner.compute_release_horizons())
            )
            shard.owner = None

    def _handle_process_end(
        self,
        entry: Entry,
        number: int,
        shard: Shard,
        process: fakes.CoroutineStepper,
    ) -> None:
        now_ms = self._read_clock(entry.entry_id)
        batch, shard.batch = shard.batch, None
        if batch is not None:
            assert shard.owner is not None
            self._handle_commit_end(entry, number, shard, batch, process)
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

    def _handle_commit_end(
        self,
        entry: Entry,
        number: int,
        shard: Shard,
        batch: shard_owner.CommitBatch,
        process: fakes.CoroutineStepper,
    ) -> None:
        now_ms = self._read_clock(entry.entry_id)
        assert shard.owner is not None
        if process.error is None:
            released = shard.owner.confirm_batch(batch, now_ms)
        elif process.error.code is errors.STORE_CONFLICT:
            del entry.shards[number]
            released = shard.owner.handle_ownership_loss(batch)
        else:
            released = shard.owner.abort_batch(batch)
        for effect in released:
            self._carry_out(entry, shard.owner, effect)

    def _place(
        self, entry: Entry, core: shard_owner.ShardOwner, now_ms: int
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
        self,
        entry: Entry,
        core: shard_owner.ShardOwner,
        effect: effects.Effect,
    ) -> None:
        if isinstance(effect, effects.Reply):
            self._handle_reply(effect)
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
            core.handle_unsent_start(effect, self._read_clock(entry.entry_id))

    def _handle_reply(self, reply: effects.Reply) -> None:
        self.replies[reply.token] = reply.code
        job_id = self.requests.get(reply.token)
        if job_id is None:
            return
        if reply.code is errors.PENDING:
            self.checks.note_accepted(self._find_shard(job_id), f'{job_id}/0')
        elif reply.code.category is errors.Category.NOT_RUN:
            self.checks.note_refused(f'{job_id}/0', self.executions)

    def do_release(self, entry_id: str, shard: str) -> None:
        """Let an entry release a shard, as on a planned stop."""
        found = self._find_owned(entry_id, int(shard))
        if found is not None and found.owner is not None:
            found.owner.begin_release()
            found.is_releasing = True
