"""Decides which shards an entry acquires and which it gives up.

The runtime of an entry calls ``plan_shards`` after each change of the
members or of the shard heads. A wrong view of the members costs a takeover,
never safety, which rests on the epochs of the heads.
"""

from collections import abc
import dataclasses

from borageshelf.decisions import shard_assignment


@dataclasses.dataclass(frozen=True)
class Plan:
    """What an entry does next about its shards."""

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
        owner in a shard's head does not serve: it remains there when an
        entry restarts, or when it gives a shard up while the store is down,
        and then nobody would acquire the shard.
    :param members: entries whose membership lease is live
    :param held: shards that this entry owns now
    """
    live = {shard: name for shard, name in owners.items() if name in members}
    live.update((shard, entry_id) for shard in held)
    assigned = shard_assignment.assign_shards(shard_count, live, members)
    acquire = tuple(
        shard
        for shard, name in sorted(assigned.items())
        if name == entry_id and shard not in live
    )
    release = tuple(
        shard
        for shard in sorted(held)
        if assigned.get(shard, entry_id) != entry_id
    )
    return Plan(acquire, release)
