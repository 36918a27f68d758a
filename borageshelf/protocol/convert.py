"""Conversion between protocol messages and data classes."""

from typing import Final

from borageshelf.agent import reservations
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.model import resources
from borageshelf.protocol import inner_pb2
from borageshelf.shards import effects
from borageshelf.shards import shard_owner
from borageshelf.shards import transitions

ATTEMPT_STATES: Final = {
    reservations.HeldState.STARTING: inner_pb2.ATTEMPT_RUNNING,
    reservations.HeldState.RUNNING: inner_pb2.ATTEMPT_RUNNING,
    reservations.HeldState.SUCCEEDED: inner_pb2.ATTEMPT_SUCCEEDED,
    reservations.HeldState.FAILED: inner_pb2.ATTEMPT_FAILED,
    reservations.HeldState.STOPPED: inner_pb2.ATTEMPT_STOPPED,
    reservations.HeldState.CHECKPOINTED: inner_pb2.ATTEMPT_CHECKPOINTED,
    reservations.HeldState.NEVER_STARTED: inner_pb2.ATTEMPT_NEVER_STARTED,
}


def pack_resources(value: resources.Resources) -> inner_pb2.Resources:
    """Return the message for a resource vector."""
    return inner_pb2.Resources(
        processor_millicores=value.processor_millicores,
        memory_mb=value.memory_mb,
        accelerators=value.accelerators,
    )


def unpack_resources(message: inner_pb2.Resources) -> resources.Resources:
    """Return the resource vector of a message."""
    return resources.Resources(
        message.processor_millicores,
        message.memory_mb,
        message.accelerators,
    )


def pack_attempt(attempt: effects.AttemptId) -> inner_pb2.Attempt:
    """Return the message for an attempt."""
    return inner_pb2.Attempt(
        shard=attempt.shard,
        epoch=attempt.epoch,
        task_id=attempt.task_id,
        attempt=attempt.attempt,
    )


def pack_grant(grant: effects.Grant) -> inner_pb2.Grant:
    """Return the message for a grant."""
    return inner_pb2.Grant(
        attempt=pack_attempt(grant.attempt),
        grant_deadline_ms=grant.grant_deadline_ms,
    )


def pack_start(effect: effects.SendStart) -> inner_pb2.Start:
    """Return the message that starts an attempt.

    Its field ``declared`` holds the size that the assignment reserved, or the
    declared size of the task if the assignment reserved none.
    """
    task = effect.task
    assert task.assignment is not None
    reserved = task.assignment.reserved
    if reserved == resources.NOTHING:
        reserved = task.declared
    return inner_pb2.Start(
        grant=pack_grant(effect.grant),
        family=task.family,
        declared=pack_resources(reserved),
        idempotent=task.idempotent,
        monitor=task.work_class is objects.WorkClass.MONITOR,
        checkpoint=task.checkpoint,
        arguments=task.arguments,
        urgency=task.urgency,
        speed=task.assignment.speed,
        team=task.team,
    )


def unpack_start(message: inner_pb2.Start) -> reservations.AttemptSpec:
    """Return the specification of an attempt from its start message."""
    attempt = message.grant.attempt
    return reservations.AttemptSpec(
        reservations.AttemptKey(attempt.task_id, attempt.attempt),
        attempt.shard,
        attempt.epoch,
        message.family,
        unpack_resources(message.declared),
        message.grant.grant_deadline_ms,
        message.urgency,
        message.idempotent,
        message.team,
    )


def pack_attempt_status(
    held: reservations.HeldAttempt,
) -> inner_pb2.AttemptStatus:
    """Return the status message of an attempt in an agent's ledger."""
    spec = held.spec
    return inner_pb2.AttemptStatus(
        attempt=inner_pb2.Attempt(
            shard=spec.shard,
            epoch=spec.epoch,
            task_id=spec.key.task_id,
            attempt=spec.key.attempt,
        ),
        state=ATTEMPT_STATES[held.state],
        grant_deadline_ms=held.grant_deadline_ms,
        result=held.result,
        checkpoint=held.checkpoint,
        code=held.code,
        family=spec.family,
        declared=pack_resources(spec.declared),
        used=pack_resources(held.peak),
        started_at_ms=held.started_at_ms,
    )


def unpack_attempt_report(
    message: inner_pb2.AttemptStatus,
) -> shard_owner.AttemptReport:
    """Return an agent's report on one attempt from its status message."""
    return shard_owner.AttemptReport(
        message.attempt.task_id,
        message.attempt.attempt,
        unpack_attempt_event(message),
    )


def unpack_attempt_event(
    message: inner_pb2.AttemptStatus,
) -> transitions.AttemptEvent | None:
    """Return the event that an attempt status reports.

    :return: None while the attempt runs
    """
    attempt = message.attempt.attempt
    state = message.state
    if state == inner_pb2.ATTEMPT_RUNNING:
        return None
    if state == inner_pb2.ATTEMPT_SUCCEEDED:
        return transitions.Succeeded(attempt, message.result)
    if state == inner_pb2.ATTEMPT_FAILED:
        code = message.code or errors.TASK_FAILED.number
        return transitions.Failed(attempt, code)
    if state == inner_pb2.ATTEMPT_NEVER_STARTED and message.code:
        return transitions.Refused(attempt, message.code)
    if state == inner_pb2.ATTEMPT_NEVER_STARTED:
        return transitions.NeverStarted(attempt)
    if message.code == errors.TASK_CRASHES_WORKERS.number:
        return transitions.Lost(attempt, is_crash=True)
    return transitions.Stopped(attempt, message.checkpoint)
