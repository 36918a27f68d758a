"""State of an entry as shown by the administration API; read-only."""

from borageshelf.configuration import propagation
from borageshelf.entry import admin_documents
from borageshelf.entry import batch as batch_module
from borageshelf.entry import calls as calls_module
from borageshelf.entry import membership as membership_module
from borageshelf.entry import sessions
from borageshelf.model import resources
from borageshelf import options as options_module
from borageshelf.shards import records
from borageshelf.shards import shard_owner

STARTING = 'starting'
SERVING = 'serving'
LEAVING = 'leaving'


class StatusProvider:
    """Implements ``admin_documents.Provider`` for an entry."""

    def __init__(
        self,
        options: options_module.EntryOptions,
        holder: propagation.ConfigurationHolder,
        registry: sessions.SessionRegistry,
        membership: membership_module.Membership,
        batch: batch_module.BatchService,
        calls: calls_module.CallEngine,
    ) -> None:
        self._options = options
        self._holder = holder
        self._registry = registry
        self._membership = membership
        self._batch = batch
        self._calls = calls
        self.is_leaving = False

    def describe_health(self) -> admin_documents.Health:
        """Return the state of the entry."""
        reasons = []
        if not self._holder.version:
            reasons.append('no configuration is in force')
        elif not self._holder.is_confirmed():
            reasons.append('the configuration version is not confirmed')
        if not self._membership.has_view:
            reasons.append('the other entries are not known yet')
        state = SERVING if self._holder.version else STARTING
        if self.is_leaving:
            state = LEAVING
            reasons.append('a planned stop is under way')
        return admin_documents.Health(
            self._options.entry_id,
            self._options.data_centre,
            state,
            state == SERVING,
            self._holder.version,
            self._holder.is_confirmed(),
            tuple(reasons),
        )

    def list_targets(self) -> list[admin_documents.Target]:
        """Return the targets whose agents are attached."""
        running = self._count_tasks_by_target()
        return [
            admin_documents.Target(
                target_id=session.identity.target_id,
                data_centre=session.hello.data_centre,
                rack=session.hello.rack,
                vm_boot_id=session.identity.vm_boot_id,
                is_leaving=session.is_leaving,
                capacity=session.capacity,
                free=session.compute_free_capacity(),
                service=session.hello.service.service,
                service_p99_ms=session.report.service_p99_ms,
                running_tasks=running.get(session.identity.target_id, 0),
                running_calls=session.report.running_calls,
                queued_calls=session.report.queued_calls,
                quarantined_until_deadline_ms=(
                    self._batch.learning.find_quarantine_deadline_ms(
                        session.identity.target_id
                    )
                ),
                reported_at_ms=session.reported_at_ms,
            )
            for session in self._registry.list_open()
        ]

    def list_shards(self) -> list[admin_documents.Shard]:
        """Return all shards."""
        return [
            self._describe_shard(shard)
            for shard in range(self._options.shards)
        ]

    def list_queues(self) -> list[admin_documents.Queue]:
        """Return the queues of calls and of batch work."""
        queues = [
            admin_documents.Queue(
                'calls',
                service,
                waiting=len(pool.admission_state.queue),
                running=len(pool.admission_state.running),
                limit=pool.admission_state.limits.queue_limit,
            )
            for service, pool in self._calls.pools.items()
        ]
        for shard in self._batch.list_owned_epochs():
            owner = self._batch.find_owner(shard)
            if owner is not None:
                queues.append(self._describe_queue(shard, owner))
        return queues

    def list_quotas(self) -> list[admin_documents.Quota]:
        """Return the quota and usage of each team."""
        usage = self._batch.target_views.compute_team_usage()
        return [
            admin_documents.Quota(
                team.name,
                team.quota,
                usage.get(team.name, resources.NOTHING),
                team.calls_share,
                team.batch_share,
            )
            for team in self._holder.configuration.teams.values()
        ]

    def describe_versions(self) -> admin_documents.Versions:
        """Return the configuration versions."""
        processes = [
            admin_documents.ProcessVersion(
                'agent', session.identity.target_id, session.config_version
            )
            for session in self._registry.list_open()
        ]
        processes += [
            admin_documents.ProcessVersion(
                'entry', member.entry_id, self._get_config_version(member)
            )
            for member in self._membership.list_members()
        ]
        return admin_documents.Versions(
            self._options.entry_id,
            self._holder.version,
            self._holder.is_confirmed(),
            tuple(processes),
        )

    def _get_config_version(self, member: membership_module.Member) -> int:
        if member.entry_id == self._options.entry_id:
            return self._holder.version
        return member.config_version

    def _count_tasks_by_target(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for shard in self._batch.list_owned_epochs():
            owner = self._batch.find_owner(shard)
            for task in owner.list_tasks() if owner is not None else ():
                if task.assignment is not None:
                    target_id = task.assignment.target_id
                    counts[target_id] = counts.get(target_id, 0) + 1
        return counts

    def _describe_shard(self, shard: int) -> admin_documents.Shard:
        member = self._membership.find_owner(shard)
        owner = self._batch.find_owner(shard)
        if owner is None:
            return admin_documents.Shard(
                shard,
                member.entry_id if member is not None else '',
                member.shards[shard] if member is not None else 0,
            )
        tasks = owner.list_tasks()
        return admin_documents.Shard(
            shard,
            self._options.entry_id,
            owner.epoch,
            _count_tasks(tasks, records.TaskPhase.QUEUED),
            _count_tasks(tasks, records.TaskPhase.ASSIGNED),
            owner.horizons.batch_deadline_ms,
            owner.horizons.monitor_deadline_ms,
        )

    def _describe_queue(
        self, shard: int, owner: shard_owner.ShardOwner
    ) -> admin_documents.Queue:
        tasks = owner.list_tasks()
        submission_times_ms = [
            task.submitted_at_ms
            for task in tasks
            if task.phase is records.TaskPhase.QUEUED
        ]
        return admin_documents.Queue(
            'batch',
            str(shard),
            waiting=len(submission_times_ms),
            running=_count_tasks(tasks, records.TaskPhase.ASSIGNED),
            limit=self._holder.configuration.limits.jobs_queued,
            oldest_at_ms=min(submission_times_ms, default=0),
        )


def _count_tasks(
    tasks: tuple[records.TaskRecord, ...], phase: records.TaskPhase
) -> int:
    return sum(task.phase is phase for task in tasks)
