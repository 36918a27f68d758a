"""Messages between entries and agents, and between entries.

Each message travels over one stream and is a tagged array, so that a field
may be added at the end with a default. Times named ``elapsed`` are of the
sender's clock and mean nothing to others; a receiver only returns them.
"""

from typing import TypeAlias

import msgspec

from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import effects


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Base of the parts of messages."""


class TargetState(Part, frozen=True, array_like=True):
    """What the executor beside an agent has announced.

    :param incarnation: identity of one life of the executor
    :param leaves_in_ms: least time that a draining executor has left
    """

    incarnation: str
    service: str
    capacity: resources.Resources
    labels: tuple[str, ...]
    is_draining: bool
    leaves_in_ms: int


class Row(Part, frozen=True, array_like=True):
    """A run in progress."""

    task: str
    attempt: int
    checkpoint: str
    progress_percent: int
    pace_percent: int = 100


class Ended(Part, frozen=True, array_like=True):
    """An end that the executor lists under a number."""

    number: int
    task: str
    attempt: int
    kind: task_executor.EndKind
    checkpoint: str


class RunTerms(Part, frozen=True, array_like=True):
    """What an agent has to know of a run on its target."""

    task: str
    attempt: int
    reserved: resources.Resources
    is_filler: bool = False
    is_lasting: bool = False
    latency_target_ms: int = 0
    image: str = ''
    size_millicores: int = 0


class LatencySample(Part, frozen=True, array_like=True):
    """Tail latency of a serving image, the highest on the target.

    :param latency_share: as a share of its target
    """

    serving_image: str
    latency_ms: int
    latency_share: float


class EntryAddress(Part, frozen=True, array_like=True):
    """Where the inner protocol of an entry listens."""

    entry_id: str
    address: str


# From agents.


class AgentHello(Message, frozen=True, array_like=True, tag=True):
    """Begins a session; sent again when the executor has restarted."""

    target_id: str
    boot_id: str
    data_centre: str
    incarnation: str


class Snapshot(Message, frozen=True, array_like=True, tag=True):
    """Everything that the executor runs, after it has seen the new token."""

    token: int
    state: TargetState
    running: tuple[Row, ...]
    ended: tuple[Ended, ...]


class Report(Message, frozen=True, array_like=True, tag=True):
    """Sent several times a second; the answer extends the grant.

    :param state: only when it has changed
    :param filler_shares: processors in use by each filler image, as a share
        of the VM, in the time that the samples cover
    """

    token: int
    sent_at_elapsed_ms: int
    rows: tuple[Row, ...] = ()
    state: TargetState | None = None
    samples: tuple[LatencySample, ...] = ()
    filler_shares: dict[str, float] = {}


class Ends(Message, frozen=True, array_like=True, tag=True):
    """New ends of runs."""

    token: int
    ended: tuple[Ended, ...]


class StartRefused(Message, frozen=True, array_like=True, tag=True):
    """A run certainly does not exist."""

    token: int
    task: str
    attempt: int
    reason: str
    is_unhealthy: bool = False


class ExecutorGone(Message, frozen=True, array_like=True, tag=True):
    """Nothing runs on the target any more."""

    token: int
    incarnation: str
    cause: str


# To agents.


class Welcome(Message, frozen=True, array_like=True, tag=True):
    """The receiver of the hello owns the workflows.

    :param token: fencing token of the session
    :param grant_ms: how long a grant lasts from the report that asked for it
    """

    epoch: int
    token: int
    grant_ms: int
    entries: tuple[EntryAddress, ...]


class Start(Message, frozen=True, array_like=True, tag=True):
    """Start a run.

    :param spec: None if it was sent before in this session
    """

    token: int
    terms: RunTerms
    workflow_id: str
    spec: str | None
    checkpoint: str


class Stop(Message, frozen=True, array_like=True, tag=True):
    """Stop a run, also one whose start is still under way."""

    token: int
    task: str
    attempt: int


class Acknowledged(Message, frozen=True, array_like=True, tag=True):
    """Ends up to a number may be forgotten."""

    token: int
    number: int


class Known(Message, frozen=True, array_like=True, tag=True):
    """What the owner knows of the runs of a snapshot."""

    token: int
    runs: tuple[RunTerms, ...]


class Effects(Message, frozen=True, array_like=True, tag=True):
    """What fillers do to serving tasks.

    :param pairs: serving image, filler image, effect
    """

    pairs: tuple[tuple[str, str, float], ...]


class Forget(Message, frozen=True, array_like=True, tag=True):
    """A workflow has ended, so its specification is not needed."""

    workflow_id: str


class Answer(Message, frozen=True, array_like=True, tag=True):
    """Answer to a report or to a ping.

    :param is_granted: the grant counts from the time in the report
    """

    sent_at_elapsed_ms: int
    is_granted: bool = False


# Between entries.


class EntryHello(Message, frozen=True, array_like=True, tag=True):
    """Begins the stream of another entry to the owner."""

    entry_id: str
    boot_id: str
    address: str
    known_epoch: int


class OwnerHello(Message, frozen=True, array_like=True, tag=True):
    """The receiver of an entry's hello owns the workflows."""

    epoch: int


class Redirect(Message, frozen=True, array_like=True, tag=True):
    """The receiver of a hello is not the owner.

    :param boot_id: of the answering process
    :param address: of the owner that it knows, or ''
    """

    entry_id: str
    boot_id: str
    epoch: int
    address: str
    entries: tuple[EntryAddress, ...] = ()


class Ping(Message, frozen=True, array_like=True, tag=True):
    """Sent by an entry to the owner; answered with ``Answer``.

    :param version: of the configuration that the sender has
    """

    sent_at_elapsed_ms: int
    version: int


class Configuration(Message, frozen=True, array_like=True, tag=True):
    """A newer configuration, as the operator wrote it."""

    document: bytes


class SubmitRequest(Message, frozen=True, array_like=True, tag=True):
    """Accept a workflow."""

    number: int
    workflow: workflows.Workflow
    queue: workflows.Queue


class CancelRequest(Message, frozen=True, array_like=True, tag=True):
    """Cancel a workflow."""

    number: int
    workflow_id: str


class FindRequest(Message, frozen=True, array_like=True, tag=True):
    """Read the state of a workflow."""

    number: int
    workflow_id: str


class CountRequest(Message, frozen=True, array_like=True, tag=True):
    """Read how many workflows of a queue have not begun."""

    number: int
    queue: str


class RequestAnswer(Message, frozen=True, array_like=True, tag=True):
    """Answer to a request."""

    number: int
    outcome: effects.Outcome
    retry_after_s: int = 0
    state: str = ''
    count: int = 0


class StepDown(Message, frozen=True, array_like=True, tag=True):
    """Tells a former owner that there is a new one."""

    epoch: int


AnyMessage: TypeAlias = (
    AgentHello
    | Snapshot
    | Report
    | Ends
    | StartRefused
    | ExecutorGone
    | Welcome
    | Start
    | Stop
    | Acknowledged
    | Known
    | Effects
    | Forget
    | Answer
    | EntryHello
    | OwnerHello
    | Redirect
    | Ping
    | Configuration
    | SubmitRequest
    | CancelRequest
    | FindRequest
    | CountRequest
    | RequestAnswer
    | StepDown
)
Request: TypeAlias = SubmitRequest | CancelRequest | FindRequest | CountRequest
