"""Discrete-event model for the measurement of the decisions on calls.

Models open-loop arrivals, executors with slots, network latency and delayed
reports. Entries decide with ``CallPool``, the code of the product, under a
simulated clock. The model does not simulate a whole cluster.
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
# One-way latencies within a data centre and between two, as stated for Ocre in
# the design document.
LOCAL_LATENCY_MS: Final = 0.2
REMOTE_LATENCY_MS: Final = 1.5


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of calls that arrive.

    :param load: arrivals as a share of the fleet's capacity
    """

    name: str
    load: float
    urgency: int = 5
    team: str = 'team'


@dataclasses.dataclass(frozen=True)
class Scenario:
    """One measured case.

    :param warm_up_ms: initial period whose calls are not counted
    :param slow_executors: executors, from the first, whose calls take
        ``slow_factor`` times as long
    :param failing_executors: executors that fail each call after 1 ms
    :param leaving_executors: executors that leave in the middle of the run
    :param entry_count: number of entries, of three, that receive calls
    """

    kinds: tuple[Kind, ...]
    duration_ms: float = 20_000.0
    warm_up_ms: float = 4_000.0
    slow_executors: int = 0
    slow_factor: float = 5.0
    failing_executors: int = 0
    leaving_executors: int = 0
    entry_count: int = len(DATA_CENTRES)
    kind_shares: tuple[tuple[str, float], ...] = ()
    team_shares: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One call of the open-loop load, identical for all versions."""

    number: int
    at_ms: float
    kind: Kind
    service_ms: float
    idempotent: bool
    entry: int

    @property
    def deadline_ms(self) -> float:
        """Return the time after which the caller does not use an answer."""
        return self.at_ms + DEADLINE_MS


class Events:
    """Event queue of the simulated clock."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def schedule_at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        entry = (time_ms, next(self._numbers), action)
        heapq.heappush(self._heap, entry)

    def schedule_after(
        self, delay_ms: float, action: Callable[[], None]
    ) -> None:
        """Schedule an action after a delay."""
        self.schedule_at(self.now_ms + delay_ms, action)

    def run(self, end_ms: float) -> None:
        """Run the events in order of their time, up to a time."""
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
                    entry=rng.randrange(scenario.entry_count),
                )
            )
            at_ms += rng.expovariate(per_ms)
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return [
        dataclasses.replace(arrival, number=number)
        for number, arrival in enumerate(arrivals)
    ]


@dataclasses.dataclass
class Attempt:
    """One attempt of a call on an executor."""

    arrival: Arrival
    on_end: Callable[['Attempt', str], None]
    is_started: bool = False
    is_ended: bool = False
    started_at_ms: float = 0.0
    service_ms: float = 0.0


class ExecutorModel:
    """An executor with its agent: slots, bounded queue, deadline check.

    :param service_time_factor: factor on the service times of calls that start
        after ``fault_at_ms``
    :param is_failing: whether calls that start after ``fault_at_ms`` fail
    :param has_overload_control: False for the naive version, whose queue is
        first in, first out, without a bound or deadline checks
    """

    def __init__(
        self,
        events: Events,
        number: int,
        service_time_factor: float,
        is_failing: bool,
        has_overload_control: bool,
        fault_at_ms: float,
    ) -> None:
        self.target_id = f'target-{number}'
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.leaving = False
        self.refused_while_leaving = 0
        self._events = events
        self._service_time_factor = service_time_factor
        self._is_failing = is_failing
        self._fault_at_ms = fault_at_ms
        self._has_overload_control = has_overload_control
        self._queue: collections.deque[Attempt] = collections.deque()
        self._running = 0

    @property
    def held_calls(self) -> int:
        """Return the number of queued and running calls."""
        return len(self._queue) + self._running

    def receive(self, attempt: Attempt) -> None:
        """Queue or refuse an attempt."""
        if self._has_overload_control and self.leaving:
            self.refused_while_leaving += 1
            self._end(attempt, 'leaving')
            return
        if self.leaving:
            # The naive version does not detect that the target has left.
            return
        if self._has_overload_control and self.held_calls >= 60:
            self._end(attempt, 'refused')
            return
        self._queue.append(attempt)
        if self._has_overload_control:
            self._queue = collections.deque(
                sorted(self._queue, key=_make_sort_key)
            )
        self._start()

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose answer nobody waits for.

        A running attempt is stopped only if its call is idempotent.
        """
        if attempt.is_ended:
            return
        if attempt in self._queue:
            self._queue.remove(attempt)
            self._end(attempt, 'cancelled')
        elif attempt.arrival.idempotent:
            self._finish(attempt, 'stopped')

    def _start(self) -> None:
        while self._queue and self._running < SLOTS:
            attempt = self._queue.popleft()
            now_ms = self._events.now_ms
            if (
                self._has_overload_control
                and now_ms >= attempt.arrival.deadline_ms
            ):
                self._end(attempt, 'refused')
                continue
            self._running += 1
            attempt.is_started = True
            attempt.started_at_ms = now_ms
            duration_ms, ending = attempt.arrival.service_ms, 'done'
            if now_ms >= self._fault_at_ms:
                duration_ms *= self._service_time_factor
                if self._is_failing:
                    duration_ms, ending = 1.0, 'failed'
            finish = functools.partial(self._finish, attempt, ending)
            self._events.schedule_after(duration_ms, finish)

    def _finish(self, attempt: Attempt, ending: str) -> None:
        if attempt.is_ended:
            return
        self._running -= 1
        attempt.service_ms = self._events.now_ms - attempt.started_at_ms
        self._end(attempt, ending)
        self._start()

    def _end(self, attempt: Attempt, ending: str) -> None:
        attempt.is_ended = True
        attempt.on_end(attempt, ending)


def _make_sort_key(attempt: Attempt) -> tuple[int, float]:
    return (-attempt.arrival.kind.urgency, attempt.arrival.deadline_ms)


@dataclasses.dataclass
class Tally:
    """Results of one run of one version."""

    latencies_ms: dict[str, list[float]] = dataclasses.field(
        default_factory=dict
    )
    in_time: dict[str, int] = dataclasses.field(default_factory=dict)
    arrived: int = 0
    refused: int = 0
    late: int = 0
    failed: int = 0
    retries: int = 0
    hedges: int = 0

    def record(self, arrival: Arrival, ended_at_ms: float) -> None:
        """Count an answer as in time or, after the deadline, as late."""
        latency_ms = ended_at_ms - arrival.at_ms
        name = arrival.kind.name
        self.latencies_ms.setdefault(name, []).append(latency_ms)
        if latency_ms > DEADLINE_MS:
            self.late += 1
            return
        self.in_time[name] = self.in_time.get(name, 0) + 1


def make_executors(
    events: Events, scenario: Scenario, has_overload_control: bool
) -> list[ExecutorModel]:
    """Return the executors of a scenario."""
    # Faults begin after the warm-up, so that their detection is measured too.
    fault_at_ms = scenario.warm_up_ms + FAULT_DELAY_MS
    executors = []
    for number in range(EXECUTORS):
        service_time_factor = (
            scenario.slow_factor if number < scenario.slow_executors else 1.0
        )
        is_failing = number < scenario.failing_executors
        executors.append(
            ExecutorModel(
                events,
                number,
                service_time_factor,
                is_failing,
                has_overload_control,
                fault_at_ms,
            )
        )
    return executors
