"""Stand-in of the users' executor: runs tasks for a time that the spec says.

The specification of a task is its run time in milliseconds; a ``!`` behind it
makes every run fail, and ``0`` is a task that lasts. The documents are
written out here and not taken from the adapter.
"""

import asyncio
from collections import abc
import dataclasses
import itertools
import random
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
FAILS: Final = '!'
# An order that is not answered is carried out this much later.
LATE_S: Final = (2.0, 6.0)
# Work after which a run has a new checkpoint.
CHECKPOINT_MS: Final = 200

Document = dict[str, Any]


@dataclasses.dataclass
class Run:
    """A run in progress.

    :param saved_ms: work that the checkpoint at its start stands for
    """

    task: str
    attempt: int
    started_ms: int
    ends_ms: int
    fails: bool = False
    lasts: bool = False
    saved_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Event:
    """What happened to a run, for the checks of tests.

    :param what: ``start``, how a run ended, or ``died`` with its executor
    :param life: number of the executor's life
    """

    at_ms: int
    task: str
    attempt: int
    what: str
    instance_id: str = ''
    life: int = 0
    spec: str = ''
    checkpoint: str = ''
    is_late: bool = False


@dataclasses.dataclass
class ExecutorFaults:
    """How an executor misbehaves.

    :param lost_answers: starts that are carried out but not answered
    :param late_share: share of the orders that are not answered and are
        carried out seconds later
    :param fails_all: every run that ends has failed
    """

    lost_answers: int = 0
    late_share: float = 0.0
    fails_all: bool = False


