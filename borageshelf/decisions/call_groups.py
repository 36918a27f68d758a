"""Calls as admission sees them, and their groups with guaranteed shares.

A call belongs to the group of its kind and to that of its team. Used by
admission, which holds the queue and the use of each group.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Final

QUEUE_LIMIT: Final = 256


@dataclasses.dataclass(frozen=True)
class QueuedCall:
    """What admission knows about one call."""

    call_id: str
    team: str
    kind: str
    urgency: int
    deadline_ms: int
    offered_at_ms: int


@dataclasses.dataclass(frozen=True)
class Limits:
    """Bounds of one service in one entry.

    :param queue_limit: most calls that wait
    :param kind_shares: guaranteed share of the slots per kind, 0 to 1
    :param team_shares: guaranteed share of the slots per team, 0 to 1
    :param team_quotas: most calls a team may have queued and running
    """

    queue_limit: int = QUEUE_LIMIT
    kind_shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    team_shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    team_quotas: Mapping[str, int] = dataclasses.field(default_factory=dict)


# A group is ('kind', name) or ('team', name).
Group = tuple[str, str]
TOTAL: Final[Group] = ('total', '')


def list_shares(limits: Limits) -> list[tuple[Group, float]]:
    """Return all groups with their guaranteed shares."""
    kinds = [
        (('kind', name), share) for name, share in limits.kind_shares.items()
    ]
    teams = [
        (('team', name), share) for name, share in limits.team_shares.items()
    ]
    return kinds + teams


def find_groups(limits: Limits, call: QueuedCall) -> Iterator[Group]:
    """Yield the groups of a call that have a guaranteed share."""
    if limits.kind_shares.get(call.kind):
        yield ('kind', call.kind)
    if limits.team_shares.get(call.team):
        yield ('team', call.team)


def find_share(limits: Limits, group: Group) -> float:
    """Return the guaranteed share of a group."""
    by_type = {'kind': limits.kind_shares, 'team': limits.team_shares}
    return by_type[group[0]][group[1]]


def is_member(call: QueuedCall, group: Group) -> bool:
    """Tell whether a call belongs to a group."""
    return group in (('kind', call.kind), ('team', call.team))
