"""Admission control of workflows.

Guards against bursts above the capacity of the fleet: if all workflows were
treated alike, all of them would be late. A workflow is accepted as prompt if
the fleet can finish it and all prompt work accepted earlier by their
deadlines, in deadline order. A workflow that can only finish late is accepted
for the capacity that prompt work leaves. A workflow that cannot finish while
its result is still of use to the caller is refused at once, with a time to
retry. Estimates are rough, so the objective is stretched by a factor before
it is compared with the expected time.
"""

from collections import abc
import dataclasses
import math
from typing import Final

import xxhash

# The expected time may exceed the objective by this factor, because estimates
# of run times are wrong by half and more in the users' loads.
OBJECTIVE_TOLERANCE_FACTOR: Final = 1.15
# Work that would take longer than this multiple of its objective is refused.
# By the rules of the users' platform a result is of no use after three times
# the objective; the margin covers the error of the estimates.
ADMISSION_LIMIT_FACTOR: Final = 2.6
MS_PER_S: Final = 1_000
MAX_RETRY_AFTER_S: Final = 8
# The retries of refused callers are spread over this many seconds.
RETRY_SPREAD_S: Final = 2


@dataclasses.dataclass(frozen=True)
class Accepted:
    """An accepted workflow of the same or higher priority.

    :param work_millicore_ms: estimated remaining work
    :param deadline_ms: elapsed time by which it should be done
    :param is_prompt: whether it was accepted to meet its objective
    """

    work_millicore_ms: int
    deadline_ms: int
    is_prompt: bool


@dataclasses.dataclass(frozen=True)
class Load:
    """Accepted work and available processors of one service.

    :param available_millicores: processors that the submitted workflow could
        use
    """

    accepted: abc.Sequence[Accepted]
    available_millicores: int


@dataclasses.dataclass(frozen=True)
class Request:
    """A submitted workflow.

    :param work_millicore_ms: its estimated work
    :param critical_path_ms: estimated run time of its critical path,
        including steps whose tasks run in several waves
    :param objective_ms: time in which it should be done
    """

    workflow_id: str
    work_millicore_ms: int
    critical_path_ms: int
    objective_ms: int


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The workflow is accepted.

    :param expected_ms: expected time until it is done
    :param is_prompt: whether it is expected to meet its objective
    """

    expected_ms: int
    is_prompt: bool


@dataclasses.dataclass(frozen=True)
class Refused:
    """The workflow is refused.

    :param expected_ms: expected time until it would be done; 0 if the service
        has no processors available
    :param retry_after_s: time after which the caller may retry
    """

    expected_ms: int
    retry_after_s: int


def decide_admission(
    request: Request, load: Load, now_ms: int
) -> Admitted | Refused:
    """Accept or refuse a workflow by its expected time and its objective."""
    available_millicores = load.available_millicores
    if available_millicores <= 0:
        return Refused(0, compute_retry_after_s(request.workflow_id, 0))
    own_duration_ms = max(
        request.critical_path_ms,
        request.work_millicore_ms / available_millicores,
    )
    deadline_ms = now_ms + request.objective_ms
    prompt_work_millicore_ms = sum(
        other.work_millicore_ms
        for other in load.accepted
        if other.is_prompt and other.deadline_ms <= deadline_ms
    )
    prompt_ms = round(
        prompt_work_millicore_ms / available_millicores + own_duration_ms
    )
    limit_ms = request.objective_ms * OBJECTIVE_TOLERANCE_FACTOR
    if prompt_ms <= limit_ms and not _delays_others(request, load, now_ms):
        return Admitted(prompt_ms, True)
    accepted_work_millicore_ms = sum(
        other.work_millicore_ms for other in load.accepted
    )
    expected_ms = round(
        accepted_work_millicore_ms / available_millicores + own_duration_ms
    )
    limit_ms = request.objective_ms * ADMISSION_LIMIT_FACTOR
    if expected_ms <= limit_ms:
        return Admitted(expected_ms, False)
    excess_ms = round(expected_ms - limit_ms)
    return Refused(
        expected_ms, compute_retry_after_s(request.workflow_id, excess_ms)
    )


def _delays_others(request: Request, load: Load, now_ms: int) -> bool:
    """Tell whether prompt work with a later deadline would become late.

    Work that will be late in any case does not count.
    """
    available_millicores = load.available_millicores
    deadline_ms = now_ms + request.objective_ms
    earlier_work_millicore_ms = 0
    prompt = [other for other in load.accepted if other.is_prompt]
    for other in sorted(prompt, key=lambda item: item.deadline_ms):
        earlier_work_millicore_ms += other.work_millicore_ms
        if other.deadline_ms <= deadline_ms:
            continue
        capacity_millicore_ms = (
            (other.deadline_ms - now_ms)
            * OBJECTIVE_TOLERANCE_FACTOR
            * available_millicores
        )
        if (
            earlier_work_millicore_ms
            <= capacity_millicore_ms
            < earlier_work_millicore_ms + request.work_millicore_ms
        ):
            return True
    return False


def compute_retry_after_s(key: str, excess_ms: int) -> int:
    """Return the time after which to retry, spread by a hash of the key.

    :param excess_ms: expected time beyond the limit of admission
    """
    spread_s = int(xxhash.xxh64_intdigest(key.encode())) % RETRY_SPREAD_S
    wait_s = max(math.ceil(excess_ms / MS_PER_S), 1)
    return min(wait_s + spread_s, MAX_RETRY_AFTER_S)
