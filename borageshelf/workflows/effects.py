"""What the owner's core asks its runtime to do."""

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
    """Order a committed run on its target."""

    target_id: str
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class SendStop:
    """Order the end of a run."""

    target_id: str
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Acknowledge:
    """Let a target's executor forget an end.

    :param session: the agent's session that reported it
    """

    target_id: str
    session: int
    number: int


@dataclasses.dataclass(frozen=True)
class Reply:
    """Answer the requests with these tokens."""

    tokens: tuple[int, ...]
    outcome: Outcome
    retry_after_s: int = 0


Effect = SendStart | SendStop | Acknowledge | Reply
