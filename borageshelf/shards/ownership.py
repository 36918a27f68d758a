"""Decides which shards an entry acquires and which it releases.

The batch runtime of an entry calls ``plan_shards`` after each change of the
members or of the shard heads. An outdated view of the members causes at most
an unnecessary takeover: the epoch in the head of a shard fences earlier
owners, whatever the plan.
"""

from collections import abc
import dataclasses

from borageshelf.decisions import shard_assignment


@dataclasses.dataclass(frozen=True)
class Plan:
    """Shards that an entry acquires and releases next."""

    acquire: tuple[int, ...]
    release: tuple[int, ...]


def plan_shards(
    entry_id: str,
    shard_count: int,
    owners: abc.Mapping[int, str],
    members: abc.Sequence[str],
    held: abc.Set[int],
) -> Plan:
    """Return the shards to acquire and to release.

    :param owners: owner of each shard as the live members announce it. The
        owner in a shard's head cannot be used: it stays there after that
        entry restarts or gives up the shard while the store is down, and
        then no entry would acquire the shard.
    :param members: entries whose membership lease is valid
    :param held: shards that this entry owns now
    """
    current = {
        shard: name for shard, name in owners.items() if name in members
    }
    current.update((shard, entry_id) for shard in held)
    assigned = shard_assignment.assign_shards(shard_count, current, members)
    acquire = tuple(
        shard
        for shard, name in sorted(assigned.items())
        if name == entry_id and shard not in current
    )
    release = tuple(
        shard
        for shard in sorted(held)
        if assigned.get(shard, entry_id) != entry_id
    )
    return Plan(acquire, release)
