"""Requests about jobs, against a fake of the owned shards."""

import asyncio
from typing import cast

import msgspec
import pytest

from borageshelf.configuration import propagation
from borageshelf.entry import batch as batch_module
from borageshelf.entry import documents
from borageshelf.entry import jobs
from borageshelf.entry import peers
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.model import resources
from borageshelf.protocol import inner_pb2
from borageshelf.shards import effects
from borageshelf.shards import grants
from borageshelf.shards import records
from borageshelf.shards import shard_log
from borageshelf.shards import shard_owner

SIZE = resources.Resources(100, 100)


class FakeBatchService:
    """Fake batch service with one owned shard that commits at once."""

    def __init__(self, tasks: dict[str, records.TaskRecord]) -> None:
        horizons = records.Horizons()
        state = shard_log.ShardState(1, horizons, tasks, {})
        self._owner = shard_owner.ShardOwner(
            0, state, horizons, grants.GrantPolicy()
        )

    def find_owner(self, shard: int) -> shard_owner.ShardOwner:
        return self._owner

    async def request(self, *_: object) -> effects.Reply:
        return effects.Reply(1, errors.PENDING)


def make_service(queued: int) -> jobs.JobService:
    """Return a service with queued jobs in its shard and a limit of two."""
    tasks = {
        f'old{number}/0': make_task(f'old{number}') for number in range(queued)
    }
    holder = propagation.ConfigurationHolder()
    holder.apply_if_newer(
        objects.Configuration(version=1, limits=objects.Limits(jobs_queued=2))
    )
    batch = cast(batch_module.BatchService, FakeBatchService(tasks))
    return jobs.JobService(batch, peers.Peers(), holder, 1)


def make_task(job_id: str) -> records.TaskRecord:
    """Return a queued task."""
    return records.TaskRecord(f'{job_id}/0', job_id, 'f', 't', SIZE, 0)


def submit(service: jobs.JobService, job_id: str) -> None:
    """Submit a job to the shard."""
    document = msgspec.msgpack.encode((make_task(job_id),))
    message = inner_pb2.SubmitRequest(shard=0, document=document)
    asyncio.run(service.submit_local(message))


def test_queue_limit_refuses_new_jobs_only() -> None:
    """Guards against unbounded queues and refusals of accepted jobs.

    A retried submission of a job that is already stored must succeed even if
    the queue is full.
    """
    submit(make_service(queued=1), 'new')
    with pytest.raises(errors.BorageshelfError) as refusal:
        submit(make_service(queued=2), 'new')
    assert refusal.value.code is errors.OVERLOADED
    assert refusal.value.retry_deadline_ms > 0
    submit(make_service(queued=2), 'old1')


def test_unconfirmed_configuration_accepts_no_job() -> None:
    """Guards against a job that a newer configuration has removed.

    An entry whose configuration is not confirmed may not know the newer one.
    """
    service = make_service(queued=0)
    with pytest.raises(errors.BorageshelfError) as refusal:
        asyncio.run(service.submit(documents.JobRequest(job='any')))
    assert refusal.value.code is errors.CONFIGURATION_UNCONFIRMED
