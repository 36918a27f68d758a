"""Messages between entries and agents, and between entries.

Each message is encoded as a tagged array, so a field may be appended with a
default. Times named ``elapsed`` are readings of the sender's monotonic clock;
a receiver cannot interpret them and only returns them. A deadline named
``elapsed`` is a reading of the receiver's clock.
"""

import enum
from typing import Any, Final, TypeAlias

import msgspec

from borageshelf.model import data_centres
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.ports import task_executor
from borageshelf.workflows import effects
from borageshelf.workflows import records


# Reasons of refusals that tell nothing about the target: its data centre is
# evacuated, or no recent answer of the owner says that it is in service.
EVACUATED_REASON: Final = 'evacuated'
NO_RECENT_ANSWER_REASON: Final = 'no recent answer'


class GoneCause(enum.Enum):
    """What tells an agent that its executor has gone, or that it may have.

    Which of them are proofs is decided in ``end_proofs``. ``REPLACED``: an
    executor with another id has answered under it; ``RESTARTED``: another
    incarnation under the same id has.
    """

    NOTHING_LISTENS = 'nothing listens'
    OTHER_ANSWERS = 'other executor answers'
    OTHER_ANNOUNCED = 'other incarnation announced'
    REPLACED = 'replaced'
    RESTARTED = 'started again'
    LEASE_ENDED = 'lease ended'
    LEFT = 'left'


class Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base class of all messages."""


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the parts of messages."""


class TargetState(Part, frozen=True, array_like=True):
    """State that the executor of the agent's VM has announced.

    :param incarnation: identifies one start of the executor
    :param leaves_in_ms: minimum time until a draining executor leaves
    :param cold_left_ms: how much longer the executor is slow after its start
    """

    incarnation: str
    service: str
    capacity: resources.Resources
    labels: tuple[str, ...]
    is_draining: bool
    leaves_in_ms: int
    cold_left_ms: int = 0


class Row(Part, frozen=True, array_like=True):
    """Progress of a run that has not ended.

    :param is_start_open: whether an unanswered try of its start may still be
        carried out, also by the next incarnation of the executor
    """

    task: str
    attempt: int
    checkpoint: str
    progress_percent: int
    pace_percent: int = 100
    is_start_open: bool = False


class Ended(Part, frozen=True, array_like=True):
    """End of a run, which the executor lists under a number."""

    number: int
    task: str
    attempt: int
    kind: task_executor.EndKind
    checkpoint: str


class RunTerms(Part, frozen=True, array_like=True):
    """What an agent needs to know about a run on its target."""

    task: str
    attempt: int
    reserved: resources.Resources
    is_filler: bool = False
    is_lasting: bool = False
    latency_target_ms: int = 0
    image: str = ''
    size_millicores: int = 0

    @property
    def workflow_id(self) -> str:
        """Id of the workflow, with which the name of each task begins."""
        return self.task.partition('.')[0]


class LatencySample(Part, frozen=True, array_like=True):
    """Highest tail latency of a serving workflow's tasks on the target.

    :param serving_image: image of these tasks
    :param latency_share: the latency as a share of the latency target
    :param workflow_id: '' from agents of earlier versions
    """

    serving_image: str
    latency_ms: int
    latency_share: float
    workflow_id: str = ''


class Origin(Part, frozen=True, array_like=True):
    """Where a request of a caller comes from; for the log only.

    :param entry_id: entry that received it
    :param received_at_wall_ms: wall clock of that entry at the time
    """

    entry_id: str = ''
    received_at_wall_ms: int = 0

    def describe(self, now_wall_ms: int) -> dict[str, Any]:
        """Return the fields of a log line; the clocks may differ."""
        return {
            'entry': self.entry_id,
            'age_ms': now_wall_ms - self.received_at_wall_ms,
        }


class EntryAddress(Part, frozen=True, array_like=True):
    """Address at which an entry serves the inner protocol."""

    entry_id: str
    address: str


# Sent by agents.


class AgentHello(Message, frozen=True, array_like=True, tag=True):
    """Opens a session; sent again after a restart of the executor."""

    target_id: str
    boot_id: str
    data_centre: str
    incarnation: str


