"""Stand-in of the users' executor that simulates the runs of tasks.

The specification of a task is its run time in milliseconds. A ``!`` behind
it makes every run fail, a ``#`` makes every run crash the executor, and ``0``
stands for a task that runs until it is stopped; for ``&`` see ``gangs``. The
documents are written out here and not taken from the adapter, so that a
mistake in the adapter is not repeated here.
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
from standins import gangs
from standins import http_server

HEARTBEAT_INTERVAL_S: Final = 0.3
POLL_INTERVAL_S: Final = 0.01
HEARTBEAT_TIMEOUT_MS: Final = 1_000
FAILURE_SUFFIX: Final = '!'
CRASH_SUFFIX: Final = '#'
# Time after which an executor that a task has crashed is back.
CRASH_RESTART_S: Final = 1.5
DEFAULT_CAPACITY_MILLICORES: Final = 8_000
LEASE_LIMIT_MS: Final = 6_000
# Delay after which an order that is not answered takes effect.
LATE_DELAY_RANGE_S: Final = (2.0, 6.0)
# Run time between two checkpoints of a run.
CHECKPOINT_INTERVAL_MS: Final = 200

Document = dict[str, Any]


@dataclasses.dataclass
class Run:
    """A run in progress.

    :param saved_ms: run time that the checkpoint at its start covers
    :param will_crash: whether the executor crashes at its end
    :param gang_size: number of members of its gang; 0 if it is in none
    """

    task: str
    attempt: int
    start_ms: int
    end_ms: int
    will_fail: bool = False
    will_crash: bool = False
    is_long_running: bool = False
    saved_ms: int = 0
    gang_size: int = 0
    has_joined: bool = False


@dataclasses.dataclass(frozen=True)
class Event:
    """The start or the end of a run, for the checks of tests.

    :param what: ``start``, the outcome of the run, ``died`` if the executor
        crashed, or ``crashed`` if the run made it crash
    :param life: number of starts of the executor so far
    :param is_late: whether the order took effect late, without an answer
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


@dataclasses.dataclass(frozen=True)
class CapacityChange:
    """A capacity that the executor has announced since a time."""

    at_ms: int
    millicores: int


@dataclasses.dataclass
class ExecutorFaults:
    """The faults of an executor.

    :param lost_answers: number of next starts that take effect but are not
        answered
    :param late_share: share of the orders that are not answered and take
        effect seconds later
    :param fails_all: whether every run that completes fails
    """

    lost_answers: int = 0
    late_share: float = 0.0
    fails_all: bool = False


