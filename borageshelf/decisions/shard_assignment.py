"""Assignment of shards to entries.

Each entry computes the assignment itself from what it reads in the store. For
all entries to agree, the result depends only on the arguments, not on their
order or on the entry.
"""

from collections import abc


def assign_shards(
    shard_count: int,
    owners: abc.Mapping[int, str],
    members: abc.Sequence[str],
) -> dict[int, str]:
    """Return the owner that each shard should have.

    The shard counts of any two members differ by at most one. A shard stays
    with its owner unless the owner is gone or has too many shards. No other
    even assignment moves fewer shards.

    :param shard_count: number of shards, numbered from 0
    :param owners: current owner of each owned shard
    :param members: ids of the live entries; repetitions do not count
    :return: the owner of every shard, or {} if there are no members
    """
    names = sorted(set(members))
    if not names:
        return {}
    held: dict[str, list[int]] = {name: [] for name in names}
    free: list[int] = []
    for shard in range(shard_count):
        held.get(owners.get(shard, ''), free).append(shard)
    # The members that hold the most shards get the larger quotas, because
    # this moves the fewest shards.
    names.sort(key=lambda name: (-len(held[name]), name))
    quota, larger_quotas = divmod(shard_count, len(names))
    quotas = {
        name: quota + (position < larger_quotas)
        for position, name in enumerate(names)
    }
    for name in names:
        free.extend(held[name][quotas[name] :])
        del held[name][quotas[name] :]
    free.sort()
    for name in names:
        missing_count = quotas[name] - len(held[name])
        held[name].extend(free[:missing_count])
        del free[:missing_count]
    return {
        shard: name
        for name, shards in sorted(held.items())
        for shard in shards
    }
