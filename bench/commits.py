"""Cost of a group commit by number of tasks, shards and snapshot threshold.

``python -m bench.commits`` commits changes at the peak rate through
``ShardLog`` to the in-memory store and prints processor time and bytes per
commit. S is the size of a snapshot, c the size of the changes before
compression. "factor" scales the bytes of heads after which the log writes a
snapshot. Times depend on the machine; bytes are exact.
"""

import asyncio
import dataclasses
import math
import random
import time
from typing import Final

from borageshelf.model import resources
from borageshelf.shards import codec
from borageshelf.shards import records
from borageshelf.shards import shard_log
from borageshelf.shards import transitions
from standins import memory_store

# Sizes planned for two years ahead; smaller fleets are scaled down from them.
PLANNED_TASKS: Final = 5_900
PEAK_STARTS_PER_S: Final = 24
JOBS_PER_DAY: Final = 7_600
ENTRY_COUNT: Final = 6
WORKER_COUNT: Final = 460
TICK_S: Final = 0.1
# The record of a job changes when the job is accepted, is assigned and ends.
CHANGES_PER_JOB: Final = 3
COMMITS_PER_ROW: Final = 1_500
HORIZONS: Final = records.Horizons(1_800_000_000_000, 1_800_002_700_000)


@dataclasses.dataclass(frozen=True)
class Figures:
    """Mean figures of the commits of one shard."""

    snapshot_bytes: int
    change_bytes: float
    processor_us: float
    bytes_per_commit: float
    writes_per_commit: float


class CountingStore(memory_store.MemoryStore):
    """In-memory store that counts writes and their bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.written_bytes = 0
        self.write_count = 0

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Count the write and pass it on."""
        self.written_bytes += len(value)
        self.write_count += 1
        return await super().put(key, value, expected_revision, lease_id)


class ScaledLog(shard_log.ShardLog):
    """Shard log that scales its threshold for writing a snapshot."""

    snapshot_factor = 1.0

    async def _write_snapshot(
        self, snapshot: records.Snapshot
    ) -> tuple[str, int]:
        key, size_bytes = await super()._write_snapshot(snapshot)
        return key, int(size_bytes * self.snapshot_factor)


class ShardModel:
    """Task records of one shard that change as at the peak rate."""

    def __init__(
        self, running_count: int, ended_count: int, rng: random.Random
    ) -> None:
        self._rng = rng
        self.tasks: dict[str, records.TaskRecord] = {}
        self._queued: list[str] = []
        self._running: list[str] = []
        self._ended: list[str] = []
        self._ended_limit = ended_count
        self._change_count = 0
        self._assignments = [
            records.Assignment(
                f'10.0.{number // 250}.{number % 250}:7001',
                f'{rng.getrandbits(128):032x}',
                f'{rng.getrandbits(128):032x}',
                rng.choice(('tajo-norte', 'tajo-sur', 'molino-alto')),
                f'rack-{number // 3}',
                7,
            )
            for number in range(WORKER_COUNT)
        ]
        for _ in range(ended_count):
            task = self._end(self._assign(self._submit()))
            self.tasks[task.task_id] = task
            self._ended.append(task.task_id)
        for _ in range(running_count):
            task = self._assign(self._submit())
            self.tasks[task.task_id] = task
            self._running.append(task.task_id)

    def make_change(self) -> records.Changes:
        """Submit, assign or end one job in turn, at constant totals."""
        self._change_count += 1
        removed: tuple[str, ...] = ()
        if self._change_count % 3 == 1:
            task = self._submit()
            self._queued.append(task.task_id)
        elif self._change_count % 3 == 2:
            task = self._assign(self.tasks[self._queued.pop()])
            self._running.append(task.task_id)
        else:
            position = self._rng.randrange(len(self._running))
            task = self._end(self.tasks[self._running.pop(position)])
            self._ended.append(task.task_id)
        self.tasks[task.task_id] = task
        if len(self._ended) > self._ended_limit:
            removed = (self._ended.pop(0),)
            del self.tasks[removed[0]]
        return records.Changes((task,), removed=removed)

    def _submit(self) -> records.TaskRecord:
        rng = self._rng
        job_id = f'{rng.getrandbits(64):016x}'
        return records.TaskRecord(
            f'{job_id}/0',
            job_id,
            rng.choice(('assay', 'blend-plan', 'certificates', 'ledger')),
            f'team-{rng.randrange(130)}',
            resources.Resources(
                rng.choice((500, 1000, 2000, 4000)), rng.randrange(9000)
            ),
            1_799_000_000_000 + rng.randrange(1_000_000),
            arguments=rng.randbytes(24),
        )

    def _assign(self, task: records.TaskRecord) -> records.TaskRecord:
        return dataclasses.replace(
            task,
            phase=records.TaskPhase.ASSIGNED,
            assignment=self._rng.choice(self._assignments),
        )

    def _end(self, task: records.TaskRecord) -> records.TaskRecord:
        event = transitions.Succeeded(task.attempt, self._rng.randbytes(24))
        return transitions.advance(event, task, 1_799_000_000_000)


