"""Whether a workflow is accepted, and when a refused caller may return.

Answers bursts above the fleet's capacity: treating everything alike would
make all of it late. A workflow becomes prompt if the fleet can do it and all
prompt work accepted before it by their deadlines, taken in the order of the
deadlines. One that can only be late takes what prompt work leaves over. One
that has no chance of being done within the time in which callers still gain
from it is refused at once. Estimates are rough, so the time is stretched
before it is compared.
"""

from collections import abc
import dataclasses
import math
from typing import Final

import xxhash

# Estimates of run times are wrong by half and more in the users' loads.
OBJECTIVE_STRETCH: Final = 1.15
# Callers gain nothing from an answer after three times the objective (rules
# of the users' platform); the margin covers the estimates.
LATE_FACTOR: Final = 2.6
MS_PER_S: Final = 1_000
RETRY_LIMIT_S: Final = 8
# Refused callers are spread over this many seconds.
RETRY_SPREAD_S: Final = 2


@dataclasses.dataclass(frozen=True)
class Accepted:
    """An accepted workflow of the same or higher urgency.

    :param work: estimated work that is left, millicore-ms
    :param deadline_ms: elapsed time by which it should be done
    """

    work: int
    deadline_ms: int
    is_prompt: bool


@dataclasses.dataclass(frozen=True)
class Load:
    """Work and room of the targets of one service.

    :param room_millicores: processors that such work can use
    """

    accepted: abc.Sequence[Accepted]
    room_millicores: int


@dataclasses.dataclass(frozen=True)
class Request:
    """What is known of a submission.

    :param work: its own estimated work, millicore-ms
    :param chain_ms: estimated time of its longest chain, waves included
    """

    workflow_id: str
    work: int
    chain_ms: int
    objective_ms: int


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The workflow is accepted.

    :param is_prompt: it should meet its objective
    """

    expected_ms: int
    is_prompt: bool


@dataclasses.dataclass(frozen=True)
class Refused:
    """The workflow is refused.

    :param retry_after_s: when the fleet may have room for it
    """

    expected_ms: int
    retry_after_s: int


def decide_admission(
    request: Request, load: Load, now_ms: int
) -> Admitted | Refused:
    """Compare the expected end of a submission with its objective."""
    room = load.room_millicores
    if room <= 0:
        return Refused(0, find_retry_after_s(request.workflow_id, 0))
    own_ms = max(request.chain_ms, request.work / room)
    deadline_ms = now_ms + request.objective_ms
    before = sum(
        other.work
        for other in load.accepted
        if other.is_prompt and other.deadline_ms <= deadline_ms
    )
    prompt_ms = round(before / room + own_ms)
    limit_ms = request.objective_ms * OBJECTIVE_STRETCH
    if prompt_ms <= limit_ms and not _delays_others(request, load, now_ms):
        return Admitted(prompt_ms, True)
    ahead = sum(other.work for other in load.accepted)
    expected_ms = round(ahead / room + own_ms)
    limit_ms = request.objective_ms * LATE_FACTOR
    if expected_ms <= limit_ms:
        return Admitted(expected_ms, False)
    excess_ms = round(expected_ms - limit_ms)
    return Refused(
        expected_ms, find_retry_after_s(request.workflow_id, excess_ms)
    )


def _delays_others(request: Request, load: Load, now_ms: int) -> bool:
    """Tell whether prompt work with a later deadline would become late.

    Work that would be late in any case is no reason against a new one.
    """
    room = load.room_millicores
    deadline_ms = now_ms + request.objective_ms
    total = 0
    prompt = [other for other in load.accepted if other.is_prompt]
    for other in sorted(prompt, key=lambda item: item.deadline_ms):
        total += other.work
        if other.deadline_ms <= deadline_ms:
            continue
        left = (other.deadline_ms - now_ms) * OBJECTIVE_STRETCH * room
        if total <= left < total + request.work:
            return True
    return False


def find_retry_after_s(key: str, excess_ms: int) -> int:
    """Return when to come back, spread by a hash of the key."""
    spread = int(xxhash.xxh64_intdigest(key.encode())) % RETRY_SPREAD_S
    wait_s = max(math.ceil(excess_ms / MS_PER_S), 1)
    return min(wait_s + spread, RETRY_LIMIT_S)
