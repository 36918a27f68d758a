"""Which waiting step starts next.

Answers a fleet that is short of processors: the bursts in which two to three
times the usual number of large workflows arrive within seconds. Lasting tasks
come first, because each second without them is lost to their users. Then
work that was accepted as prompt and can still meet its objective, by priority
and deadline; then work that was accepted as late or became so; last what can
no longer be of use in time. Work that was accepted as late so takes only what
prompt work leaves. Within that, the deadline order serves small and large
workflows alike, since objectives grow with the length of a workflow.
"""

import dataclasses
from typing import Final

# Callers still gain from an answer up to this multiple of the objective
# (rules of the users' platform).
LATE_FACTOR: Final = 3


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A workflow with tasks that could start.

    :param is_prompt: it was expected to meet its objective
    :param accepted_at_ms: elapsed time of the acceptance
    :param objective_ms: time in which it should be done
    :param remaining_ms: estimated time of its longest remaining chain
    """

    priority: int
    is_prompt: bool
    is_lasting: bool
    accepted_at_ms: int
    objective_ms: int
    remaining_ms: int


def compute_rank(candidate: Candidate, now_ms: int) -> tuple[int, int, int]:
    """Return a sort key; the smallest starts first."""
    deadline_ms = candidate.accepted_at_ms + candidate.objective_ms
    if candidate.is_lasting:
        return (0, 0, deadline_ms)
    end_ms = now_ms + candidate.remaining_ms
    late_ms = candidate.accepted_at_ms + LATE_FACTOR * candidate.objective_ms
    if end_ms <= deadline_ms and candidate.is_prompt:
        return (1, candidate.priority, deadline_ms)
    if end_ms <= late_ms:
        return (2, candidate.priority, deadline_ms)
    return (3, candidate.priority, deadline_ms)