class Snapshot(Message, frozen=True, array_like=True, tag=True):
    """All runs of the executor, read after it has seen the new token.

    :param has_all_ends: whether a run that is not listed does not exist;
        otherwise another snapshot follows
    """

    token: int
    state: TargetState
    running: tuple[Row, ...]
    ended: tuple[Ended, ...]
    has_all_ends: bool = True


class Report(Message, frozen=True, array_like=True, tag=True):
    """Periodic report, several a second; the answer extends the grant.

    :param state: set only when it has changed
    :param filler_shares: processors in use by each filler image, as a share
        of the VM, in the period that the samples cover
    :param requests_grant: whether the grant is to be extended; false while the
        executor does not answer, as its lease can't be extended either
    """

    token: int
    sent_at_elapsed_ms: int
    rows: tuple[Row, ...] = ()
    state: TargetState | None = None
    samples: tuple[LatencySample, ...] = ()
    filler_shares: dict[str, float] = {}
    requests_grant: bool = True


class Ends(Message, frozen=True, array_like=True, tag=True):
    """Ends of runs that the agent has seen for the first time."""

    token: int
    ended: tuple[Ended, ...]


class StartRefused(Message, frozen=True, array_like=True, tag=True):
    """A start was refused, so the run certainly does not exist.

    :param retry_in_ms: time until starts are accepted again; 0 if not known
    """

    token: int
    task: str
    attempt: int
    reason: str
    is_unhealthy: bool = False
    retry_in_ms: int = 0

    @property
    def is_neutral(self) -> bool:
        """Whether the reason tells nothing about the target."""
        return self.reason in (EVACUATED_REASON, NO_RECENT_ANSWER_REASON)


class ExecutorGone(Message, frozen=True, array_like=True, tag=True):
    """An incarnation of the executor has gone, or may have.

    :param reached: task and attempt of each run whose start the executor may
        have received; None if it is not known
    :param silent_ms: how long it has not answered any more, at least
    :param unproved: task and attempt of each run that the next incarnation
        may start, because an order is still on its way to the executor id
    :param is_orderly: whether its runs have ended without a crash, because it
        still answers or has announced its end
    :param order_age_ms: time since the last start of an unproved run was
        sent, at least; if ``reached`` is None, since the last of any run
    """

    token: int
    incarnation: str
    cause: GoneCause
    reached: tuple[tuple[str, int], ...] | None = None
    silent_ms: int = 0
    unproved: tuple[tuple[str, int], ...] = ()
    is_orderly: bool = False
    order_age_ms: int = 0


# Sent to agents.


class Welcome(Message, frozen=True, array_like=True, tag=True):
    """Accepts an agent's session; the sender owns the workflows.

    :param token: fencing token of the session
    :param grant_ms: duration of a grant from the time of its report
    :param has_given_up_runs: whether runs of the target were given up because
        its grant had ended
    :param service_state: whether the agent's data centre is evacuated
    """

    epoch: records.Epoch
    token: int
    grant_ms: int
    entries: tuple[EntryAddress, ...]
    has_given_up_runs: bool = False
    service_state: data_centres.ServiceState = (
        data_centres.ServiceState.NOT_STATED
    )


class Start(Message, frozen=True, array_like=True, tag=True):
    """Orders the start of a run.

    :param spec: None if it has been sent in this session before
    :param ordered_at_wall_ms: the owner's wall clock, for the log only
    """

    token: int
    terms: RunTerms
    workflow_id: str
    spec: str | None
    checkpoint: str
    ordered_at_wall_ms: int = 0


class Stop(Message, frozen=True, array_like=True, tag=True):
    """Orders the stop of a run, even if its start is still in progress."""

    token: int
    task: str
    attempt: int


class Acknowledged(Message, frozen=True, array_like=True, tag=True):
    """Acknowledges all ends up to a number; they may be forgotten."""

    token: int
    number: int


class Known(Message, frozen=True, array_like=True, tag=True):
    """Terms of the runs in a snapshot that the owner knows."""

    token: int
    runs: tuple[RunTerms, ...]


class Effects(Message, frozen=True, array_like=True, tag=True):
    """Learned effects of fillers on the latency of serving tasks.

    :param pairs: serving image, filler image and effect of each pair
    """

    pairs: tuple[tuple[str, str, float], ...]


