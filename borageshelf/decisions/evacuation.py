"""Decides what the evacuation of data centres allows.

Answers the load of a data centre that operators empty while links, machines
and the store may fail: no start may rely on an old reading of the evacuated
data centres, and lasting work leaves without more absent tasks than its step
allows.
"""

from collections import abc
import dataclasses
from typing import Final

from borageshelf.model import data_centres

# A watch waits for 600 ms, so a reading is up to 1,200 ms and two round trips
# old before the next one arrives, and 2,000 ms if one answer is lost. With
# the age of an answer at the agent (1,500 ms) and the call to the executor
# (800 ms) this stays below the 5,000 ms that operators are promised.
SET_AGE_LIMIT_MS: Final = 2_600
# Three reports of an agent, and the time of an answer.
ANSWER_AGE_LIMIT_MS: Final = 1_500
# The smallest bound that these limits and the call to the executor keep.
MIN_EVACUATION_LIMIT_MS: Final = 4_900
# Progress of a lasting task that is at work.
AT_WORK_PERCENT: Final = 100


@dataclasses.dataclass(frozen=True)
class EvacuatedSet:
    """The evacuated data centres, as an entry knows them.

    :param is_followed: whether the deployment uses evacuations
    :param read_at_ms: elapsed time at which the store call that the set
        reflects began; None before the first listing
    """

    is_followed: bool = False
    data_centres: frozenset[str] = frozenset()
    read_at_ms: int | None = None


# For deployments without evacuations.
NOT_FOLLOWED: Final = EvacuatedSet()


def is_recent(known: EvacuatedSet, now_ms: int) -> bool:
    """Tell whether a data centre that the set lacks is in service."""
    if not known.is_followed:
        return True
    return (
        known.read_at_ms is not None
        and now_ms - known.read_at_ms <= SET_AGE_LIMIT_MS
    )


def judge(
    known: EvacuatedSet, data_centre: str, now_ms: int
) -> data_centres.ServiceState:
    """Return what the owner may state about a data centre."""
    if not known.is_followed:
        return data_centres.ServiceState.NOT_STATED
    if data_centre in known.data_centres:
        return data_centres.ServiceState.EVACUATED
    if is_recent(known, now_ms):
        return data_centres.ServiceState.IN_SERVICE
    return data_centres.ServiceState.UNKNOWN


def allows_starts(state: data_centres.ServiceState) -> bool:
    """Tell whether the owner may order starts in a data centre."""
    return state in (
        data_centres.ServiceState.NOT_STATED,
        data_centres.ServiceState.IN_SERVICE,
    )


@dataclasses.dataclass(frozen=True)
class LastingTask:
    """A task of a lasting step.

    :param is_at_work: whether a run of it is known to do its work
    :param is_movable: whether its run is in an evacuated data centre and is
        not being stopped
    """

    name: str
    is_at_work: bool
    is_movable: bool


def choose_moves(
    tasks: abc.Sequence[LastingTask], absent_limit: int
) -> tuple[str, ...]:
    """Return the tasks of a step that may be moved now, the first ones first.

    A task that is not at work is absent already, so its move comes first and
    adds no absent one.

    :param absent_limit: how many tasks of the step may be absent; with 0, one
        task is moved at a time
    """
    limit = max(absent_limit, 1)
    absent = sum(not task.is_at_work for task in tasks)
    if absent > limit:
        return ()
    movable = [task for task in tasks if task.is_movable]
    idle = [task.name for task in movable if not task.is_at_work]
    working = [task.name for task in movable if task.is_at_work]
    return (*idle, *working[: limit - absent])
