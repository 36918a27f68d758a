"""Documents of callers, operators and executors as the project's types.

A document that can't be read gives None or ``ValueError``; whoever called
decides what follows.
"""

from typing import Any, Final

import msgspec

from borageshelf.model import resources
from borageshelf.model import targets
from borageshelf.model import workflows

CONFIGURATION_KEY: Final = 'op/config'


class _Phase(msgspec.Struct, rename='pascal'):
    """A step. ``EstimateMs`` is for one task, ``After`` counts from 0."""

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: list[int] = []
    gang: bool = False
    rack_local: bool = False
    # A label that the executor must have.
    constraints: str = ''
    # The rack where the data is.
    affinity: str = ''
    # Most tasks of the step on one executor.
    anti_affinity: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    miss_allowed: int = 0


class _Job(msgspec.Struct, rename='pascal'):
    phases: list[_Phase]
    spec: str = ''
    repeat_count: int = 0
    start_at_ms: int = 0
    period_ms: int = 0


class _Route(msgspec.Struct, rename='pascal'):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int = 3_000
    target_latency_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0


class _Service(msgspec.Struct, rename='pascal'):
    name: str
    enforces_capacity: bool = False


class _Limits(msgspec.Struct, rename='pascal', frozen=True):
    max_body_bytes: int = 262_144
    idle_timeout_ms: int = 15_000


class _Config(msgspec.Struct, rename='pascal'):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()


class _Capacity(msgspec.Struct, rename='pascal'):
    cpu: int
    mem_mb: int
    gpu: int = 0


class _Heartbeat(msgspec.Struct, rename='pascal'):
    """An executor's report about itself.

    :param remaining_ms: least time left while it drains
    :param born: Unix ms of the executor's start
    """

    service: str
    address: str
    state: str
    seq_no: int
    capacity: _Capacity
    labels: list[str] = []
    remaining_ms: int = 0
    born: int = msgspec.field(name='born', default=0)


class _State(msgspec.Struct, rename='pascal'):
    state: str


class _Pending(msgspec.Struct, rename='pascal'):
    pending: int


def decode_workflow(workflow_id: str, body: bytes) -> workflows.Workflow:
    """Decode a submission.

    :raises ValueError: if it can't be read
    """
    job = msgspec.json.decode(body, type=_Job)
    steps = tuple(
        workflows.Step(
            count=phase.count,
            demand=resources.Resources(phase.cpu, phase.mem_mb, phase.gpu),
            estimate_ms=phase.estimate_ms,
            after=tuple(phase.after),
            is_gang=phase.gang,
            needs_one_rack=phase.rack_local,
            label=phase.constraints,
            rack=phase.affinity,
            spread_limit=phase.anti_affinity,
            is_checkpointing=phase.checkpointing,
            is_speculative=phase.speculative,
            is_lasting=phase.long_running,
            image=phase.image,
            latency_target_ms=phase.target_ms,
            is_filler=phase.fills,
            absent_limit=phase.miss_allowed,
        )
        for phase in job.phases
    )
    return workflows.Workflow(
        workflow_id,
        job.spec,
        steps,
        max(job.repeat_count, 1),
        job.start_at_ms,
        job.period_ms,
    )


def decode_configuration(body: bytes) -> workflows.QueueConfiguration:
    """Decode the operators' configuration.

    :raises ValueError: if it can't be read
    """
    config = msgspec.json.decode(body, type=_Config)
    return workflows.QueueConfiguration(
        config.version,
        tuple(
            workflows.Queue(
                route.name,
                route.host,
                route.path_prefix,
                route.service,
                route.priority,
                route.max_attempts,
                route.slack_factor,
                route.target_latency_ms,
                route.timeout_ms,
            )
            for route in config.routes
        ),
        tuple(
            service.name
            for service in config.services
            if service.enforces_capacity
        ),
        workflows.RequestLimits(
            config.limits.max_body_bytes, config.limits.idle_timeout_ms
        ),
    )


def decode_announcement(
    instance_id: str, body: bytes, now_ms: int
) -> targets.Announcement | None:
    """Decode a heartbeat; None for one of another writer or service."""
    try:
        found = msgspec.json.decode(body, type=_Heartbeat)
    except msgspec.MsgspecError:
        return None
    if not instance_id or found.state not in ('ready', 'draining'):
        return None
    size = found.capacity
    if min(size.cpu, size.mem_mb, size.gpu) < 0:
        return None
    is_draining = found.state == 'draining'
    return targets.Announcement(
        instance_id,
        found.born,
        found.service,
        found.address,
        found.seq_no,
        resources.Resources(size.cpu, size.mem_mb, size.gpu),
        tuple(found.labels),
        is_draining,
        now_ms + max(found.remaining_ms, 0) if is_draining else 0,
    )


def encode_state(state: str) -> bytes:
    """Encode the answer to a question about a workflow."""
    return msgspec.json.encode(_State(state))


def encode_pending(pending: int) -> bytes:
    """Encode the number of workflows of a queue that have not begun."""
    return msgspec.json.encode(_Pending(pending))


def encode_refusal(reason: str) -> bytes:
    """Encode why a request is refused."""
    document: dict[str, Any] = {'Error': reason}
    return msgspec.json.encode(document)