def compute_changes_per_tick(tasks: int, shards: int) -> float:
    """Return the mean changes of one shard in a tick at the peak rate."""
    starts_per_s = PEAK_STARTS_PER_S * tasks / PLANNED_TASKS
    return starts_per_s * CHANGES_PER_JOB / shards * TICK_S


def draw_change_count(changes_per_tick: float, rng: random.Random) -> int:
    """Draw the changes of a tick (Poisson); ticks without any are skipped."""
    while True:
        count, product = 0, rng.random()
        while product > math.exp(-changes_per_tick):
            count += 1
            product *= rng.random()
        if count:
            return count


async def measure(
    tasks: int, shards: int, snapshot_factor: float, keeps_ended_tasks: bool
) -> Figures:
    """Commit changes and return the mean figures."""
    rng = random.Random(1)
    ended_count = (
        JOBS_PER_DAY * tasks // PLANNED_TASKS // shards
        if keeps_ended_tasks
        else 0
    )
    shard = ShardModel(max(tasks // shards, 1), ended_count, rng)
    store = CountingStore()
    log = ScaledLog(store, 0, 'entry')
    log.snapshot_factor = snapshot_factor
    await log.acquire(lambda _: HORIZONS)

    def make_snapshot() -> records.Snapshot:
        return records.Snapshot(tuple(shard.tasks.values()))

    snapshot_bytes = len(codec.encode_snapshot(make_snapshot()))
    changes_per_tick = compute_changes_per_tick(tasks, shards)
    batches = []
    for _ in range(COMMITS_PER_ROW):
        changes = [
            shard.make_change()
            for _ in range(draw_change_count(changes_per_tick, rng))
        ]
        batches.append(
            records.Changes(
                tuple(task for item in changes for task in item.tasks),
                removed=tuple(key for item in changes for key in item.removed),
            )
        )
    change_bytes = sum(map(codec.measure_changes, batches)) / COMMITS_PER_ROW
    store.written_bytes = store.write_count = 0
    started_s = time.process_time()
    for batch in batches:
        await log.commit(batch, make_snapshot, HORIZONS)
    elapsed_s = time.process_time() - started_s
    return Figures(
        snapshot_bytes,
        change_bytes,
        elapsed_s / COMMITS_PER_ROW * 1e6,
        store.written_bytes / COMMITS_PER_ROW,
        store.write_count / COMMITS_PER_ROW,
    )


def print_row(
    tasks: int, shards: int, snapshot_factor: float, keeps_ended_tasks: bool
) -> None:
    """Measure one case and print its row of the table."""
    figures = asyncio.run(
        measure(tasks, shards, snapshot_factor, keeps_ended_tasks)
    )
    changes_per_tick = compute_changes_per_tick(tasks, shards)
    shard_commits_per_s = (1 - math.exp(-changes_per_tick)) / TICK_S
    entry_commits_per_s = shard_commits_per_s * shards / ENTRY_COUNT
    print(
        f'| {tasks} | {shards} | {"yes" if keeps_ended_tasks else "no"} '
        f'| {snapshot_factor:g} | {figures.snapshot_bytes} '
        f'| {figures.change_bytes:.0f} | {figures.processor_us:.0f} '
        f'| {figures.bytes_per_commit:.0f} | {figures.writes_per_commit:.2f} '
        f'| {entry_commits_per_s:.1f} '
        f'| {entry_commits_per_s * figures.bytes_per_commit / 1000:.1f} '
        f'| {entry_commits_per_s * figures.processor_us / 1e4:.2f} |'
    )


def main() -> None:
    """Print the table."""
    print(
        '| tasks | shards | ended kept | factor | S | c | us | bytes | writes '
        '| commits/s | KB/s | % core |'
    )
    print('|' + '---|' * 12)
    for tasks in (100, 1_000, PLANNED_TASKS):
        for shards in (16, 32):
            for keeps_ended_tasks in (False, True):
                print_row(tasks, shards, 1, keeps_ended_tasks)
    for shards in (16, 32):
        for snapshot_factor in (0.125, 0.25, 0.5, 1, 2, 4, 8):
            print_row(PLANNED_TASKS, shards, snapshot_factor, True)


if __name__ == '__main__':
    main()
