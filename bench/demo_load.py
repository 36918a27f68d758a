"""Sends calls and jobs to a fleet and records the answers of callers."""

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
POLL_INTERVAL_S: Final = 0.3
# The executor echoes a body that is no plan. An echoed unique body shows that
# a caller gets the answer to its own request.
ECHO_CALL_SHARE: Final = 0.3
KEYED_CALL_SHARE: Final = 0.1
SURGE_JOB_COUNT: Final = 150
# Four executors with eight slots complete 128 such calls per second.
SURGE_CALL_RUN_MS: Final = 250
SURGE_CALLS_PER_S: Final = 200


@dataclasses.dataclass
class CallRecord:
    """One call and its outcome as seen by the caller.

    :param status: HTTP status, or 0 if the connection failed
    :param work: 'done', 'not run', 'unknown' or 'failed'
    """

    key: str
    idempotent: bool
    status: int = 0
    work: str = 'unknown'
    code: str = ''
    call_id: str = ''
    is_expected_answer: bool = True
    latency_ms: float = 0.0
    started_at_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Surge:
    """A period of overload with one kind of work, in Unix milliseconds.

    :param kind: 'batch' or 'calls'
    """

    kind: str
    start_ms: int
    end_ms: int

    def contains(self, at_ms: int) -> bool:
        """Return whether a time lies within the surge."""
        return self.start_ms <= at_ms < self.end_ms


@dataclasses.dataclass
class JobRecord:
    """One submitted job and its state as seen by the caller."""

    job: str
    key: str
    job_id: str = ''
    is_refused: bool = False
    answer: dict[str, Any] = dataclasses.field(default_factory=dict)


class LoadGenerator:
    """Open-loop load generator: arrivals do not wait for answers."""

    def __init__(
        self, fleet: local_fleet.Fleet, deployment: demo_plans.Deployment
    ) -> None:
        self.calls: list[CallRecord] = []
        self.jobs: list[JobRecord] = []
        self.surges: list[Surge] = []
        self._fleet = fleet
        self._deployment = deployment
        self._rng = random.Random(deployment.plan.name)
        self._running: set[asyncio.Task[None]] = set()

    async def drive(self, duration_s: float) -> None:
        """Send calls and jobs for a period and wait for their answers."""
        end_s = time.monotonic() + duration_s
        await asyncio.gather(
            self._drive_calls(end_s),
            *(
                self._drive_jobs(job_load, end_s)
                for job_load in self._deployment.jobs
            ),
        )
        await asyncio.gather(*self._running)

    async def submit_batch_surge(self, duration_s: float) -> None:
        """Submit many jobs of the least urgent kind at once.

        :param duration_s: length of the recorded surge
        """
        job_load = self._deployment.jobs[0]
        started_ms = _read_clock_ms()
        for _ in range(SURGE_JOB_COUNT):
            self._start_task(self._submit_until_known(job_load))
        await asyncio.sleep(duration_s)
        self.surges.append(Surge('batch', started_ms, _read_clock_ms()))

    async def send_call_surge(self, duration_s: float) -> None:
        """Send calls at a higher rate than the executors can complete."""
        started_ms = _read_clock_ms()
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            self._start_task(self._send_call(SURGE_CALL_RUN_MS))
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
                return await self._has_job_ended(record)

            await local_fleet.wait_until(
                has_ended, f'end of {record}', limit_s, POLL_INTERVAL_S
            )

    def choose_entry(self) -> local_fleet.EntryHandle:
        """Return a random live entry, as a load balancer does."""
        running_entries = [
            entry
            for entry in self._fleet.entries
            if entry.process.process.returncode is None
        ]
        return self._rng.choice(running_entries)

    async def _drive_calls(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            self._start_task(self._send_call())
            wait_s = self._rng.expovariate(self._deployment.calls_per_s)
            await asyncio.sleep(wait_s)

    async def _drive_jobs(
        self, job_load: demo_plans.JobLoad, end_s: float
    ) -> None:
        while time.monotonic() < end_s:
            self._start_task(self._submit_until_known(job_load))
            await asyncio.sleep(job_load.interval_s)

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _send_call(self, run_ms: int = 0) -> None:
        is_keyed = self._rng.random() < KEYED_CALL_SHARE
        record = CallRecord(
            key=uuid.uuid4().hex if is_keyed else '',
            idempotent=not is_keyed,
            started_at_ms=_read_clock_ms(),
        )
        self.calls.append(record)
        body, answer_bytes = self._make_body(run_ms)
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
        started_s = time.monotonic()
        try:
            async with self._fleet.http.post(
                url, data=body, headers=headers
            ) as answer:
                record.call_id = answer.headers.get('call-id', '')
                content = await answer.read()
                record.status = answer.status
        except aiohttp.ClientError:
            # The entry was killed; the outcome remains unknown.
            return
        record.latency_ms = (time.monotonic() - started_s) * 1000
        if record.status == 200:
            record.work = 'done'
            record.is_expected_answer = is_expected_answer(
                content, body, answer_bytes, record.call_id
            )
        else:
            document = json.loads(content)
            record.work = document['work']
            record.code = document['code_name']

    def _make_body(self, run_ms: int) -> tuple[bytes, int]:
        """Return a body and the bytes of its answer; 0 bytes for an echo."""
        if not run_ms and self._rng.random() < ECHO_CALL_SHARE:
            return f'echo {uuid.uuid4().hex}'.encode(), 0
        answer_bytes = self._rng.choice([200, 2_000, 40_000])
        plan = {
            'run_ms': run_ms or self._deployment.call_run_ms,
            'answer_bytes': answer_bytes,
        }
        return json.dumps(plan).encode(), answer_bytes

    async def _submit_until_known(self, job_load: demo_plans.JobLoad) -> None:
        """Submit a job; repeat with the same key while the outcome is unknown.

        :raises RuntimeError: if the outcome is still unknown after 30 s
        """
        record = JobRecord(job_load.job, uuid.uuid4().hex)
        self.jobs.append(record)
        end_s = time.monotonic() + 30
        while time.monotonic() < end_s:
            try:
                status, answer = await self._fleet.submit(
                    self.choose_entry(),
                    job_load.job,
                    job_load.arguments,
                    record.key,
                )
            except aiohttp.ClientError:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            if status == 202:
                record.job_id = answer['job_id']
                return
            if answer['work'] == 'not run':
                record.is_refused = True
                record.answer = answer
                return
            await asyncio.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f'{record} was neither accepted nor refused')

    async def _has_job_ended(self, record: JobRecord) -> bool:
        """Read a job's answer into its record; return whether it has ended.

        :raises RuntimeError: if the entry does not know the accepted job
        """
        try:
            status, answer = await self._fleet.read_job(
                self.choose_entry(), record.job_id
            )
        except aiohttp.ClientError:
            return False
        if status == 200:
            record.answer = answer
        elif answer['code_name'] == 'UNKNOWN_JOB':
            raise RuntimeError(f'accepted job was lost: {record}')
        return status == 200 and answer['code_name'] != 'PENDING'


def is_expected_answer(
    content: bytes, body: bytes, answer_bytes: int, call_id: str
) -> bool:
    """Return whether an answer is complete and belongs to the call.

    :param answer_bytes: size of a planned answer, which starts with the id of
        the call; 0 for a body that is echoed
    """
    if not answer_bytes:
        return content == body
    is_complete = len(content) == answer_bytes
    return is_complete and content.startswith(call_id.encode())


def _read_clock_ms() -> int:
    return time.time_ns() // 1_000_000
