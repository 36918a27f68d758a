"""Effects that the owner of a shard asks its runtime to carry out."""

import dataclasses

from borageshelf import errors
from borageshelf.shards import records


@dataclasses.dataclass(frozen=True)
class AttemptId:
    """One attempt of one task under one epoch of its shard."""

    shard: int
    epoch: int
    task_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Grant:
    """A permission to run an attempt until a deadline."""

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
    """Stop an attempt, or prove that it never starts.

    :param only_unstarted: only the proof is wanted; an attempt that the
        agent knows goes on
    """

    target_id: str
    attempt: AttemptId
    checkpoint: bool = False
    only_unstarted: bool = False


@dataclasses.dataclass(frozen=True)
class SendRelease:
    """Let an agent forget an attempt whose end is committed."""

    target_id: str
    attempt: AttemptId


@dataclasses.dataclass(frozen=True)
class SendGrants:
    """Renew the grants of attempts on a target."""

    target_id: str
    grants: tuple[Grant, ...]


@dataclasses.dataclass(frozen=True)
class Reply:
    """Answer a request that waited for a commit.

    :param token: identifies the request
    :param outcome: set for claims
    """

    token: int
    code: errors.ResultCode
    detail: str = ''
    outcome: records.ClaimOutcome | None = None


Effect = SendStart | SendStop | SendRelease | SendGrants | Reply
