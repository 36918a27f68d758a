"""Requests about batch jobs, answered by the owner of the job's shard.

The entry that receives a submission chooses the job id, so that it can retry
after a lost answer without creating a second job. Every entry derives the
same id from a caller's key.
"""

import asyncio
from collections import abc
import hashlib
from typing import Final, TypeVar
import uuid

import msgspec

from borageshelf import clock
from borageshelf.configuration import propagation
from borageshelf.decisions import retries
from borageshelf import decoding
from borageshelf.entry import batch as batch_module
from borageshelf.entry import call_claims
from borageshelf.entry import documents
from borageshelf.entry import peers as peers_module
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.protocol import inner_pb2
from borageshelf.shards import codec
from borageshelf.shards import records

MAX_ARGUMENTS_BYTES: Final = 16_384
MAX_KEY_CHARACTERS: Final = 200
COMMIT_TIMEOUT_MS: Final = 3000
# Bounds all tries of one request; the shard may move between two tries.
ROUTE_TIMEOUT_MS: Final = 8000
MAX_ROUTE_BACKOFF_MS: Final = 150
OVERLOAD_RETRY_DELAY_MS: Final = 5_000
RETRIED_CODES: Final = frozenset({errors.NOT_OWNER, errors.OUTCOME_UNKNOWN})

Answer = TypeVar('Answer')


