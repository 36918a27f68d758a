"""Evacuations of data centres, beside faults that hide them."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import random
import time
from typing import Any, Final

from borageshelf.platform import documents
from standins import memory_store
from standins import platform_executor
from tests.soak import plans

FIRST_SMALL_SEED: Final = 3_950_000
FIRST_SITE_SEED: Final = 4_900_000
SUBJECT: Final = 'evacuation'
# No start may come later than this after the key was written.
LIMIT_MS: Final = 5_000
COUNT_RANGE: Final = (2, 4)
SITE_COUNT_RANGE: Final = (4, 8)
DURATIONS_MS: Final = (1_000, 8_000, 12_000)
# Evacuations that begin later would find no more work to be placed.
BEGIN_SHARE: Final = 0.5
ABSENT_LIMITS: Final = (0, 1, 2)
# What cuts off, ends or misleads those who follow the keys.
BESIDE_SHARE: Final = 0.8
BESIDE: Final = (
    ('store', 'hang', 3_000),
    ('store', 'refuse', 3_000),
    ('store', 'lose-answers', 3_000),
    ('store', 'compact', 0),
    ('entry', 'kill', 300),
    ('entry', 'kill', 3_000),
    ('entry', 'pause', 3_000),
    ('link', 'silent', 5_000),
    ('link', 'no-answers', 5_000),
    ('link', 'silent-open', 0),
)
BESIDE_SPAN_MS: Final = (-800, 1_500)
# An order that is on its way to an executor meanwhile may reach it later.
IN_TOUCH_MS: Final = 3_000


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """An evacuation as the store has it; times of the monotonic clock."""

    zone: str
    begun_ms: int
    ended_ms: int


@dataclasses.dataclass
class Evacuations:
    """The evacuations of a run.

    :ivar zones: data centre of each executor
    """

    finished: list[Evacuation] = dataclasses.field(default_factory=list)
    zones: list[str] = dataclasses.field(default_factory=list)
    _counts: dict[str, int] = dataclasses.field(default_factory=dict)
    _begun_ms: dict[str, int] = dataclasses.field(default_factory=dict)

    async def evacuate(
        self, store: memory_store.MemoryStore, zone: str, duration_s: float
    ) -> None:
        """Evacuate a data centre, also while callers can't reach the store.

        One of several at the same time removes the key, the last one.
        """
        key = documents.EVACUATION_PREFIX + zone
        self._counts[zone] = self._counts.get(zone, 0) + 1
        if self._counts[zone] == 1:
            store._put(key, b'{', 0, '')
            store._wake_waiters()
            self._begun_ms[zone] = _read_clock_ms()
        try:
            await asyncio.sleep(duration_s)
        finally:
            self._counts[zone] -= 1
            if not self._counts[zone]:
                self.finished.append(
                    Evacuation(zone, self._begun_ms[zone], _read_clock_ms())
                )
                with contextlib.suppress(KeyError):
                    store._remove(key)
                    store._wake_waiters()


def _read_clock_ms() -> int:
    return time.monotonic_ns() // 1_000_000


def add_to_plan(plan: plans.Plan) -> plans.Plan:
    """Return the plan with evacuations and with several data centres."""
    rng = random.Random(-plan.seed)
    # Among all other faults little work is placed while it counts.
    faults = list(plan.faults) if plan.seed % 2 else []
    is_site = plan.seed >= FIRST_SITE_SEED
    last_ms = round(plan.load_ms * BEGIN_SHARE)
    for _ in range(
        rng.randint(*(SITE_COUNT_RANGE if is_site else COUNT_RANGE))
    ):
        at_ms = rng.randint(plans.FIRST_FAULT_AT_MS, last_ms)
        faults.append(
            plans.Fault(
                at_ms,
                rng.choice(DURATIONS_MS),
                SUBJECT,
                'evacuate',
                rng.randrange(100),
            )
        )
        if rng.random() < BESIDE_SHARE:
            subject, kind, duration_ms = rng.choice(BESIDE)
            faults.append(
                plans.Fault(
                    max(at_ms + rng.randint(*BESIDE_SPAN_MS), 0),
                    duration_ms,
                    subject,
                    kind,
                    rng.randrange(100),
                )
            )
    faults.sort(key=lambda fault: fault.at_ms)
    return dataclasses.replace(
        plan,
        faults=tuple(faults),
        submissions=tuple(
            _allow_absent_tasks(rng, item) if item.is_long_running else item
            for item in plan.submissions
        ),
        zones=plans.ZONES[: min(plan.targets, len(plans.ZONES))],
    )


def _allow_absent_tasks(
    rng: random.Random, item: plans.Submission
) -> plans.Submission:
    limit = rng.choice(ABSENT_LIMITS)
    phases = [
        {**phase, 'MissAllowed': limit} for phase in item.document['Phases']
    ]
    document: dict[str, Any] = {**item.document, 'Phases': phases}
    return dataclasses.replace(item, document=document)


def check_starts(
    plan: plans.Plan,
    run: Evacuations,
    instances: abc.Sequence[frozenset[str]],
    events: abc.Sequence[platform_executor.Event],
    started_ms: int,
) -> abc.Iterator[str]:
    """Yield a line for each start in a data centre that is evacuated.

    :param instances: instance ids of each executor
    """
    numbers = {
        instance_id: number
        for number, ids in enumerate(instances)
        for instance_id in ids
    }
    for item in run.finished:
        for event in events:
            if event.what != 'start' or event.is_late:
                continue
            number = numbers[event.instance_id]
            if (
                item.zone == run.zones[number]
                and item.begun_ms + LIMIT_MS < event.at_ms <= item.ended_ms
                and _is_in_touch(plan, number, event.at_ms - started_ms)
            ):
                yield (
                    f'evacuation: {event.task} starts on {event.instance_id}'
                    f' {event.at_ms - item.begun_ms} ms after {item.zone}'
                    ' was evacuated'
                )


def _is_in_touch(plan: plans.Plan, number: int, at_ms: int) -> bool:
    """Tell whether nothing kept an order back between agent and executor."""
    return not any(
        fault.at_ms <= at_ms <= fault.end_ms + IN_TOUCH_MS
        and _holds_orders_back(plan, fault, number)
        for fault in plan.faults
    )


def _holds_orders_back(
    plan: plans.Plan, fault: plans.Fault, number: int
) -> bool:
    if fault.subject == 'link':
        # After the proxies of the entries, each executor has the first one of
        # two.
        count = 2 * (plan.entries + plan.targets)
        return fault.index % count == 2 * (plan.entries + number)
    is_hit = fault.index % plan.targets == number
    return is_hit and (fault.subject, fault.kind) in (
        ('vm', 'suspend'),
        ('vm', 'suspend-agent-longer'),
        ('vm', 'cut-executor'),
        ('vm', 'lose-power'),
        ('agent', 'pause'),
    )