class PlatformExecutor:
    """One executor.

    :param registration_url: where the agent takes heartbeats
    :param clock_rate: speed of its clock
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        registration_url: str,
        clock_rate: float = 1.0,
        seed: int = 0,
    ) -> None:
        self.instance_id = instance_id
        self._service = service
        self._client = http_client.HttpClient(registration_url, 1)
        self._clock_rate = clock_rate
        self._random = random.Random(seed)
        self.faults = ExecutorFaults()
        self.history: list[Event] = []
        # Task and attempt of the ends that the agent lets be forgotten before
        # the lease has lapsed; after that it may not know how they ended.
        self.acknowledged: list[tuple[str, int]] = []
        self.is_down = False
        self.life = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._begin_life()

    def _begin_life(self) -> None:
        """Know and run nothing."""
        self.life += 1
        self.born_ms = time.time_ns() // 1_000_000
        self.state = 'ready'
        self._token = 0
        self._lease_ms = 0
        self._runs: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._numbers = 0
        self._sequence = 0
        self._lapsed_number = 0

    def make_site(self) -> server.Site:
        """Return the site for the agent."""
        handlers = {
            '/-/run-start': self._start,
            '/-/run-stop': self._stop,
            '/-/hold': self._hold,
            '/-/pace': self._pace,
        }
        return server.Site(
            http_server.ApiResource(
                {
                    ('POST', path): http_server.Route(self._guard(handler))
                    for path, handler in handlers.items()
                }
            )
        )

    def start(self) -> None:
        """Run tasks and send heartbeats until ``stop``."""
        for coroutine in (self._work(), self._beat()):
            self._spawn(coroutine)

    async def stop(self) -> None:
        """End everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()

    def crash(self) -> None:
        """Lose everything and answer nothing until ``restart``."""
        self.is_down = True
        for run in list(self._runs.values()):
            self._note(run.task, run.attempt, 'died')
        self._runs.clear()

    def restart(self, instance_id: str) -> None:
        """Begin a new life, under the same id or another one."""
        self.instance_id = instance_id
        self._begin_life()
        self.is_down = False

    async def leave(self) -> None:
        """Say that it leaves, and end."""
        path = f'/-/Instances.Leave/{self.instance_id}'
        try:
            await self._client.post(path, b'{}', BEAT_TIMEOUT_MS, 10_000)
        except http_client.RequestFailed:
            # It ends without an acknowledgement as well.
            pass
        self.crash()

    @property
    def running(self) -> list[str]:
        """Names of the tasks that run."""
        return list(self._runs)

    def _spawn(self, coroutine: abc.Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _guard(self, handler: http_server.Handler) -> http_server.Handler:
        """Return a handler that answers nothing while it is down."""

        async def handle(request: http.Request) -> object:
            if self.is_down:
                raise http_server.AnswerLost
            return await handler(request)

        return handle

    def _clock_ms(self) -> int:
        return round(time.monotonic_ns() * self._clock_rate) // 1_000_000

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            now_ms = self._clock_ms()
            if now_ms > self._lease_ms:
                self._lapsed_number = self._numbers
            for run in list(self._runs.values()):
                if now_ms > self._lease_ms:
                    self._end(run, 'lapsed')
                elif not run.lasts and now_ms >= run.ends_ms:
                    fails = run.fails or self.faults.fails_all
                    self._end(run, 'failed' if fails else 'done')

    async def _beat(self) -> None:
        for _ in itertools.count():
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_down:
                continue
            self._sequence += 1
            document = {
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
            if self.state == 'draining':
                document['RemainingMs'] = 2_000
            path = f'/-/Instances.Heartbeat/{self.instance_id}'
            body = msgspec.json.encode(document)
            try:
                await self._client.post(path, body, BEAT_TIMEOUT_MS, 10_000)
            except http_client.RequestFailed:
                # The agent is not up yet or just restarts.
                continue

    def _find_work_ms(self, run: Run) -> int:
        """Return the work of a run so far, in its checkpoints' units."""
        done_ms = run.saved_ms + self._clock_ms() - run.started_ms
        return done_ms - done_ms % CHECKPOINT_MS

    def _describe_checkpoint(self, run: Run) -> str:
        work_ms = self._find_work_ms(run)
        return f'{run.task}:{work_ms}' if work_ms else ''

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        self._numbers += 1
        saved = self._describe_checkpoint(run)
        self._ended.append([self._numbers, run.task, run.attempt, how, saved])
        self._note(run.task, run.attempt, how)

    def _note(
        self,
        task: str,
        attempt: int,
        what: str,
        spec: str = '',
        checkpoint: str = '',
        is_late: bool = False,
    ) -> None:
        self.history.append(
            Event(
                time.monotonic_ns() // 1_000_000,
                task,
                attempt,
                what,
                self.instance_id,
                self.life,
                spec,
                checkpoint,
                is_late,
            )
        )

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

    async def _meet_delay(
        self, apply: abc.Callable[[Document, bool], str], document: Document
    ) -> None:
        """Carry an order out late, without an answer.

        :raises AnswerLost: if the order is one that is carried out late
        """
        if self._random.random() >= self.faults.late_share:
            return
        life = self.life

        async def carry_out() -> None:
            await asyncio.sleep(self._random.uniform(*LATE_S))
            if self.life == life and not self.is_down:
                apply(document, True)

        self._spawn(carry_out())
        await asyncio.sleep(LATE_S[0])
        raise http_server.AnswerLost

    async def _start(self, request: http.Request) -> object:
        document = self._read(request)
        if document is None:
            return http_server.ALREADY_ANSWERED
        await self._meet_delay(self._apply_start, document)
        reason = self._apply_start(document, False)
        if reason:
            return self._refuse(request, reason)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise http_server.AnswerLost
        return {'ClockMs': self._clock_ms()}

    def _apply_start(self, document: Document, is_late: bool) -> str:
        """Start a run; return why not, or ''."""
        if not self._take_token(document):
            return 'fence'
        now_ms = self._clock_ms()
        if document['DeadlineMs'] <= now_ms:
            return 'late'
        self._lease_ms = max(self._lease_ms, document['DeadlineMs'])
        task, attempt = document['Task'], document['Attempt']
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            return ''
        if attempt <= self._highest.get(task, 0):
            return 'old'
        self._highest[task] = attempt
        spec, checkpoint = document['Spec'], document.get('Checkpoint', '')
        work_ms = int(spec.rstrip(FAILS))
        saved_ms = int(checkpoint.rpartition(':')[2] or 0)
        self._runs[task] = Run(
            task,
            attempt,
            now_ms,
            now_ms + max(work_ms - saved_ms, 0),
            spec.endswith(FAILS),
            not work_ms,
            saved_ms,
        )
        self._note(task, attempt, 'start', spec, checkpoint, is_late)
        return ''

    async def _stop(self, request: http.Request) -> object:
        document = self._read(request)
        if document is None:
            return http_server.ALREADY_ANSWERED
        await self._meet_delay(self._apply_stop, document)
        if self._apply_stop(document, False):
            return self._refuse(request, 'fence')
        return {'ClockMs': self._clock_ms()}

    def _apply_stop(self, document: Document, is_late: bool) -> str:
        """Stop a run; return why not, or ''."""
        if not self._take_token(document):
            return 'fence'
        task, attempt = document['Task'], document['Attempt']
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            self._end(run, 'stopped')
        return ''

    async def _hold(self, request: http.Request) -> object:
        document = self._read(request)
        if document is None:
            return http_server.ALREADY_ANSWERED
        await self._meet_delay(self._apply_hold, document)
        if self._apply_hold(document, False):
            return self._refuse(request, 'fence')
        life = self.life
        deadline_ms = self._clock_ms() + document.get('WaitMs', 0)
        while not self._ended and self._clock_ms() < deadline_ms:
            await asyncio.sleep(STEP_S)
        if self.is_down or self.life != life:
            raise http_server.AnswerLost
        return {
            'ClockMs': self._clock_ms(),
            'born': self.born_ms,
            'Running': [self._describe(run) for run in self._runs.values()],
            'EndedRuns': self._ended,
        }

    def _apply_hold(self, document: Document, is_late: bool) -> str:
        """Extend the lease and forget ends; return why not, or ''."""
        if not self._take_token(document):
            return 'fence'
        seen = document['LastSeen']
        self.acknowledged += [
            (row[1], row[2])
            for row in self._ended
            if self._lapsed_number < row[0] <= seen
        ]
        self._ended = [row for row in self._ended if row[0] > seen]
        self._lease_ms = max(self._lease_ms, document.get('DeadlineMs', 0))
        return ''

    def _describe(self, run: Run) -> list[Any]:
        percent = 100
        if not run.lasts:
            total_ms = max(run.ends_ms - run.started_ms, 1)
            percent = 100 * (self._clock_ms() - run.started_ms) // total_ms
        saved = self._describe_checkpoint(run)
        return [run.task, run.attempt, saved, min(percent, 100), 1_000]

    async def _pace(self, request: http.Request) -> object:
        if self._read(request) is None:
            return http_server.ALREADY_ANSWERED
        return {'ClockMs': self._clock_ms()}
