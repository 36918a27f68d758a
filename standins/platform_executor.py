"""Stand-in of the users' executor: runs tasks for a time that the spec says.

The specification of a task is its run time in milliseconds. The documents are
written out here and not taken from the adapter.
"""

import asyncio
import dataclasses
import time
from typing import Any, Final

import msgspec
from twisted.web import http
from twisted.web import server

from borageshelf.ports import http_client
from standins import http_server

HEARTBEAT_S: Final = 0.3
STEP_S: Final = 0.01
BEAT_TIMEOUT_MS: Final = 1_000

Document = dict[str, Any]


@dataclasses.dataclass
class Run:
    """A run in progress."""

    task: str
    attempt: int
    started_ms: int
    ends_ms: int


@dataclasses.dataclass(frozen=True)
class Event:
    """What happened to a run, for the checks of tests."""

    at_ms: int
    task: str
    attempt: int
    what: str


class PlatformExecutor:
    """One executor.

    :param registration_url: where the agent takes heartbeats
    """

    def __init__(
        self, instance_id: str, service: str, registration_url: str
    ) -> None:
        self.instance_id = instance_id
        self._service = service
        self._client = http_client.HttpClient(registration_url, 1)
        self.born_ms = time.time_ns() // 1_000_000
        self._token = 0
        self._lease_ms = 0
        self._runs: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._numbers = 0
        self._sequence = 0
        self.state = 'ready'
        self.history: list[Event] = []
        # Starts that are carried out but not answered.
        self.lost_answers = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def make_site(self) -> server.Site:
        """Return the site for the agent."""
        route = http_server.Route
        return server.Site(
            http_server.ApiResource(
                {
                    ('POST', '/-/run-start'): route(self._start),
                    ('POST', '/-/run-stop'): route(self._stop),
                    ('POST', '/-/hold'): route(self._hold),
                    ('POST', '/-/pace'): route(self._pace),
                }
            )
        )

    def begin(self) -> None:
        """Run tasks and send heartbeats until ``stop``."""
        for coroutine in (self._work(), self._beat()):
            self._tasks.add(asyncio.ensure_future(coroutine))

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    @property
    def running(self) -> list[str]:
        """Names of the tasks that run."""
        return list(self._runs)

    def _clock_ms(self) -> int:
        return time.monotonic_ns() // 1_000_000

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now_ms = self._clock_ms()
            for run in list(self._runs.values()):
                if now_ms > self._lease_ms:
                    self._end(run, 'lapsed')
                elif now_ms >= run.ends_ms:
                    self._end(run, 'done')

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            body = msgspec.json.encode(
                {
                    'Service': self._service,
                    'Address': '127.0.0.1:1',
                    'Zone': 'tajo-norte',
                    'Version': 'v1',
                    'Slots': 8,
                    'State': self.state,
                    'ColdLeftMs': 0,
                    'Capacity': {'Cpu': 8000, 'MemMb': 8000, 'Gpu': 0},
                    'Labels': ['a', 'r1-1'],
                    'ClockMs': self._clock_ms(),
                    'SeqNo': self._sequence,
                    'born': self.born_ms,
                }
            )
            path = f'/-/Instances.Heartbeat/{self.instance_id}'
            try:
                await self._client.post(path, body, BEAT_TIMEOUT_MS, 10_000)
            except http_client.CallFailed:
                # The agent is not up yet or just restarts.
                await asyncio.sleep(STEP_S)
            await asyncio.sleep(HEARTBEAT_S)

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        self._numbers += 1
        self._ended.append([self._numbers, run.task, run.attempt, how, ''])
        self._note(run.task, run.attempt, how)

    def _note(self, task: str, attempt: int, what: str) -> None:
        self.history.append(Event(self._clock_ms(), task, attempt, what))

    def _refuse(self, request: http.Request, reason: str) -> object:
        http_server.answer_document(
            request, 409, {'ClockMs': self._clock_ms(), 'Reason': reason}
        )
        return http_server.ALREADY_ANSWERED

    def _read(self, request: http.Request) -> Document | None:
        """Return the body; None if the call is meant for another one."""
        wanted = request.getHeader('target-instance')
        if wanted is not None and wanted != self.instance_id:
            http_server.answer_document(request, 421, {})
            return None
        return http_server.read_document(request, Document)

    def _take_token(self, document: Document) -> bool:
        token = document.get('FencingToken', 0)
        if token < self._token:
            return False
        self._token = token
        return True

    async def _start(self, request: http.Request) -> object:
        document = self._read(request)
        if document is None:
            return http_server.ALREADY_ANSWERED
        if not self._take_token(document):
            return self._refuse(request, 'fence')
        now_ms = self._clock_ms()
        if document['DeadlineMs'] <= now_ms:
            return self._refuse(request, 'late')
        self._lease_ms = max(self._lease_ms, document['DeadlineMs'])
        task, attempt = document['Task'], document['Attempt']
        run = self._runs.get(task)
        if run is None or run.attempt != attempt:
            if attempt <= self._highest.get(task, 0):
                return self._refuse(request, 'old')
            self._highest[task] = attempt
            self._runs[task] = Run(
                task, attempt, now_ms, now_ms + int(document['Spec'])
            )
            self._note(task, attempt, 'start')
        if self.lost_answers:
            self.lost_answers -= 1
            raise http_server.AnswerLost
        return {'ClockMs': now_ms}

    async def _stop(self, request: http.Request) -> object:
        document = self._read(request)
        if document is None:
            return http_server.ALREADY_ANSWERED
        if not self._take_token(document):
            return self._refuse(request, 'fence')
        task, attempt = document['Task'], document['Attempt']
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            self._end(run, 'stopped')
        return {'ClockMs': self._clock_ms()}

    async def _hold(self, request: http.Request) -> object:
        document = self._read(request)
        if document is None:
            return http_server.ALREADY_ANSWERED
        if not self._take_token(document):
            return self._refuse(request, 'fence')
        seen = document['LastSeen']
        self._ended = [row for row in self._ended if row[0] > seen]
        self._lease_ms = max(self._lease_ms, document.get('DeadlineMs', 0))
        deadline_ms = self._clock_ms() + document.get('WaitMs', 0)
        while not self._ended and self._clock_ms() < deadline_ms:
            await asyncio.sleep(STEP_S)
        now_ms = self._clock_ms()
        return {
            'ClockMs': now_ms,
            'born': self.born_ms,
            'Running': [
                [
                    run.task,
                    run.attempt,
                    '',
                    100
                    * (now_ms - run.started_ms)
                    // max(run.ends_ms - run.started_ms, 1),
                    1_000,
                ]
                for run in self._runs.values()
            ],
            'EndedRuns': self._ended,
        }

    async def _pace(self, request: http.Request) -> object:
        if self._read(request) is None:
            return http_server.ALREADY_ANSWERED
        return {'ClockMs': self._clock_ms()}
