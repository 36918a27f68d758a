"""Order in which workflows with waiting tasks start them.

It matters while the fleet is short of processors, as in bursts in which two
to three times the usual number of large workflows arrive within seconds.
Lasting tasks, which run until they are cancelled, come first, because their
users lose every second without them. Next comes work that was accepted as
prompt and can still meet its objective, by priority and deadline; then work
that was accepted as late or has become late; last work that can no longer
finish while its result is of use. Work accepted as late therefore uses only
the capacity that prompt work leaves. Deadline order treats small and large
workflows alike, because objectives grow with the length of a workflow.
"""

import dataclasses
from typing import Final

# A result is of use to the caller up to this multiple of the objective, by the
# rules of the users' platform.
USEFUL_TIME_FACTOR: Final = 3


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A workflow with tasks that are ready to start.

    :param priority: 0 is the most urgent
    :param is_prompt: whether it was accepted to meet its objective
    :param is_lasting: whether it has tasks that run until they are cancelled
    :param accepted_at_ms: time of acceptance, elapsed milliseconds
    :param objective_ms: time in which it should be done
    :param remaining_path_ms: estimated run time of its remaining critical path
    """

    priority: int
    is_prompt: bool
    is_lasting: bool
    accepted_at_ms: int
    objective_ms: int
    remaining_path_ms: int


def compute_rank(candidate: Candidate, now_ms: int) -> tuple[int, int, int]:
    """Return a sort key; the workflow with the lowest key starts first."""
    deadline_ms = candidate.accepted_at_ms + candidate.objective_ms
    if candidate.is_lasting:
        return (0, 0, deadline_ms)
    end_ms = now_ms + candidate.remaining_path_ms
    useful_until_ms = (
        candidate.accepted_at_ms + USEFUL_TIME_FACTOR * candidate.objective_ms
    )
    if end_ms <= deadline_ms and candidate.is_prompt:
        return (1, candidate.priority, deadline_ms)
    if end_ms <= useful_until_ms:
        return (2, candidate.priority, deadline_ms)
    return (3, candidate.priority, deadline_ms)