class PlatformExecutor:
    """The stand-in of one executor.

    :param registration_url: URL at which the agent takes heartbeats
    :param clock_rate: rate of its clock relative to the machine's clock
    :param zone: zone that it announces
    :param known_gangs: shared by the executors on which members may run
    :ivar checks_fence: whether it refuses lower tokens than it has seen
    :ivar life: number of starts so far
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        registration_url: str,
        clock_rate: float = 1.0,
        seed: int = 0,
        zone: str = 'tajo-norte',
        known_gangs: gangs.Gangs | None = None,
    ) -> None:
        self.instance_id = instance_id
        self._gangs = known_gangs or gangs.Gangs()
        self._zone = zone
        self._service = service
        self._agent_client = http_client.HttpClient(registration_url, 1)
        self._clock_rate = clock_rate
        self._random = random.Random(seed)
        self.faults = ExecutorFaults()
        self.history: list[Event] = []
        self.capacity_history = [
            CapacityChange(0, DEFAULT_CAPACITY_MILLICORES)
        ]
        # Task and attempt of the ends that the agent acknowledged, without
        # those before a lapse of the lease: the agent may not know their
        # outcome.
        self.acknowledged: list[tuple[str, int]] = []
        self.checks_fence = True
        self.is_down = False
        self.life = 0
        # Set unless its VM is suspended; its clock stands still meanwhile.
        self._awake = asyncio.Event()
        self._awake.set()
        self._suspension_count = 0
        self._suspended_at_ns = 0
        self._stood_still_ns = 0
        self._clock_origin_ns = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._reset_state()

    def _reset_state(self) -> None:
        """Begin a new life that knows and runs no task."""
        self.life += 1
        self._started_at_ms = time.time_ns() // 1_000_000
        self._clock_origin_ns += self._read_clock_ns()
        self.state = 'ready'
        self._token = 0
        self._lease_deadline_ms = 0
        self._runs: dict[str, Run] = {}
        self._highest_attempts: dict[str, int] = {}
        self._ended_runs: list[list[Any]] = []
        self._last_end_number = 0
        self._heartbeat_number = 0
        self._lapsed_end_number = 0

    def make_site(self) -> server.Site:
        """Return the HTTP site for the agent."""
        handlers = {
            '/-/run-start': self._start_task,
            '/-/run-stop': self._stop_task,
            '/-/hold': self._renew_hold,
            '/-/pace': self._set_pace,
        }
        return server.Site(
            http_server.ApiResource(
                {
                    ('POST', path): http_server.Route(
                        self._wrap_handler(handler)
                    )
                    for path, handler in handlers.items()
                }
            )
        )

    def start(self) -> None:
        """Run tasks and send heartbeats until ``stop``."""
        for coroutine in (self._run_tasks(), self._send_heartbeats()):
            self._spawn(coroutine)

    async def stop(self) -> None:
        """Cancel the background tasks and close the connection."""
        # Lets the handlers end that wait while the VM is suspended.
        self._awake.set()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._agent_client.close()

    @property
    def is_suspended(self) -> bool:
        """Whether its VM is suspended."""
        return not self._awake.is_set()

    def suspend(self) -> None:
        """Stand still with the VM, and with the clock.

        It lasts until as many calls of ``resume``.
        """
        self._suspension_count += 1
        if self._suspension_count == 1:
            self._suspended_at_ns = time.monotonic_ns()
            self._awake.clear()

    def resume(self) -> None:
        """Go on; the clock goes on where it stood."""
        self._suspension_count -= 1
        if not self._suspension_count:
            self._stood_still_ns += time.monotonic_ns() - self._suspended_at_ns
            self._awake.set()

    @property
    def suspended_ms(self) -> int:
        """Time for which its VM has been suspended so far."""
        return self._stood_still_ns // 1_000_000

    def crash(self) -> None:
        """Lose all state and answer nothing until ``restart``."""
        self.is_down = True
        for run in list(self._runs.values()):
            self._record_event(run.task, run.attempt, 'died')
            if run.gang_size:
                self._gangs.leave(run.task, run.attempt, 'died')
        self._runs.clear()

    async def _restart_after_crash(self) -> None:
        """Start again without state after a while."""
        life = self.life
        await asyncio.sleep(CRASH_RESTART_S)
        if self.is_down and self.life == life:
            self.restart(self.instance_id)

    def set_capacity(self, millicores: int) -> None:
        """Announce another capacity from now on."""
        self.capacity_history.append(
            CapacityChange(time.monotonic_ns() // 1_000_000, millicores)
        )

    def restart(self, instance_id: str) -> None:
        """Start again without state, under the same or a new instance id."""
        if not self.is_down:
            self.crash()
        self.instance_id = instance_id
        self._reset_state()
        self.is_down = False

    async def leave(self) -> None:
        """Announce to the agent that it leaves, and end.

        One that has crashed announces nothing.
        """
        if self.is_down:
            return
        path = f'/-/Instances.Leave/{self.instance_id}'
        try:
            await self._agent_client.post(
                path, b'{}', HEARTBEAT_TIMEOUT_MS, 10_000
            )
        except http_client.RequestFailed:
            # The executor also ends if the agent does not acknowledge it.
            pass
        self.crash()

    @property
    def running(self) -> list[str]:
        """Names of the running tasks."""
        return list(self._runs)

    def _spawn(self, coroutine: abc.Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _wrap_handler(
        self, handler: http_server.Handler
    ) -> http_server.Handler:
        """Return a handler that gives no answer while the executor is down."""

        async def handle(request: http.Request) -> object:
            await self._awake.wait()
            if self.is_down:
                raise http_server.AnswerLost
            return await handler(request)

        return handle

    def _read_clock_ns(self) -> int:
        now_ns = time.monotonic_ns()
        if self.is_suspended:
            now_ns = self._suspended_at_ns
        return now_ns - self._stood_still_ns - self._clock_origin_ns

    def _read_clock_ms(self) -> int:
        """Return the steady clock, which begins anew with each life."""
        return round(self._read_clock_ns() * self._clock_rate) // 1_000_000

    def _extend_lease(self, deadline_ms: int) -> None:
        limit_ms = self._read_clock_ms() + LEASE_LIMIT_MS
        self._lease_deadline_ms = max(
            self._lease_deadline_ms, min(deadline_ms, limit_ms)
        )

    async def _run_tasks(self) -> None:
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self._awake.wait()
            now_ms = self._read_clock_ms()
            if now_ms > self._lease_deadline_ms:
                self._lapsed_end_number = self._last_end_number
            # Members of a gang that fail on one executor fail together.
            outcomes = [
                (run, self._find_gang_outcome(run, now_ms))
                for run in self._runs.values()
                if run.gang_size
            ]
            for run, outcome in outcomes:
                if outcome and now_ms <= self._lease_deadline_ms:
                    self._end_run(run, outcome)
            for run in list(self._runs.values()):
                if now_ms > self._lease_deadline_ms:
                    self._end_run(run, 'lapsed')
                elif run.will_crash and now_ms >= run.end_ms:
                    del self._runs[run.task]
                    self._record_event(run.task, run.attempt, 'crashed')
                    # At once, so that no answer in between lists the other
                    # runs without the one that crashes the executor.
                    self.crash()
                    self._spawn(self._restart_after_crash())
                    break
                elif (
                    not (run.is_long_running or run.gang_size)
                    and now_ms >= run.end_ms
                ):
                    fails = run.will_fail or self.faults.fails_all
                    self._end_run(run, 'failed' if fails else 'done')

    def _find_gang_outcome(self, run: Run, now_ms: int) -> str:
        """Return how the run of a member of a gang ends now, '' if not."""
        end = self._gangs.find_end(run.task, run.attempt)
        if end == 'done':
            return end
        if not run.has_joined and self._gangs.is_complete(
            run.task, run.attempt
        ):
            run.has_joined = True
            work_ms = run.end_ms - run.start_ms
            run.start_ms, run.end_ms = now_ms, now_ms + work_ms
        if run.has_joined and now_ms >= run.end_ms:
            fails = run.will_fail or self.faults.fails_all
            return 'failed' if fails else 'done'
        waited_ms = now_ms - run.start_ms
        if not (end or run.has_joined) and waited_ms > gangs.WAIT_LIMIT_MS:
            return 'alone'
        return end

    async def _send_heartbeats(self) -> None:
        for _ in itertools.count():
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            await self._awake.wait()
            if self.is_down:
                continue
            self._heartbeat_number += 1
            document = {
                'Service': self._service,
                'Address': '127.0.0.1:1',
                'Zone': self._zone,
                'Version': 'v1',
                'Slots': 8,
                'State': self.state,
                'ColdLeftMs': 0,
                'Capacity': {
                    'Cpu': self.capacity_history[-1].millicores,
                    'MemMb': 8000,
                    'Gpu': 0,
                },
                'Labels': ['a', 'r1-1'],
                'ClockMs': self._read_clock_ms(),
                'SeqNo': self._heartbeat_number,
                'born': self._started_at_ms,
            }
            if self.state == 'draining':
                document['RemainingMs'] = 2_000
            path = f'/-/Instances.Heartbeat/{self.instance_id}'
            body = msgspec.json.encode(document)
            try:
                await self._agent_client.post(
                    path, body, HEARTBEAT_TIMEOUT_MS, 10_000
                )
            except http_client.RequestFailed:
                # The agent has not started yet or is restarting.
                continue

    def _find_saved_work_ms(self, run: Run) -> int:
        """Return the run time that the latest checkpoint of a run covers."""
        done_ms = run.saved_ms + self._read_clock_ms() - run.start_ms
        return done_ms - done_ms % CHECKPOINT_INTERVAL_MS

    def _describe_checkpoint(self, run: Run) -> str:
        work_ms = self._find_saved_work_ms(run)
        owner = run.task
        if run.gang_size:
            owner = gangs.find_gang(run.task)
            if not run.has_joined:
                work_ms = run.saved_ms
        return f'{owner}:{work_ms}' if work_ms else ''

    def _end_run(self, run: Run, outcome: str) -> None:
        del self._runs[run.task]
        self._last_end_number += 1
        saved = self._describe_checkpoint(run)
        self._ended_runs.append(
            [self._last_end_number, run.task, run.attempt, outcome, saved]
        )
        self._record_event(run.task, run.attempt, outcome)
        if run.gang_size:
            self._gangs.leave(run.task, run.attempt, outcome)

    def _record_event(
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
            request, 409, {'ClockMs': self._read_clock_ms(), 'Reason': reason}
        )
        return http_server.ALREADY_ANSWERED

    def _read_document(self, request: http.Request) -> Document | None:
        """Return the body, or None if the request names another instance."""
        target_instance = request.getHeader('target-instance')
        if target_instance is not None and target_instance != self.instance_id:
            http_server.answer_document(request, 421, {})
            return None
        return http_server.read_document(request, Document)

    def _accept_token(self, document: Document) -> bool:
        token = document.get('FencingToken', 0)
        if token < self._token and self.checks_fence:
            return False
        self._token = token
        return True

    async def _apply_late(
        self, apply: abc.Callable[[Document, bool], str], document: Document
    ) -> None:
        """Apply a random share of the orders late and without an answer.

        Returns at once for the other orders, which the caller applies.

        :raises AnswerLost: if the order is applied late
        """
        if self._random.random() >= self.faults.late_share:
            return
        life = self.life

        async def wait_and_apply() -> None:
            await asyncio.sleep(self._random.uniform(*LATE_DELAY_RANGE_S))
            await self._awake.wait()
            if self.life == life and not self.is_down:
                apply(document, True)

        self._spawn(wait_and_apply())
        await asyncio.sleep(LATE_DELAY_RANGE_S[0])
        raise http_server.AnswerLost

    async def _start_task(self, request: http.Request) -> object:
        document = self._read_document(request)
        if document is None:
            return http_server.ALREADY_ANSWERED
        await self._apply_late(self._apply_start, document)
        reason = self._apply_start(document, False)
        if reason:
            return self._refuse(request, reason)
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise http_server.AnswerLost
        return {'ClockMs': self._read_clock_ms()}

    def _apply_start(self, document: Document, is_late: bool) -> str:
        """Start a run; return the reason of a refusal, or ''."""
        if not self._accept_token(document):
            return 'fence'
        now_ms = self._read_clock_ms()
        if document['DeadlineMs'] <= now_ms:
            return 'late'
        self._extend_lease(document['DeadlineMs'])
        task, attempt = document['Task'], document['Attempt']
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            return ''
        if attempt <= self._highest_attempts.get(task, 0):
            return 'old'
        self._highest_attempts[task] = attempt
        spec, checkpoint = document['Spec'], document.get('Checkpoint', '')
        rest, gang_size = gangs.parse_size(spec.rstrip(FAILURE_SUFFIX))
        work_ms = int(rest.rstrip(CRASH_SUFFIX))
        saved_ms = int(checkpoint.rpartition(':')[2] or 0)
        self._runs[task] = Run(
            task,
            attempt,
            now_ms,
            now_ms + max(work_ms - saved_ms, 0),
            spec.endswith(FAILURE_SUFFIX),
            spec.endswith(CRASH_SUFFIX),
            not work_ms,
            saved_ms,
            gang_size,
        )
        if gang_size:
            self._gangs.join(task, attempt, gang_size, checkpoint)
        self._record_event(task, attempt, 'start', spec, checkpoint, is_late)
        return ''

    async def _stop_task(self, request: http.Request) -> object:
        document = self._read_document(request)
        if document is None:
            return http_server.ALREADY_ANSWERED
        await self._apply_late(self._apply_stop, document)
        if self._apply_stop(document, False):
            return self._refuse(request, 'fence')
        return {'ClockMs': self._read_clock_ms()}

    def _apply_stop(self, document: Document, is_late: bool) -> str:
        """Stop a run; return the reason of a refusal, or ''."""
        if not self._accept_token(document):
            return 'fence'
        task, attempt = document['Task'], document['Attempt']
        self._highest_attempts[task] = max(
            self._highest_attempts.get(task, 0), attempt
        )
        run = self._runs.get(task)
        if run is not None and run.attempt == attempt:
            self._end_run(run, 'stopped')
        return ''

    async def _renew_hold(self, request: http.Request) -> object:
        document = self._read_document(request)
        if document is None:
            return http_server.ALREADY_ANSWERED
        await self._apply_late(self._apply_hold, document)
        if self._apply_hold(document, False):
            return self._refuse(request, 'fence')
        life = self.life
        deadline_ms = self._read_clock_ms() + document.get('WaitMs', 0)
        while not self._ended_runs and self._read_clock_ms() < deadline_ms:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.is_down or self.life != life:
                # A crash breaks the connection.
                break
        await self._awake.wait()
        if self.is_down or self.life != life:
            raise http_server.AnswerLost
        return {
            'ClockMs': self._read_clock_ms(),
            'born': self._started_at_ms,
            'Running': [
                self._describe_run(run) for run in self._runs.values()
            ],
            'EndedRuns': self._ended_runs,
        }

    def _apply_hold(self, document: Document, is_late: bool) -> str:
        """Extend the lease and forget acknowledged ends.

        Returns the reason of a refusal, or ''.
        """
        if not self._accept_token(document):
            return 'fence'
        last_seen_number = document['LastSeen']
        self.acknowledged += [
            (row[1], row[2])
            for row in self._ended_runs
            if self._lapsed_end_number < row[0] <= last_seen_number
        ]
        self._ended_runs = [
            row for row in self._ended_runs if row[0] > last_seen_number
        ]
        self._extend_lease(document.get('DeadlineMs', 0))
        return ''

    def _describe_run(self, run: Run) -> list[Any]:
        percent = 100
        if not run.is_long_running:
            total_ms = max(run.end_ms - run.start_ms, 1)
            percent = 100 * (self._read_clock_ms() - run.start_ms) // total_ms
        saved = self._describe_checkpoint(run)
        return [run.task, run.attempt, saved, min(percent, 100), 1_000]

    async def _set_pace(self, request: http.Request) -> object:
        if self._read_document(request) is None:
            return http_server.ALREADY_ANSWERED
        return {'ClockMs': self._read_clock_ms()}
