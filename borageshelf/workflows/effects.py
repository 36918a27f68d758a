"""Effects: actions that the owner's core requests from its runtime."""

import dataclasses
import enum


class Outcome(enum.IntEnum):
    """Result of a caller's request."""

    ACCEPTED = 0
    REFUSED = 1
    UNKNOWN = 2
    ABSENT = 3
    FOUND = 4
    INVALID = 5


@dataclasses.dataclass(frozen=True)
class SendStart:
    """Start a committed run on its target."""

    target_id: str
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class SendStop:
    """Stop a run on its target."""

    target_id: str
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Acknowledge:
    """Acknowledge the end of a run, so that the executor may forget it.

    :param session: session of the agent that reported the end
    :param number: number under which the executor lists the end
    """

    target_id: str
    session: int
    number: int


@dataclasses.dataclass(frozen=True)
class Reply:
    """Answer the callers' requests that have these tokens."""

    tokens: tuple[int, ...]
    outcome: Outcome
    retry_after_s: int = 0


Effect = SendStart | SendStop | Acknowledge | Reply
