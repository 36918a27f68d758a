"""Decodes and encodes the platform's JSON documents.

The structures here have the field names of the documents that callers,
operators and executors send. A document that cannot be decoded yields None or
raises ``decoding.Unreadable``; the calling module decides how to respond.
"""

from collections import abc
from typing import Any, Final

import msgspec

from borageshelf import decoding
from borageshelf.model import numbers
from borageshelf.model import resources
from borageshelf.model import targets
from borageshelf.model import workflows

CONFIGURATION_KEY: Final = 'op/config'
# Prefix of all keys that operators write.
OPERATORS_PREFIX: Final = 'op/'
# Followed by the name of a data centre; the value is not specified.
EVACUATION_PREFIX: Final = 'op/evacuate/'
# Names in the document of the sections and fields of a configuration.
CONFIGURATION_NAMES: Final[abc.Mapping[str, str]] = {
    'version': 'Version',
    'queues': 'Routes',
    'services': 'Services',
    'limits': 'Limits',
    'name': 'Name',
    'host': 'Host',
    'path_prefix': 'PathPrefix',
    'service': 'Service',
    'priority': 'Priority',
    'attempts_limit': 'MaxAttempts',
    'slack_factor': 'SlackFactor',
    'latency_target_ms': 'TargetLatencyMs',
    'timeout_ms': 'TimeoutMs',
    'body_bytes': 'MaxBodyBytes',
    'idle_ms': 'IdleTimeoutMs',
    'guarded': 'EnforcesCapacity',
}


class _Phase(msgspec.Struct, rename='pascal'):
    """A step of a workflow.

    :param estimate_ms: estimated run time of one task of the step
    :param after: indices, from 0, of the steps that must end first
    :param constraints: label that the executor must have
    :param affinity: rack that holds the data of the step
    :param anti_affinity: most tasks of the step on one executor
    """

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: list[int] = []
    gang: bool = False
    rack_local: bool = False
    constraints: str = ''
    affinity: str = ''
    anti_affinity: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    miss_allowed: int = 0


class _Job(msgspec.Struct, rename='pascal'):
    """A submitted workflow."""

    phases: list[_Phase]
    spec: str = ''
    repeat_count: int = 0
    start_at_ms: int = 0
    period_ms: int = 0


class _Route(msgspec.Struct, rename='pascal'):
    """A queue of the configuration and the requests that belong to it."""

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: numbers.WholeNumber = 3_000
    target_latency_ms: numbers.WholeNumber = 0
    priority: numbers.Number = 0
    max_attempts: numbers.WholeNumber = 1
    slack_factor: numbers.Amount = 1.0


class _Service(msgspec.Struct, rename='pascal'):
    name: str
    enforces_capacity: bool = False


class _Limits(msgspec.Struct, rename='pascal', frozen=True):
    max_body_bytes: numbers.WholeNumber = 262_144
    idle_timeout_ms: numbers.WholeNumber = 15_000


class _Config(msgspec.Struct, rename='pascal'):
    version: numbers.WholeNumber
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()


class _Capacity(msgspec.Struct, rename='pascal'):
    cpu: numbers.WholeNumber
    mem_mb: numbers.WholeNumber
    gpu: numbers.WholeNumber = 0


class _Heartbeat(msgspec.Struct, rename='pascal'):
    """An executor's report of its state and capacity.

    Each executor sends all fields without a default; a report that lacks one
    is of another program.

    :param slots: not used, like the zone and the version
    :param cold_left_ms: how much longer it is slow after its start
    :param remaining_ms: least time until a draining executor ends
    :param born: start of the executor, in Unix milliseconds
    """

    service: str
    address: str
    zone: str
    version: str
    slots: numbers.Number
    state: str
    cold_left_ms: numbers.Number
    seq_no: numbers.WholeNumber
    capacity: _Capacity
    labels: list[str]
    remaining_ms: numbers.Number = 0
    clock_ms: numbers.WholeNumber = 0
    born: numbers.WholeNumber = msgspec.field(name='born', default=0)


class _State(msgspec.Struct, rename='pascal'):
    state: str


class _Pending(msgspec.Struct, rename='pascal'):
    pending: int


def decode_workflow(workflow_id: str, body: bytes) -> workflows.Workflow:
    """Decode a submitted workflow.

    :raises decoding.Unreadable: if the document is malformed
    """
    job = decoding.decode_json(body, _Job)
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
    """Decode the configuration that operators write to the store.

    :raises decoding.Unreadable: if the document is malformed
    """
    config = decoding.decode_json(body, _Config)
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
        tuple(service.name for service in config.services),
    )


def list_configuration_errors(body: bytes) -> abc.Sequence[tuple[str, str]]:
    """Return why a configuration can't be decoded, by entry.

    :return: the entry, '' if the error concerns no single one, and the error;
        empty if the document can be decoded
    """
    try:
        decoding.decode_json(body, _Config)
        return ()
    except decoding.Unreadable as error:
        whole = ('', str(error))
    try:
        raw = decoding.decode_json(body, dict[str, Any])
    except decoding.Unreadable:
        return (whole,)
    errors: list[tuple[str, str]] = []
    for section, kind in (('Routes', _Route), ('Services', _Service)):
        items = raw.get(section)
        if not isinstance(items, list):
            continue
        # What is left is decoded without the entries.
        raw[section] = []
        for number, item in enumerate(items):
            try:
                msgspec.convert(item, kind)
            except msgspec.ValidationError as error:
                name = item.get('Name') if isinstance(item, dict) else None
                errors.append((f'{section}/{name or number}', str(error)))
    try:
        msgspec.convert(raw, _Config)
    except msgspec.ValidationError as error:
        errors.append(('', str(error)))
    return errors or (whole,)


def decode_announcement(
    instance_id: str, body: bytes, now_ms: int
) -> targets.Announcement | None:
    """Decode a heartbeat of an executor.

    :param now_ms: time at which the heartbeat arrived, as elapsed time
    :return: None if the document is not a valid heartbeat, as when another
        program sent it
    """
    try:
        heartbeat = decoding.decode_json(body, _Heartbeat)
        decoding.parse_address(heartbeat.address)
    except decoding.Unreadable:
        return None
    if not instance_id or heartbeat.state not in ('ready', 'draining'):
        return None
    capacity = heartbeat.capacity
    is_draining = heartbeat.state == 'draining'
    return targets.Announcement(
        instance_id,
        heartbeat.born,
        heartbeat.service,
        heartbeat.address,
        heartbeat.seq_no,
        resources.Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        tuple(heartbeat.labels),
        is_draining,
        now_ms + max(heartbeat.remaining_ms, 0) if is_draining else 0,
        heartbeat.clock_ms,
        now_ms + heartbeat.cold_left_ms if heartbeat.cold_left_ms > 0 else 0,
    )


def encode_state(state: str) -> bytes:
    """Encode the answer to a query for the state of a workflow."""
    return msgspec.json.encode(_State(state))


def encode_pending(pending: int) -> bytes:
    """Encode the number of workflows of a queue that have not started."""
    return msgspec.json.encode(_Pending(pending))


def encode_refusal(reason: str) -> bytes:
    """Encode the reason for which a request was refused."""
    document: dict[str, Any] = {'Error': reason}
    return msgspec.json.encode(document)
