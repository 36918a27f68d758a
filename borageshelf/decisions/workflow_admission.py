"""Whether a workflow is accepted, and when a refused caller may return.

Answers bursts above the fleet's capacity: accepting everything would make all
of it late. A workflow is refused at once if the work that is accepted before
it leaves no chance of meeting its objective. Estimates are rough, so the
objective is stretched before it is compared.
"""

import dataclasses
import math
from typing import Final

import xxhash

# Estimates of run times are wrong by half and more in the users' loads.
OBJECTIVE_STRETCH: Final = 1.15
MS_PER_S: Final = 1_000
RETRY_LIMIT_S: Final = 8
# Refused callers are spread over this many seconds.
RETRY_SPREAD_S: Final = 2


@dataclasses.dataclass(frozen=True)
class Load:
    """Work and room of the targets of one service.

    :param ahead: accepted work of the same or higher urgency, millicore-ms
    :param room_millicores: processors that such work can use
    """

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
    """The workflow is accepted."""

    expected_ms: int


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
    wait_ms = load.ahead / load.room_millicores
    own_ms = max(request.chain_ms, request.work / load.room_millicores)
    expected_ms = round(wait_ms + own_ms)
    limit_ms = request.objective_ms * OBJECTIVE_STRETCH
    if expected_ms <= limit_ms:
        return Admitted(expected_ms)
    excess_ms = round(expected_ms - limit_ms)
    return Refused(
        expected_ms, find_retry_after_s(request.workflow_id, excess_ms)
    )


def find_retry_after_s(key: str, excess_ms: int) -> int:
    """Return when to come back, spread by a hash of the key."""
    spread = int(xxhash.xxh64_intdigest(key.encode())) % RETRY_SPREAD_S
    wait_s = max(math.ceil(excess_ms / MS_PER_S), 1)
    return min(wait_s + spread, RETRY_LIMIT_S)