class Forget(Message, frozen=True, array_like=True, tag=True):
    """A workflow has ended; its specification may be dropped."""

    workflow_id: str


class Answer(Message, frozen=True, array_like=True, tag=True):
    """Answer to a report or a ping.

    :param is_granted: whether the grant is extended from the time that the
        report carries
    :param largest_millicores: processors of the largest entry that is
        connected to the owner; in answers to pings only
    :param store_silent_ms: time since the store last answered the owner; in
        answers to pings only
    :param head_revision: revision of the head after the last commit that was
        answered; in answers to pings only
    :param service_state: whether the agent's data centre is evacuated; in
        answers to reports, and in those that answer nothing
        (``sent_at_elapsed_ms`` is 0) and tell of a change
    :param answered_at_elapsed_ms: elapsed time of the owner when it sent
        this; in answers to pings only
    """

    sent_at_elapsed_ms: int
    is_granted: bool = False
    largest_millicores: int = 0
    store_silent_ms: int = 0
    head_revision: int = 0
    service_state: data_centres.ServiceState = (
        data_centres.ServiceState.NOT_STATED
    )
    answered_at_elapsed_ms: int = 0


# Sent between entries.


class EntryHello(Message, frozen=True, array_like=True, tag=True):
    """First message of the stream from another entry to the owner.

    :param processor_millicores: processors that the entry may use
    """

    entry_id: str
    boot_id: str
    address: str
    known_epoch: records.Epoch
    processor_millicores: int = 0


class OwnerHello(Message, frozen=True, array_like=True, tag=True):
    """Answer to an entry's hello; the sender owns the workflows.

    :param entries: the entries that are connected to it
    :param elapsed_ms: elapsed time of the owner when it sent this
    """

    epoch: records.Epoch
    entries: tuple[EntryAddress, ...] = ()
    elapsed_ms: int = 0


class Redirect(Message, frozen=True, array_like=True, tag=True):
    """Answer to a hello; the answering entry is not the owner.

    :param boot_id: boot id of the answering process
    :param epoch: epoch of the owner that it knows
    :param address: address of the owner that it knows, or ''
    :param owner_id: entry id of that owner, or '' if it is only a candidate
    :param owner_boot_id: boot id of that owner
    """

    entry_id: str
    boot_id: str
    epoch: records.Epoch
    address: str
    entries: tuple[EntryAddress, ...] = ()
    owner_id: str = ''
    owner_boot_id: str = ''


class Ping(Message, frozen=True, array_like=True, tag=True):
    """Sent by an entry to the owner; answered with ``Answer``.

    :param version: version of the sender's configuration
    """

    sent_at_elapsed_ms: int
    version: int


class Configuration(Message, frozen=True, array_like=True, tag=True):
    """A newer configuration document, as the operator wrote it."""

    document: bytes


class SubmitRequest(Message, frozen=True, array_like=True, tag=True):
    """Requests the acceptance of a workflow.

    :param deadline_elapsed_ms: elapsed time of the owner after which nobody
        waits for the answer, so that it must not be accepted; 0 if it is not
        known
    """

    number: int
    workflow: workflows.Workflow
    queue: workflows.Queue
    origin: Origin = Origin()
    deadline_elapsed_ms: int = 0


class CancelRequest(Message, frozen=True, array_like=True, tag=True):
    """Requests the cancellation of a workflow."""

    number: int
    workflow_id: str
    origin: Origin = Origin()


class FindRequest(Message, frozen=True, array_like=True, tag=True):
    """Requests the state of a workflow."""

    number: int
    workflow_id: str


class CountRequest(Message, frozen=True, array_like=True, tag=True):
    """Requests the number of a queue's workflows without any start."""

    number: int
    queue: str


class RequestAnswer(Message, frozen=True, array_like=True, tag=True):
    """Answer to a request of the same number."""

    number: int
    outcome: effects.Outcome
    retry_after_s: int = 0
    state: str = ''
    count: int = 0


class StepDown(Message, frozen=True, array_like=True, tag=True):
    """Tells a former owner that another entry has become the owner."""

    epoch: records.Epoch
    owner_id: str = ''
    owner_boot_id: str = ''
    address: str = ''


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
