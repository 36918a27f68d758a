"""JSON documents of the administration API and their provider.

The entry process implements ``Provider``, which is read-only. Deadlines
and times are in Unix milliseconds, 0 if there is none.
"""

from collections import abc
import dataclasses
from typing import Protocol

from borageshelf.model import resources


@dataclasses.dataclass(frozen=True)
class Health:
    """State of one entry.

    :param state: ``starting``, ``serving`` or ``leaving``
    :param is_ready: whether the load balancer may send callers here
    :param is_confirmed: whether the configuration version is confirmed by
        the store or another process
    :param reasons: why the entry is not ready or is restricted
    """

    entry_id: str
    data_centre: str
    state: str
    is_ready: bool
    configuration_version: int = 0
    is_confirmed: bool = False
    reasons: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class Target:
    """A target, as last reported by its agent."""

    target_id: str
    data_centre: str
    rack: str = ''
    vm_boot_id: str = ''
    is_leaving: bool = False
    capacity: resources.Resources = resources.NOTHING
    free: resources.Resources = resources.NOTHING
    service: str = ''
    service_p99_ms: float = 0.0
    running_tasks: int = 0
    running_calls: int = 0
    queued_calls: int = 0
    quarantined_until_deadline_ms: int = 0
    reported_at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Shard:
    """A shard, as known to this entry.

    :param owner: entry id, or '' if no live entry announces it
    """

    shard: int
    owner: str = ''
    epoch: int = 0
    queued: int = 0
    assigned: int = 0
    batch_horizon_deadline_ms: int = 0
    monitor_horizon_deadline_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Queue:
    """A queue of waiting work in this entry.

    :param kind: ``calls`` or ``batch``
    :param name: service or shard
    """

    kind: str
    name: str
    waiting: int = 0
    running: int = 0
    limit: int = 0
    oldest_at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Quota:
    """Quota and usage of one team, as known to this entry."""

    team: str
    quota: resources.Resources = resources.NOTHING
    used: resources.Resources = resources.NOTHING
    calls_share: float = 0.0
    batch_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class ProcessVersion:
    """Configuration version of another process.

    :param kind: ``entry`` or ``agent``
    :param version: version that the process confirmed, 0 if none
    """

    kind: str
    process_id: str
    version: int


@dataclasses.dataclass(frozen=True)
class Versions:
    """Configuration versions that this entry knows.

    :param processes: all known entries and the agents attached here
    """

    entry_id: str
    version: int
    is_confirmed: bool = False
    processes: tuple[ProcessVersion, ...] = ()


class Provider(Protocol):
    """Source of the documents, implemented by the entry process."""

    def describe_health(self) -> Health:
        """Return the state of the entry."""

    def list_targets(self) -> abc.Sequence[Target]:
        """Return the targets whose agents are attached."""

    def list_shards(self) -> abc.Sequence[Shard]:
        """Return all shards."""

    def list_queues(self) -> abc.Sequence[Queue]:
        """Return the queues of calls and of batch work."""

    def list_quotas(self) -> abc.Sequence[Quota]:
        """Return the quota and usage of each team."""

    def describe_versions(self) -> Versions:
        """Return the configuration versions."""
