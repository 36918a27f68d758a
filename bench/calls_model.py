"""Discrete events for the measurement of call decisions.

A model of open-loop arrivals, entries that decide with ``CallPool``,
executors with slots, network delays and lagging reports. It runs the real
decision code under a simulated clock; it is no simulator of the cluster.
"""

import collections
from collections.abc import Callable
import dataclasses
import functools
import heapq
import itertools
import random
from typing import Final

EXECUTORS: Final = 10
SLOTS: Final = 8
MEAN_SERVICE_MS: Final = 50.0
CAPACITY_PER_S: Final = EXECUTORS * SLOTS * 1000 / MEAN_SERVICE_MS
DEADLINE_MS: Final = 1_000
FAULT_DELAY_MS: Final = 2_000.0
DATA_CENTRES: Final = ('north', 'south', 'west')
# One-way latency inside a data centre and between two, from the sizes of
# Ocre in the design page.
LOCAL_MS: Final = 0.2
REMOTE_MS: Final = 1.5


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of arriving work.

    :param load: arrivals as a share of the fleet's capacity
    """

    name: str
    load: float
    urgency: int = 5
    team: str = 'team'


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One measured case.

    :param slow: executors (from the first) that take ``slow_factor`` longer
    :param failing: executors that fail each call in 1 ms
    :param leaving: executors that leave in the middle of the run
    :param entries: entries that receive calls, of three
    """

    kinds: tuple[Kind, ...]
    duration_ms: float = 20_000.0
    warm_ms: float = 4_000.0
    slow: int = 0
    slow_factor: float = 5.0
    failing: int = 0
    leaving: int = 0
    entries: int = len(DATA_CENTRES)
    kind_shares: tuple[tuple[str, float], ...] = ()
    team_shares: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One call of the open-loop load; the same for all versions."""

    number: int
    at_ms: float
    kind: Kind
    service_ms: float
    idempotent: bool
    entry: int

    @property
    def deadline_ms(self) -> float:
        """Return the time after which the answer has no value."""
        return self.at_ms + DEADLINE_MS


class Events:
    """A queue of events in simulated time."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        entry = (time_ms, next(self._numbers), action)
        heapq.heappush(self._heap, entry)

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now_ms + delay_ms, action)

    def run(self, end_ms: float) -> None:
        """Run all events up to a time."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()


def make_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Draw Poisson arrivals with exponential service times."""
    rng = random.Random(seed)
    arrivals = []
    for kind in scenario.kinds:
        per_ms = kind.load * CAPACITY_PER_S / 1000
        at_ms = rng.expovariate(per_ms)
        while at_ms < scenario.duration_ms:
            arrivals.append(
                Arrival(
                    number=0,
                    at_ms=at_ms,
                    kind=kind,
                    service_ms=rng.expovariate(1 / MEAN_SERVICE_MS),
                    idempotent=rng.random() < 0.5,
                    entry=rng.randrange(scenario.entries),
                )
            )
            at_ms += rng.expovariate(per_ms)
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return [
        dataclasses.replace(arrival, number=number)
        for number, arrival in enumerate(arrivals)
    ]


@dataclasses.dataclass
class Job:
    """One try of a call as an executor sees it."""

    arrival: Arrival
    on_end: Callable[['Job', str], None]
    is_started: bool = False
    is_ended: bool = False
    started_at_ms: float = 0.0
    service_ms: float = 0.0


class ExecutorModel:
    """An executor with its agent: slots, bounded queue, deadline check.

    :param bounded: False for the naive version: queue in order of arrival
        without bound or deadline check
    """

    def __init__(
        self,
        events: Events,
        number: int,
        factor: float,
        failing: bool,
        bounded: bool,
        fault_at_ms: float,
    ) -> None:
        self.target_id = f'target-{number}'
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.leaving = False
        self.refused_leaving = 0
        self._events = events
        self._factor = factor
        self._failing = failing
        self._fault_at_ms = fault_at_ms
        self._bounded = bounded
        self._queue: collections.deque[Job] = collections.deque()
        self._running = 0

    @property
    def held(self) -> int:
        """Return the calls queued and running."""
        return len(self._queue) + self._running

    def receive(self, job: Job) -> None:
        """Take a job or refuse it."""
        if self._bounded and self.leaving:
            self.refused_leaving += 1
            self._end(job, 'leaving')
            return
        if self.leaving:
            # The naive version does not notice that the target has gone.
            return
        if self._bounded and self.held >= 60:
            self._end(job, 'refused')
            return
        self._queue.append(job)
        if self._bounded:
            self._queue = collections.deque(sorted(self._queue, key=_rank))
        self._start()

    def cancel(self, job: Job) -> None:
        """Stop a job that nobody waits for; only idempotent ones run."""
        if job.is_ended:
            return
        if job in self._queue:
            self._queue.remove(job)
            self._end(job, 'cancelled')
        elif job.arrival.idempotent:
            self._finish(job, 'stopped')

    def _start(self) -> None:
        while self._queue and self._running < SLOTS:
            job = self._queue.popleft()
            now_ms = self._events.now_ms
            if self._bounded and now_ms >= job.arrival.deadline_ms:
                self._end(job, 'refused')
                continue
            self._running += 1
            job.is_started = True
            job.started_at_ms = now_ms
            duration_ms, ending = job.arrival.service_ms, 'done'
            if now_ms >= self._fault_at_ms:
                duration_ms *= self._factor
                if self._failing:
                    duration_ms, ending = 1.0, 'failed'
            finish = functools.partial(self._finish, job, ending)
            self._events.after(duration_ms, finish)

    def _finish(self, job: Job, ending: str) -> None:
        if job.is_ended:
            return
        self._running -= 1
        job.service_ms = self._events.now_ms - job.started_at_ms
        self._end(job, ending)
        self._start()

    def _end(self, job: Job, ending: str) -> None:
        job.is_ended = True
        job.on_end(job, ending)


def _rank(job: Job) -> tuple[int, float]:
    return (-job.arrival.kind.urgency, job.arrival.deadline_ms)


@dataclasses.dataclass
class Tally:
    """What one run of one version gave."""

    latencies_ms: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    good: dict[str, int] = dataclasses.field(default_factory=dict)
    arrived: int = 0
    refused: int = 0
    late: int = 0
    failed: int = 0
    retries: int = 0
    hedges: int = 0

    def record(self, arrival: Arrival, ended_at_ms: float) -> None:
        """Count an answer; only those before the deadline are good."""
        latency_ms = ended_at_ms - arrival.at_ms
        name = arrival.kind.name
        self.latencies_ms.setdefault(name, []).append(latency_ms)
        if latency_ms > DEADLINE_MS:
            self.late += 1
            return
        self.good[name] = self.good.get(name, 0) + 1


def make_executors(
    events: Events, scenario: Scenario, bounded: bool
) -> list[ExecutorModel]:
    """Return the fleet of a scenario."""
    # Faults begin inside the measured time, so that their detection counts.
    fault_at_ms = scenario.warm_ms + FAULT_DELAY_MS
    fleet = []
    for number in range(EXECUTORS):
        factor = scenario.slow_factor if number < scenario.slow else 1.0
        failing = number < scenario.failing
        fleet.append(
            ExecutorModel(
                events, number, factor, failing, bounded, fault_at_ms
            )
        )
    return fleet
