"""Memory of an owner and time of a takeover by number of workflows.

``python -m bench.owner_memory`` stores workflows in the in-memory store, and
for each row a process of its own loads them as a new owner does. None of them
is due. Memory is what the process takes beyond an owner without workflows.
Times and memory depend on the machine.
"""

import asyncio
import concurrent.futures
import dataclasses
import multiprocessing
import pathlib
import time
from typing import Final

from borageshelf import clock
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.workflows import journal
from borageshelf.workflows import owner
from borageshelf.workflows import records
from borageshelf.workflows import silence
from standins import memory_store

WORKFLOW_COUNTS: Final = (1_000, 10_000)
OCCURRENCE_COUNTS: Final = (1, 800)
TASKS: Final = 6
PERIOD_MS: Final = 300_000
PASSES: Final = 20
PAGE_BYTES: Final = 4_096
HEAD: Final = records.OwnerRecord(1, 'entry-0', 'boot', '127.0.0.1:1')
LIMITS: Final = silence.Limits(5_000, 5_000)


@dataclasses.dataclass(frozen=True)
class Figures:
    """Figures of one takeover."""

    load_ms: float
    memory_mb: float
    pass_ms: float


def main() -> None:
    """Print one row for each number of workflows and occurrences."""
    print('workflows | occurrences | load ms | memory MB | pass ms')
    context = multiprocessing.get_context('spawn')
    for workflow_count in WORKFLOW_COUNTS:
        for occurrence_count in OCCURRENCE_COUNTS:
            with concurrent.futures.ProcessPoolExecutor(1, context) as pool:
                found = pool.submit(
                    measure, workflow_count, occurrence_count
                ).result()
            print(
                f'{workflow_count} | {occurrence_count} | {found.load_ms:.0f}'
                f' | {found.memory_mb:.1f} | {found.pass_ms:.1f}'
            )


def measure(workflow_count: int, occurrence_count: int) -> Figures:
    """Take over workflows that have completed half of their occurrences."""
    return asyncio.run(_measure(workflow_count, occurrence_count))


async def _measure(workflow_count: int, occurrence_count: int) -> Figures:
    store = memory_store.MemoryStore(seed=1)
    state = records.StateRecord()
    if occurrence_count > 1:
        last = occurrence_count // 2 - 1
        state = records.StateRecord(complete_occurrences=((0, last),))
    moment = clock.read_moment()
    # The occurrences that are not complete are due from tomorrow on.
    first_ms = moment.wall_ms + 86_400_000 - PERIOD_MS * occurrence_count // 2
    for number in range(workflow_count):
        workflow_id = f'{number:016x}'
        spec = records.SpecRecord(
            workflows.Workflow(
                workflow_id,
                'spec',
                (workflows.Step(TASKS, resources.Resources(100, 100), 1_000),),
                occurrence_count,
                first_ms,
                PERIOD_MS,
            ),
            records.Terms('q', 's', 0, 3, 1.0, 0, moment.wall_ms),
        )
        key = records.make_spec_key(workflow_id)
        await store.put(key, journal.encode(spec), 0)
        key = records.make_state_key(workflow_id)
        await store.put(key, journal.encode(state), 0)
    core = owner.Owner(
        1,
        LIMITS,
        150_000,
        moment.elapsed_ms,
        LIMITS.count_from(moment.elapsed_ms),
        journal.encode,
        lambda event, **fields: None,
    )
    before_mb = _read_memory_mb()
    started_s = time.perf_counter()
    loaded = await journal.Journal(store, HEAD, 0, lambda error: None).load()
    for workflow_id, spec_record in loaded.specs.items():
        core.restore(spec_record, loaded.states[workflow_id], moment)
    load_ms = (time.perf_counter() - started_s) * 1_000
    assert len(core.jobs) == workflow_count
    memory_mb = _read_memory_mb() - before_mb
    started_s = time.perf_counter()
    for _ in range(PASSES):
        core.schedule(moment)
    pass_ms = (time.perf_counter() - started_s) * 1_000 / PASSES
    return Figures(load_ms, memory_mb, pass_ms)


def _read_memory_mb() -> float:
    pages = int(pathlib.Path('/proc/self/statm').read_text().split()[1])
    return pages * PAGE_BYTES / 2**20


if __name__ == '__main__':
    main()
