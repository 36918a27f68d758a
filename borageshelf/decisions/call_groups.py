"""Queued calls, and the groups of calls that have guaranteed shares.

A call belongs to the group of its kind and to the group of its team.
Admission keeps the queue and the slot time that each group has used.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Final

DEFAULT_QUEUE_LIMIT: Final = 256


@dataclasses.dataclass(frozen=True)
class QueuedCall:
    """Properties of a call that admission decides by."""

    call_id: str
    team: str
    kind: str
    urgency: int
    deadline_ms: int
    offered_at_ms: int


@dataclasses.dataclass(frozen=True)
class Limits:
    """Admission limits of one service in one entry.

    :param queue_limit: maximum number of waiting calls
    :param kind_shares: guaranteed share of the slots per kind, 0 to 1
    :param team_shares: guaranteed share of the slots per team, 0 to 1
    :param team_quotas: maximum number of queued and running calls per team
    """

    queue_limit: int = DEFAULT_QUEUE_LIMIT
    kind_shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    team_shares: Mapping[str, float] = dataclasses.field(default_factory=dict)
    team_quotas: Mapping[str, int] = dataclasses.field(default_factory=dict)


# A group is ('kind', name) or ('team', name). TOTAL stands for all calls of
# the service.
Group = tuple[str, str]
TOTAL: Final[Group] = ('total', '')


def list_shares(limits: Limits) -> list[tuple[Group, float]]:
    """Return each group in the limits with its guaranteed share."""
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


def get_share(limits: Limits, group: Group) -> float:
    """Return the guaranteed share of a group."""
    shares_by_type = {'kind': limits.kind_shares, 'team': limits.team_shares}
    return shares_by_type[group[0]][group[1]]


def is_member(call: QueuedCall, group: Group) -> bool:
    """Tell whether a call belongs to a group."""
    return group in (('kind', call.kind), ('team', call.team))
