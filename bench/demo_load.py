"""Drives calls and jobs against a fleet and keeps what callers saw."""

import asyncio
import dataclasses
import json
import random
import time
from typing import Any, Final
import uuid

import aiohttp

from bench import demo_plans
from bench import local_fleet

CALL_TIMEOUT_S: Final = 10.0
POLL_S: Final = 0.3
# Calls with a body that is not a plan are echoed, which shows that each
# caller gets the answer to its own request.
ECHO_SHARE: Final = 0.3
KEYED_SHARE: Final = 0.1
SURGE_JOBS: Final = 150
# Four executors with eight slots answer 128 such calls a second.
SURGE_CALL_MS: Final = 250
SURGE_CALLS_PER_S: Final = 200


@dataclasses.dataclass
class CallRecord:
    """One call as its caller saw it.

    :param status: HTTP status, or 0 if the connection broke
    :param work: 'done', 'not run', 'unknown' or 'failed'
    """

    key: str
    idempotent: bool
    status: int = 0
    work: str = 'unknown'
    code: str = ''
    call_id: str = ''
    is_own_answer: bool = True
    latency_ms: float = 0.0
    started_at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Surge:
    """A time in which one kind of work floods in; Unix milliseconds.

    :param kind: 'batch' or 'calls'
    """

    kind: str
    start_ms: int
    end_ms: int

    def covers(self, at_ms: int) -> bool:
        """Tell whether a time lies within the surge."""
        return self.start_ms <= at_ms < self.end_ms


@dataclasses.dataclass
class JobRecord:
    """One submitted job as its caller saw it."""

    job: str
    key: str
    job_id: str = ''
    is_refused: bool = False
    answer: dict[str, Any] = dataclasses.field(default_factory=dict)


