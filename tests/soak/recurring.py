"""Workflows that repeat, and many that would fill the owner's memory."""

import asyncio
from collections import abc
import pathlib
import random
import re
import time
from typing import Any, Final

from tests.soak import nodes

COUNT_RANGE: Final = (3, 6)
REPEATS: Final = (2, 5, 12)
# More would keep the executors of the smallest plan at work for longer than
# the time in which all workflows have to end.
WORK_LIMIT_MILLICORE_MS: Final = 40_000_000
PERIODS_MS: Final = (0, 150, 600)
# Some have missed occurrences when they are handed in.
STARTS_IN_MS: Final = (-3_000, 0, 1_500)
START_IN: Final = 'start_in_ms'

# None of these is due while the run goes on.
WAITING_COUNT: Final = 150
WAITING_DOCUMENT: Final = {
    'Spec': '100',
    'Phases': [{'Count': 6, 'Cpu': 100, 'MemMb': 100, 'EstimateMs': 1_000}],
    'RepeatCount': 800,
    'PeriodMs': 300_000,
}
WAITING_START_IN_MS: Final = 3_600_000
PARALLEL: Final = 4
# What the control of a VM may use.
MEMORY_LIMIT_MB: Final = 256
MEMORY_INTERVAL_S: Final = 0.2
PAGE_BYTES: Final = 4_096


def repeat(rng: random.Random, document: dict[str, Any]) -> dict[str, Any]:
    """Return a document that repeats, with the time until it is due."""
    return {
        **document,
        'RepeatCount': rng.choice(_list_possible_repeats(document)),
        'PeriodMs': rng.choice(PERIODS_MS),
        START_IN: rng.choice(STARTS_IN_MS),
    }


def _list_possible_repeats(document: dict[str, Any]) -> list[int]:
    work_ms = int(re.split('[!&]', document['Spec'])[0])
    work_millicore_ms = work_ms * sum(
        phase['Count'] * phase['Cpu'] for phase in document['Phases']
    )
    return [
        repeats
        for repeats in REPEATS
        if repeats * work_millicore_ms <= WORK_LIMIT_MILLICORE_MS
    ] or list(REPEATS[:1])


def set_due_time(document: dict[str, Any]) -> dict[str, Any]:
    """Return the document to hand in now."""
    if START_IN not in document:
        return document
    made = dict(document)
    made['StartAtMs'] = round(time.time() * 1_000) + made.pop(START_IN)
    return made


async def submit_waiting(
    submit: abc.Callable[[str, dict[str, Any]], abc.Awaitable[int]],
) -> None:
    """Hand in workflows that wait for days.

    :param submit: sends a workflow and returns the status
    """
    document = set_due_time(
        {**WAITING_DOCUMENT, START_IN: WAITING_START_IN_MS}
    )
    numbers = iter(range(WAITING_COUNT))

    async def submit_next() -> None:
        for number in numbers:
            while await submit(f'{number:016x}', document) != 200:
                await asyncio.sleep(0.3)

    await asyncio.gather(*(submit_next() for _ in range(PARALLEL)))


async def watch_memory(
    entries: abc.Sequence[nodes.Node], problems: list[str]
) -> None:
    """Record which entries use too much memory, until cancelled."""
    while True:
        await asyncio.sleep(MEMORY_INTERVAL_S)
        for entry in entries:
            if entry.process is None:
                continue
            path = pathlib.Path(f'/proc/{entry.process.pid}/statm')
            try:
                pages = int(path.read_text().split()[1])
            except (OSError, IndexError):
                # It has just ended.
                continue
            if pages * PAGE_BYTES > MEMORY_LIMIT_MB * 2**20:
                problems.append(
                    f'memory: {entry.node.name} uses over {MEMORY_LIMIT_MB} MB'
                )
