"""Cost of a group commit by number of tasks, shards and delta bound.

``python -m bench.commits`` commits the changes of the peak rate through
``ShardLog`` into the in-memory store and prints processor time and bytes for
each commit. S is the size of a snapshot and c that of the changes before
compression; "factor" scales the bytes of heads after which the log writes a
snapshot. Times are those of this machine; bytes are exact.
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

# Sizes of the two-year plan; smaller fleets are scaled from it.
TASKS: Final = 5_900
STARTS_PER_SECOND: Final = 24
JOBS_PER_DAY: Final = 7_600
ENTRIES: Final = 6
WORKERS: Final = 460
TICK_S: Final = 0.1
# A job changes its record when it is accepted, assigned and ended.
CHANGES_PER_JOB: Final = 3
COMMITS: Final = 1_500
HORIZONS: Final = records.Horizons(1_800_000_000_000, 1_800_002_700_000)


@dataclasses.dataclass(frozen=True)
class Figures:
    """Averages over the commits of one shard."""

    snapshot_bytes: int
    change_bytes: float
    processor_us: float
    bytes_per_commit: float
    writes_per_commit: float


class CountingStore(memory_store.MemoryStore):
    """Counts what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written_bytes = 0
        self.puts = 0

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Count and write."""
        self.written_bytes += len(value)
        self.puts += 1
        return await super().put(key, value, expected_revision, lease_id)


class ScaledLog(shard_log.ShardLog):
    """Writes snapshots later or earlier than the rule of the log."""

    factor = 1.0

    async def _write_snapshot(
        self, snapshot: records.Snapshot
    ) -> tuple[str, int]:
        key, size_bytes = await super()._write_snapshot(snapshot)
        return key, int(size_bytes * self.factor)


class Shard:
    """Records of one shard that change as at the peak."""

    def __init__(self, running: int, ended: int, rng: random.Random) -> None:
        self._rng = rng
        self.tasks: dict[str, records.TaskRecord] = {}
        self._queued: list[str] = []
        self._running: list[str] = []
        self._ended: list[str] = []
        self._ended_limit = ended
        self._steps = 0
        self._places = [
            records.Assignment(
                f'10.0.{number // 250}.{number % 250}:7001',
                f'{rng.getrandbits(128):032x}',
                f'{rng.getrandbits(128):032x}',
                rng.choice(('tajo-norte', 'tajo-sur', 'molino-alto')),
                f'rack-{number // 3}',
                7,
            )
            for number in range(WORKERS)
        ]
        for _ in range(ended):
            task = self._end(self._assign(self._submit()))
            self.tasks[task.task_id] = task
            self._ended.append(task.task_id)
        for _ in range(running):
            task = self._assign(self._submit())
            self.tasks[task.task_id] = task
            self._running.append(task.task_id)

    def change(self) -> records.Changes:
        """Take one job one step further; the numbers stay the same."""
        self._steps += 1
        removed: tuple[str, ...] = ()
        if self._steps % 3 == 1:
            task = self._submit()
            self._queued.append(task.task_id)
        elif self._steps % 3 == 2:
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
            assignment=self._rng.choice(self._places),
        )

    def _end(self, task: records.TaskRecord) -> records.TaskRecord:
        event = transitions.Succeeded(task.attempt, self._rng.randbytes(24))
        return transitions.advance(event, task, 1_799_000_000_000)


def find_rate(tasks: int, shards: int) -> float:
    """Return the changes in a tick of one shard at the peak."""
    starts_per_second = STARTS_PER_SECOND * tasks / TASKS
    return starts_per_second * CHANGES_PER_JOB / shards * TICK_S


def draw_changes(rate: float, rng: random.Random) -> int:
    """Return the changes of a tick that has any (Poisson)."""
    while True:
        count, product = 0, rng.random()
        while product > math.exp(-rate):
            count += 1
            product *= rng.random()
        if count:
            return count


async def measure(
    tasks: int, shards: int, factor: float, keeps_ended: bool
) -> Figures:
    """Commit changes and return averages."""
    rng = random.Random(1)
    ended = JOBS_PER_DAY * tasks // TASKS // shards if keeps_ended else 0
    shard = Shard(max(tasks // shards, 1), ended, rng)
    store = CountingStore()
    engine = ScaledLog(store, 0, 'entry')
    engine.factor = factor
    await engine.acquire(lambda _: HORIZONS)

    def make_snapshot() -> records.Snapshot:
        return records.Snapshot(tuple(shard.tasks.values()))

    snapshot_bytes = len(codec.encode_snapshot(make_snapshot()))
    rate = find_rate(tasks, shards)
    batches = []
    for _ in range(COMMITS):
        changes = [shard.change() for _ in range(draw_changes(rate, rng))]
        batches.append(
            records.Changes(
                tuple(task for item in changes for task in item.tasks),
                removed=tuple(key for item in changes for key in item.removed),
            )
        )
    change_bytes = sum(map(codec.measure_changes, batches)) / COMMITS
    store.written_bytes = store.puts = 0
    started_s = time.process_time()
    for batch in batches:
        await engine.commit(batch, make_snapshot, HORIZONS)
    elapsed_s = time.process_time() - started_s
    return Figures(
        snapshot_bytes,
        change_bytes,
        elapsed_s / COMMITS * 1e6,
        store.written_bytes / COMMITS,
        store.puts / COMMITS,
    )


def print_row(
    tasks: int, shards: int, factor: float, keeps_ended: bool
) -> None:
    """Measure and print one row."""
    found = asyncio.run(measure(tasks, shards, factor, keeps_ended))
    rate = find_rate(tasks, shards)
    commits_per_second = (1 - math.exp(-rate)) / TICK_S
    load = commits_per_second * shards / ENTRIES
    print(
        f'| {tasks} | {shards} | {"yes" if keeps_ended else "no"} '
        f'| {factor:g} | {found.snapshot_bytes} '
        f'| {found.change_bytes:.0f} | {found.processor_us:.0f} '
        f'| {found.bytes_per_commit:.0f} | {found.writes_per_commit:.2f} '
        f'| {load:.1f} | {load * found.bytes_per_commit / 1000:.1f} '
        f'| {load * found.processor_us / 1e4:.2f} |'
    )


def main() -> None:
    """Print the table."""
    print(
        '| tasks | shards | ended kept | factor | S | c | us | bytes | writes '
        '| commits/s | KB/s | % core |'
    )
    print('|' + '---|' * 12)
    for tasks in (100, 1_000, TASKS):
        for shards in (16, 32):
            for keeps_ended in (False, True):
                print_row(tasks, shards, 1, keeps_ended)
    for shards in (16, 32):
        for factor in (0.125, 0.25, 0.5, 1, 2, 4, 8):
            print_row(TASKS, shards, factor, True)


if __name__ == '__main__':
    main()
