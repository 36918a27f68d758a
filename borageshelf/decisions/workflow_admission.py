"""Whether a workflow is accepted, and when a refused caller may return.

Answers bursts above the fleet's capacity: treating everything alike would
make all of it late. A workflow that can meet its objective behind the prompt
work that is accepted already becomes prompt itself. One that can only be late
takes what prompt work leaves over. One that has no chance of being done
within the time in which callers still gain from it is refused at once.
Estimates are rough, so the objective is stretched before it is compared.
"""

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
class Load:
    """Work and room of the targets of one service.

    :param ahead_prompt: accepted prompt work of the same or higher urgency,
        millicore-ms
    :param ahead: all accepted work of that urgency
    :param room_millicores: processors that such work can use
    """

    ahead_prompt: int
    ahead: int
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


def decide(request: Request, load: Load) -> Admitted | Refused:
    """Compare the expected end of a submission with its objective."""
    if load.room_millicores <= 0:
        return Refused(0, find_retry_after_s(request.workflow_id, 0))
    own_ms = max(request.chain_ms, request.work / load.room_millicores)
    prompt_ms = round(load.ahead_prompt / load.room_millicores + own_ms)
    if prompt_ms <= request.objective_ms * OBJECTIVE_STRETCH:
        return Admitted(prompt_ms, True)
    expected_ms = round(load.ahead / load.room_millicores + own_ms)
    limit_ms = request.objective_ms * LATE_FACTOR
    if expected_ms <= limit_ms:
        return Admitted(expected_ms, False)
    excess_ms = round(expected_ms - limit_ms)
    return Refused(
        expected_ms, find_retry_after_s(request.workflow_id, excess_ms)
    )


def find_retry_after_s(key: str, excess_ms: int) -> int:
    """Return when to come back, spread by a hash of the key."""
    spread = int(xxhash.xxh64_intdigest(key.encode())) % RETRY_SPREAD_S
    wait_s = max(math.ceil(excess_ms / MS_PER_S), 1)
    return min(wait_s + spread, RETRY_LIMIT_S)
