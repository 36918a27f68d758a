"""Actions that the owner of a shard asks its runner to carry out.

The owner itself performs no I/O; it returns these values.
"""

import dataclasses

from borageshelf import errors
from borageshelf.shards import records


@dataclasses.dataclass(frozen=True)
class AttemptId:
    """Identifies an attempt of a task.

    :param epoch: fencing epoch of the shard owner that refers to the attempt
    """

    shard: int
    epoch: int
    task_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Grant:
    """Permits an agent to run an attempt until a deadline."""

    attempt: AttemptId
    grant_deadline_ms: int


@dataclasses.dataclass(frozen=True)
class SendStart:
    """Start an attempt on a target."""

    target_id: str
    agent_boot_id: str
    grant: Grant
    task: records.TaskRecord


@dataclasses.dataclass(frozen=True)
class SendStop:
    """Stop an attempt; an agent that does not know it prevents its start.

    :param checkpoint: take a checkpoint before the stop
    :param only_unstarted: only prevent the start of an unknown attempt; an
        attempt that the agent knows keeps running
    """

    target_id: str
    attempt: AttemptId
    checkpoint: bool = False
    only_unstarted: bool = False


@dataclasses.dataclass(frozen=True)
class SendRelease:
    """Tell an agent to forget an attempt whose end is committed."""

    target_id: str
    attempt: AttemptId


@dataclasses.dataclass(frozen=True)
class SendGrants:
    """Renew the grants of attempts on a target."""

    target_id: str
    grants: tuple[Grant, ...]


@dataclasses.dataclass(frozen=True)
class Reply:
    """Answer a request.

    :param token: identifies the request
    :param detail: id of the call that holds the claim, if a claim was
        requested, else an explanation of the code
    :param outcome: outcome of the claim, if a claim was requested
    """

    token: int
    code: errors.ResultCode
    detail: str = ''
    outcome: records.ClaimOutcome | None = None


Effect = SendStart | SendStop | SendRelease | SendGrants | Reply