class JobService:
    """Submits, cancels and reads jobs through the owners of shards."""

    def __init__(
        self,
        batch: batch_module.BatchService,
        peers: peers_module.Peers,
        holder: propagation.ConfigurationHolder,
        shard_count: int,
    ) -> None:
        self._batch = batch
        self._peers = peers
        self._holder = holder
        self._shard_count = shard_count

    async def submit(
        self, request: documents.JobRequest
    ) -> documents.JobAnswer:
        """Submit a job; it is stored durably before this returns.

        :raises BorageshelfError: with a code that says whether the job may
            have been accepted
        """
        job = self._find_configured_job(request)
        job_id = make_job_id(job.team, request.key)
        placements = self._holder.configuration.placements
        tasks = make_tasks(
            job,
            placements[job.placement],
            job_id,
            request.arguments.encode(),
            clock.read_wall_clock_ms(),
        )
        shard = codec.compute_shard(job_id, self._shard_count)
        message = inner_pb2.SubmitRequest(
            shard=shard, document=msgspec.msgpack.encode(tasks)
        )
        try:
            await self._route(
                shard,
                lambda: self.submit_local(message),
                lambda address: self._peers.submit(address, message),
            )
        except errors.BorageshelfError as error:
            error.detail = f'job {job_id}: {error.detail}'
            raise
        return documents.JobAnswer(
            job_id, errors.PENDING.number, errors.PENDING.name
        )

    async def submit_local(self, message: inner_pb2.SubmitRequest) -> None:
        """Store the tasks of a job in a shard that this entry owns.

        :raises BorageshelfError: see ``BatchService.request``
        """
        try:
            tasks = decoding.decode_msgpack(
                message.document, tuple[records.TaskRecord, ...]
            )
        except decoding.Unreadable as error:
            raise errors.BorageshelfError(
                errors.BAD_REQUEST, str(error)
            ) from error
        self._check_queue_limit(message.shard, tasks[0].job_id)
        reply = await self._batch.request(
            message.shard,
            lambda owner, token: owner.submit(tasks, token),
            clock.read_wall_clock_ms() + COMMIT_TIMEOUT_MS,
        )
        if reply.code is not errors.PENDING:
            raise errors.BorageshelfError(reply.code, reply.detail)

    async def find(self, job_id: str) -> documents.JobAnswer:
        """Return the committed state of a job.

        :raises BorageshelfError: ``UNKNOWN_JOB``, ``NOT_OWNER``
        """
        shard = codec.compute_shard(job_id, self._shard_count)
        message = inner_pb2.JobRequest(shard=shard, job_id=job_id)
        return await self._route(
            shard,
            lambda: self.find_local(message),
            lambda address: self._peers.find_job(address, message),
        )

    async def find_local(
        self, message: inner_pb2.JobRequest
    ) -> documents.JobAnswer:
        """Return the committed state of a job of an owned shard."""
        owner = self._batch.find_owner(message.shard)
        if owner is None:
            raise errors.BorageshelfError(errors.NOT_OWNER, message.job_id)
        tasks = owner.find_committed_job(message.job_id)
        if not tasks:
            raise errors.BorageshelfError(errors.UNKNOWN_JOB, message.job_id)
        return documents.describe_job(message.job_id, tasks)

    async def cancel(self, job_id: str) -> documents.JobAnswer:
        """Request a cancellation and return the state of the job.

        :raises BorageshelfError: ``UNKNOWN_JOB``, ``NOT_OWNER``
        """
        shard = codec.compute_shard(job_id, self._shard_count)
        message = inner_pb2.JobRequest(shard=shard, job_id=job_id)
        return await self._route(
            shard,
            lambda: self.cancel_local(message),
            lambda address: self._peers.cancel(address, message),
        )

    async def cancel_local(
        self, message: inner_pb2.JobRequest
    ) -> documents.JobAnswer:
        """Cancel a job of an owned shard."""
        reply = await self._batch.request(
            message.shard,
            lambda owner, token: owner.cancel(
                message.job_id, token, clock.read_wall_clock_ms()
            ),
            clock.read_wall_clock_ms() + COMMIT_TIMEOUT_MS,
        )
        if reply.code is not errors.PENDING:
            raise errors.BorageshelfError(reply.code, reply.detail)
        return await self.find_local(message)

    async def claim(
        self, key: str, call_id: str, expires_deadline_ms: int
    ) -> call_claims.ClaimAnswer:
        """Claim the key of a non-idempotent call.

        :param expires_deadline_ms: Unix time in milliseconds until which the
            claim holds
        :raises BorageshelfError: if the claim could not be stored
        """
        claim_id = make_claim_id(key)
        shard = codec.compute_shard(claim_id, self._shard_count)
        message = inner_pb2.ClaimRequest(
            shard=shard,
            claim_id=claim_id,
            call_id=call_id,
            expires_deadline_ms=expires_deadline_ms,
        )
        answer = await self._route(
            shard,
            lambda: self.claim_local(message),
            lambda address: self._peers.claim(address, message),
        )
        return call_claims.ClaimAnswer(
            answer.granted, records.ClaimOutcome(answer.outcome)
        )

    async def claim_local(
        self, message: inner_pb2.ClaimRequest
    ) -> inner_pb2.ClaimAnswer:
        """Store a claim in an owned shard."""
        claim = records.ClaimRecord(
            message.claim_id,
            message.call_id,
            records.ClaimOutcome.CLAIMED,
            message.expires_deadline_ms,
        )
        reply = await self._batch.request(
            message.shard,
            lambda owner, token: owner.claim(claim, token),
            clock.read_wall_clock_ms() + COMMIT_TIMEOUT_MS,
        )
        if reply.code not in (errors.OK, errors.DUPLICATE_KEY):
            raise errors.BorageshelfError(reply.code, reply.detail)
        outcome = reply.outcome.value if reply.outcome is not None else ''
        return inner_pb2.ClaimAnswer(
            code=reply.code.number,
            granted=reply.code is errors.OK,
            outcome=outcome,
        )

    async def settle(
        self, key: str, call_id: str, outcome: records.ClaimOutcome
    ) -> None:
        """Record how a claimed call ended.

        :raises BorageshelfError: if the shard's owner did not store it; the
            key then stays claimed, which is safe
        """
        claim_id = make_claim_id(key)
        shard = codec.compute_shard(claim_id, self._shard_count)
        message = inner_pb2.SettleRequest(
            shard=shard,
            claim_id=claim_id,
            call_id=call_id,
            outcome=outcome.value,
        )
        await self._route(
            shard,
            lambda: self.settle_local(message),
            lambda address: self._peers.settle(address, message),
        )

    async def settle_local(
        self, message: inner_pb2.SettleRequest
    ) -> inner_pb2.ClaimAnswer:
        """Record the outcome of a claim in an owned shard."""
        outcome = records.ClaimOutcome(message.outcome)
        reply = await self._batch.request(
            message.shard,
            lambda owner, token: owner.settle(
                message.claim_id, message.call_id, outcome, token
            ),
            clock.read_wall_clock_ms() + COMMIT_TIMEOUT_MS,
        )
        return inner_pb2.ClaimAnswer(
            code=reply.code.number, granted=True, outcome=message.outcome
        )

    def _check_queue_limit(self, shard: int, job_id: str) -> None:
        """Refuse a new job if the queue is full; admit a known one again.

        :raises BorageshelfError: ``OVERLOADED``
        """
        owner = self._batch.find_owner(shard)
        if owner is None or owner.find_job(job_id):
            return
        queued_count = sum(
            task.phase is records.TaskPhase.QUEUED
            for task in owner.list_tasks()
        )
        if queued_count >= self._holder.configuration.limits.jobs_queued:
            raise errors.BorageshelfError(
                errors.OVERLOADED,
                f'{queued_count} tasks are queued in shard {shard}',
                clock.read_wall_clock_ms() + OVERLOAD_RETRY_DELAY_MS,
            )

    def _find_configured_job(
        self, request: documents.JobRequest
    ) -> objects.Job:
        configuration = self._holder.configuration
        if not configuration.version:
            raise errors.BorageshelfError(errors.NO_CONFIGURATION)
        if not self._holder.is_confirmed():
            # A newer version may have changed or removed the job, and an
            # accepted batch job is always run.
            raise errors.BorageshelfError(errors.CONFIGURATION_UNCONFIRMED)
        job = configuration.jobs.get(request.job)
        if job is None:
            raise errors.BorageshelfError(errors.UNKNOWN_JOB, request.job)
        if len(request.arguments) > MAX_ARGUMENTS_BYTES:
            raise errors.BorageshelfError(
                errors.BODY_TOO_LARGE,
                f'arguments exceed {MAX_ARGUMENTS_BYTES} bytes',
            )
        if len(request.key) > MAX_KEY_CHARACTERS:
            raise errors.BorageshelfError(
                errors.BAD_REQUEST,
                f'key exceeds {MAX_KEY_CHARACTERS} characters',
            )
        return job

    async def _route(
        self,
        shard: int,
        ask_local: abc.Callable[[], abc.Awaitable[Answer]],
        ask_peer: abc.Callable[[str], abc.Awaitable[Answer]],
    ) -> Answer:
        """Send a request to the owner of a shard; retry if the shard moves.

        All requests are idempotent by job id or call id, so a retry is safe.
        If an earlier try may have had an effect, ``OUTCOME_UNKNOWN`` replaces
        a final error that means that nothing has run.
        """
        deadline_ms = clock.read_wall_clock_ms() + ROUTE_TIMEOUT_MS
        may_have_run = False
        tries = 0
        while True:
            try:
                address = self._batch.find_owner_address(shard)
                if address is None:
                    return await ask_local()
                return await ask_peer(address)
            except errors.BorageshelfError as error:
                is_final = error.code not in RETRIED_CODES
                may_have_run |= error.code is errors.OUTCOME_UNKNOWN
                last_error = error
            tries += 1
            delay_ms = min(
                retries.compute_backoff_ms(str(shard), tries),
                MAX_ROUTE_BACKOFF_MS,
            )
            now_ms = clock.read_wall_clock_ms()
            if is_final or now_ms + delay_ms >= deadline_ms:
                break
            await asyncio.sleep(delay_ms / 1000)
        if (
            may_have_run
            and last_error.code.category is errors.Category.NOT_RUN
        ):
            raise errors.BorageshelfError(
                errors.OUTCOME_UNKNOWN, last_error.detail
            )
        raise last_error


def make_job_id(team: str, key: str) -> str:
    """Return the job id for a caller's key, or a random one if it is empty."""
    if not key:
        return uuid.uuid4().hex
    return hashlib.sha256(f'{team}\0{key}'.encode()).hexdigest()[:32]


def make_claim_id(key: str) -> str:
    """Return the id under which a call's key is claimed."""
    return 'claim-' + hashlib.sha256(key.encode()).hexdigest()[:32]


def make_tasks(
    job: objects.Job,
    placement: objects.Placement,
    job_id: str,
    arguments: bytes,
    now_ms: int,
) -> tuple[records.TaskRecord, ...]:
    """Return one task for each replica of a job."""
    return tuple(
        records.TaskRecord(
            task_id=f'{job_id}/{replica}',
            job_id=job_id,
            family=job.name,
            team=job.team,
            declared=job.declared,
            submitted_at_ms=now_ms,
            work_class=job.work_class,
            idempotent=job.idempotent,
            urgency=job.urgency,
            attempts_limit=job.attempts,
            data_centres=placement.data_centres,
            spread=placement.spread,
            arguments=arguments,
        )
        for replica in range(job.replicas)
    )
