"""Property tests of the assignment of shards to entries."""

import collections
import itertools

import hypothesis
from hypothesis import strategies

from borageshelf.decisions import shard_assignment
from borageshelf.shards import ownership

NAMES = ('a', 'b', 'c', 'd', 'e')


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(
    strategies.integers(0, 40),
    strategies.dictionaries(
        strategies.integers(0, 39), strategies.sampled_from([*NAMES, 'x'])
    ),
    strategies.lists(strategies.sampled_from(NAMES), min_size=1),
)
def test_assignment_is_even_and_independent_of_order(
    shard_count: int, owners: dict[int, str], members: list[str]
) -> None:
    """Guards against an uneven load and against entries that disagree."""
    found = shard_assignment.assign_shards(shard_count, owners, members)
    assert sorted(found) == list(range(shard_count))
    shards_by_name = collections.Counter(found.values())
    counts = [shards_by_name[name] for name in set(members)]
    assert max(counts) - min(counts) <= 1
    shuffled = dict(reversed(owners.items()))
    members = [*reversed(members), members[0]]
    assert found == shard_assignment.assign_shards(
        shard_count, shuffled, members
    )
    assert found == shard_assignment.assign_shards(shard_count, found, members)


def test_assignment_moves_the_fewest_shards() -> None:
    """Guards against more moves than an even assignment needs.

    All ways in which three members can own six shards, or leave some
    without an owner, are tried.
    """
    names = NAMES[:3]
    for owners in itertools.product([*names, ''], repeat=6):
        current = dict(enumerate(owners))
        found = shard_assignment.assign_shards(6, current, names)
        moves = sum(found[shard] != current[shard] for shard in current)
        shards_by_name = collections.Counter(owners)
        kept = sum(min(shards_by_name[name], 2) for name in names)
        assert moves == 6 - kept


def test_no_shard_is_assigned_without_members() -> None:
    """Guards against an assignment to an entry that is gone."""
    assert shard_assignment.assign_shards(4, {0: 'a'}, ()) == {}


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(
    strategies.dictionaries(
        strategies.integers(0, 15), strategies.sampled_from(NAMES[:3])
    )
)
def test_plans_give_each_shard_one_owner(held: dict[int, str]) -> None:
    """Guards against shards that no entry, or more than one, acquires.

    All entries see the same members and carry out their plans at the same
    time.
    """
    members = NAMES[:3]
    for _ in range(3):
        plans = {
            name: ownership.plan_shards(
                name,
                16,
                held,
                members,
                {shard for shard, owner in held.items() if owner == name},
            )
            for name in members
        }
        acquired = [x for plan in plans.values() for x in plan.acquire]
        assert len(acquired) == len(set(acquired))
        assert not set(acquired) & set(held)
        for name, plan in plans.items():
            for shard in plan.release:
                del held[shard]
            held.update((shard, name) for shard in plan.acquire)
    assert sorted(held) == list(range(16))