class Load:
    """Open-loop load: arrivals don't wait for answers."""

    def __init__(
        self, fleet: local_fleet.Fleet, deployment: demo_plans.Deployment
    ) -> None:
        self.calls: list[CallRecord] = []
        self.jobs: list[JobRecord] = []
        self.surges: list[Surge] = []
        self._fleet = fleet
        self._deployment = deployment
        self._random = random.Random(deployment.plan.name)
        self._running: set[asyncio.Task[None]] = set()

    async def drive(self, duration_s: float) -> None:
        """Send calls and jobs for a time and wait for the answers."""
        end = time.monotonic() + duration_s
        await asyncio.gather(
            self._drive_calls(end),
            *(self._drive_jobs(item, end) for item in self._deployment.jobs),
        )
        await asyncio.gather(*self._running)

    async def surge_batch(self, duration_s: float) -> None:
        """Submit many jobs of the least urgent kind at once."""
        item = self._deployment.jobs[0]
        started_ms = _read_clock_ms()
        for _ in range(SURGE_JOBS):
            self._start(self._submit(item))
        await asyncio.sleep(duration_s)
        self.surges.append(Surge('batch', started_ms, _read_clock_ms()))

    async def surge_calls(self, duration_s: float) -> None:
        """Send far more calls than the executors can answer."""
        started_ms = _read_clock_ms()
        end = time.monotonic() + duration_s
        while time.monotonic() < end:
            self._start(self._call(SURGE_CALL_MS))
            await asyncio.sleep(1 / SURGE_CALLS_PER_S)
        self.surges.append(Surge('calls', started_ms, _read_clock_ms()))

    async def wait_for_jobs(self, limit_s: float) -> None:
        """Wait until every accepted job has ended.

        :raises RuntimeError: if the limit passes first
        """
        for record in self.jobs:
            if record.is_refused:
                continue

            async def has_ended(record: JobRecord = record) -> bool:
                return await self._read_job(record)

            await local_fleet.wait_until(
                has_ended, f'end of {record}', limit_s, POLL_S
            )

    def choose_entry(self) -> local_fleet.EntryHandle:
        """Return an entry as a balancer does: one whose process runs."""
        alive = [
            entry
            for entry in self._fleet.entries
            if entry.process.process.returncode is None
        ]
        return self._random.choice(alive)

    async def _drive_calls(self, end: float) -> None:
        while time.monotonic() < end:
            self._start(self._call())
            wait_s = self._random.expovariate(self._deployment.calls_per_s)
            await asyncio.sleep(wait_s)

    async def _drive_jobs(self, item: demo_plans.JobLoad, end: float) -> None:
        while time.monotonic() < end:
            self._start(self._submit(item))
            await asyncio.sleep(item.period_s)

    def _start(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _call(self, run_ms: int = 0) -> None:
        is_keyed = self._random.random() < KEYED_SHARE
        record = CallRecord(
            key=uuid.uuid4().hex if is_keyed else '',
            idempotent=not is_keyed,
            started_at_ms=_read_clock_ms(),
        )
        self.calls.append(record)
        body, size_bytes = self._make_body(run_ms)
        headers = {
            'call-idempotent': str(record.idempotent).lower(),
            'call-timeout-ms': str(int(CALL_TIMEOUT_S * 1000)),
        }
        if is_keyed:
            headers['call-key'] = record.key
        url = (
            f'{self.choose_entry().caller_url}/v1/services/'
            f'{self._deployment.service}/calls'
        )
        started = time.monotonic()
        try:
            async with self._fleet.http.post(
                url, data=body, headers=headers
            ) as answer:
                record.call_id = answer.headers.get('call-id', '')
                content = await answer.read()
                record.status = answer.status
        except aiohttp.ClientError:
            # The entry was killed; the caller does not know more.
            return
        record.latency_ms = (time.monotonic() - started) * 1000
        if record.status == 200:
            record.work = 'done'
            record.is_own_answer = is_own_answer(
                content, body, size_bytes, record.call_id
            )
        else:
            document = json.loads(content)
            record.work = document['work']
            record.code = document['code_name']

    def _make_body(self, run_ms: int) -> tuple[bytes, int]:
        """Return a body and the size of its answer; 0 for an echo."""
        if not run_ms and self._random.random() < ECHO_SHARE:
            return f'echo {uuid.uuid4().hex}'.encode(), 0
        size_bytes = self._random.choice([200, 2_000, 40_000])
        plan = {
            'run_ms': run_ms or self._deployment.call_ms,
            'answer_bytes': size_bytes,
        }
        return json.dumps(plan).encode(), size_bytes

    async def _submit(self, item: demo_plans.JobLoad) -> None:
        """Submit a job, again with the same key while it is unknown."""
        record = JobRecord(item.job, uuid.uuid4().hex)
        self.jobs.append(record)
        end = time.monotonic() + 30
        while time.monotonic() < end:
            try:
                status, answer = await self._fleet.submit(
                    self.choose_entry(), item.job, item.arguments, record.key
                )
            except aiohttp.ClientError:
                await asyncio.sleep(POLL_S)
                continue
            if status == 202:
                record.job_id = answer['job_id']
                return
            if answer['work'] == 'not run':
                record.is_refused = True
                record.answer = answer
                return
            await asyncio.sleep(POLL_S)
        raise RuntimeError(f'{record} was neither accepted nor refused')

    async def _read_job(self, record: JobRecord) -> bool:
        try:
            status, answer = await self._fleet.read_job(
                self.choose_entry(), record.job_id
            )
        except aiohttp.ClientError:
            return False
        if status == 200:
            record.answer = answer
        elif answer['code_name'] == 'UNKNOWN_JOB':
            raise RuntimeError(f'accepted job is lost: {record}')
        return status == 200 and answer['code_name'] != 'PENDING'


def is_own_answer(
    content: bytes, body: bytes, size_bytes: int, call_id: str
) -> bool:
    """Tell whether an answer is whole and belongs to the call.

    :param size_bytes: size of a planned answer, which repeats the id of the
        call; 0 for a body that is echoed
    """
    if not size_bytes:
        return content == body
    is_whole = len(content) == size_bytes
    return is_whole and content.startswith(call_id.encode())


def _read_clock_ms() -> int:
    return time.time_ns() // 1_000_000
