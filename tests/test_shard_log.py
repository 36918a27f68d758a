"""Commits and takeovers of one shard while store calls fail."""

import itertools
import random

import pytest

from borageshelf import errors
from borageshelf.model import resources
from borageshelf.shards import records
from borageshelf.shards import shard_log
from tests import fakes

# Incompressible, and larger than the limit on the heads since a snapshot, so
# that the next commit writes a snapshot.
BIG_ARGUMENTS = random.Random(1).randbytes(4 * shard_log.SNAPSHOT_MIN_BYTES)
HORIZONS = records.Horizons(1000, 2000)
FAULTY_FATES = (
    fakes.CallOutcome.REFUSED,
    fakes.CallOutcome.LOST_BEFORE,
    fakes.CallOutcome.LOST_AFTER,
    fakes.CallOutcome.DELAYED,
)


def make_task(number: int, arguments: bytes = b'') -> records.TaskRecord:
    return records.TaskRecord(
        f'job{number}/0',
        f'job{number}',
        'family',
        'team',
        resources.Resources(1000, 100),
        0,
        arguments=arguments,
    )


class Writer:
    """A shard log with the tasks that it has committed."""

    def __init__(self, store: fakes.FakeStore, entry_id: str) -> None:
        self.store = store
        self.log = shard_log.ShardLog(store, 0, entry_id, fakes.pause)
        self.tasks: dict[str, records.TaskRecord] = {}

    def acquire(self) -> fakes.CoroutineStepper:
        return fakes.CoroutineStepper(self.log.acquire(lambda _: HORIZONS))

    def take_over(self) -> 'Writer':
        self.tasks = self.acquire().finish(self.store).tasks
        return self

    def store_task(self, task: records.TaskRecord) -> None:
        self.commit(task).finish(self.store)
        self.tasks[task.task_id] = task

    def commit(self, *tasks: records.TaskRecord) -> fakes.CoroutineStepper:
        changes = records.Changes(tuple(tasks))

        def make_snapshot() -> records.Snapshot:
            merged = {**self.tasks, **{task.task_id: task for task in tasks}}
            return records.Snapshot(tuple(merged.values()))

        return fakes.CoroutineStepper(
            self.log.commit(changes, make_snapshot, HORIZONS)
        )


def read_task_ids(store: fakes.FakeStore) -> set[str]:
    """Return the ids of the tasks that a new owner finds."""
    return set(Writer(store, 'reader').take_over().tasks)


def list_snapshots(store: fakes.FakeStore) -> list[str]:
    return [key for key in store.entries if '/snapshot/' in key]


@pytest.mark.parametrize(
    'arguments', [b'', BIG_ARGUMENTS], ids=['head', 'snapshot']
)
@pytest.mark.parametrize(
    'faults', list(itertools.product(FAULTY_FATES, range(6), [1, 2]))
)
def test_outcome_of_a_commit_is_true(
    arguments: bytes, faults: tuple[fakes.CallOutcome, int, int]
) -> None:
    """Guards against a commit whose reported outcome is wrong.

    Each fault hits one or two consecutive store calls at each position of a
    commit, with and without a snapshot. Delayed writes arrive at the end.
    """
    fate, position, count = faults
    store = fakes.FakeStore()
    writer = Writer(store, 'a').take_over()
    writer.store_task(make_task(1, arguments))
    process = writer.commit(make_task(2))
    for step in range(1000):
        if process.is_done:
            break
        is_faulty = position <= step < position + count
        process.step(fate if is_faulty else fakes.CallOutcome.ANSWERED, store)
    assert process.is_done
    while store.delayed:
        store.apply_delayed_write()
    if process.error is None:
        assert read_task_ids(store) == {'job1/0', 'job2/0'}
    else:
        assert process.error.code is errors.STORE_UNAVAILABLE
        assert read_task_ids(store) == {'job1/0'}


@pytest.mark.parametrize('fate', FAULTY_FATES[1:])
def test_commit_after_uncertain_commit(fate: fakes.CallOutcome) -> None:
    """Guards against a second commit that overwrites an uncertain first one.

    The store goes down after a write whose outcome is unknown. The commit
    must not be reported before the store is back.
    """
    store = fakes.FakeStore()
    writer = Writer(store, 'a').take_over()
    process = writer.commit(make_task(1))
    process.step(fate, store)
    store.is_down = True
    for _ in range(20):
        process.step(fakes.CallOutcome.ANSWERED, store)
    assert not process.is_done, 'an uncertain commit was reported'
    store.is_down = False
    process.finish(store)
    writer.commit(make_task(2)).finish(store)
    while store.delayed:
        store.apply_delayed_write()
    assert read_task_ids(store) == {'job1/0', 'job2/0'}


@pytest.mark.parametrize('fate', FAULTY_FATES[1:])
def test_competitor_takes_over_during_uncertain_commit(
    fate: fakes.CallOutcome,
) -> None:
    """Guards against a former owner that writes a shard after its takeover."""
    store = fakes.FakeStore()
    writer = Writer(store, 'a').take_over()
    process = writer.commit(make_task(1))
    process.step(fate, store)
    other = Writer(store, 'b').take_over()
    other.commit(make_task(2)).finish(store)
    with pytest.raises(errors.BorageshelfError) as caught:
        process.finish(store)
    assert caught.value.code is errors.STORE_CONFLICT
    while store.delayed:
        store.apply_delayed_write()
    expected = {'job2/0'}
    if fate is fakes.CallOutcome.LOST_AFTER:
        expected.add('job1/0')
    assert read_task_ids(store) == expected


def test_one_of_two_competitors_acquires() -> None:
    """Guards against two owners of one shard with the same epoch.

    Two entries acquire the shard with their steps in every order.
    """
    for order in set(itertools.permutations('aaabbb')):
        store = fakes.FakeStore()
        processes = {name: Writer(store, name).acquire() for name in 'ab'}
        for name in order:
            if not processes[name].is_done:
                processes[name].step(fakes.CallOutcome.ANSWERED, store)
        succeeded = [
            item
            for item in processes.values()
            if item.is_done and item.error is None
        ]
        epochs = [item.result.epoch for item in succeeded]
        assert epochs
        assert len(set(epochs)) == len(epochs)


@pytest.mark.parametrize('fate', FAULTY_FATES)
def test_acquire_with_a_lost_answer(fate: fakes.CallOutcome) -> None:
    """Guards against a takeover that succeeds before its horizons are stored.

    A fault hits each store call of the takeover in turn.
    """
    store = fakes.FakeStore()
    Writer(store, 'a').take_over().commit(make_task(1)).finish(store)
    for position in range(3):
        writer = Writer(store, 'b')
        process = writer.acquire()
        for step in range(100):
            if process.is_done:
                break
            process.step(
                fate if step == position else fakes.CallOutcome.ANSWERED, store
            )
        if process.error is not None:
            assert process.error.code is errors.STORE_UNAVAILABLE
            continue
        assert set(process.result.tasks) == {'job1/0'}
        assert process.result.horizons == HORIZONS
        assert writer.log.head.owner == 'b'
        writer.commit().finish(store)


def test_unused_snapshots_are_removed() -> None:
    """Guards against unused snapshots that accumulate.

    A snapshot stays unused if its head was refused, if the answer to its
    write was lost, or if the owner crashed before it wrote the head.
    """
    store = fakes.FakeStore()
    writer = Writer(store, 'a').take_over()
    writer.store_task(make_task(0, BIG_ARGUMENTS))
    for number in range(1, 6):
        process = writer.commit(make_task(number))
        process.step(fakes.CallOutcome.ANSWERED, store)
        process.step(fakes.CallOutcome.REFUSED, store)
        assert process.error is not None
    uncertain = writer.commit(make_task(6))
    uncertain.step(fakes.CallOutcome.LOST_AFTER, store)
    assert uncertain.error is not None
    crashed = writer.commit(make_task(7))
    crashed.step(fakes.CallOutcome.ANSWERED, store)
    crashed.close()
    assert len(list_snapshots(store)) == 7
    Writer(store, 'b').take_over().commit(make_task(8)).finish(store)
    assert len(list_snapshots(store)) == 1


def test_snapshot_replaced_while_it_is_read() -> None:
    """Guards against a takeover that combines two states of a shard.

    The owner replaces the snapshot between the reads of head and snapshot.
    """
    store = fakes.FakeStore()
    writer = Writer(store, 'a').take_over()
    writer.store_task(make_task(1, BIG_ARGUMENTS))
    writer.store_task(make_task(2))
    process = Writer(store, 'b').acquire()
    process.step(fakes.CallOutcome.ANSWERED, store)
    writer.store_task(make_task(3, BIG_ARGUMENTS + BIG_ARGUMENTS))
    writer.store_task(make_task(4))
    with pytest.raises(errors.BorageshelfError) as caught:
        process.finish(store)
    assert caught.value.code is errors.STORE_CONFLICT


def test_bytes_between_snapshots() -> None:
    """Guards against heads that grow without limit and needless snapshots.

    The heads between two snapshots must together have more bytes than the
    earlier snapshot, but only by the last head.
    """
    store = fakes.FakeStore()
    writer = Writer(store, 'a').take_over()
    rng = random.Random(2)
    head_sizes: list[int] = []
    checked = 0
    for number in range(600):
        before = list_snapshots(store)
        sizes = [len(store.entries[key].value) for key in before]
        writer.store_task(make_task(number % 50, rng.randbytes(100)))
        if list_snapshots(store) != before:
            limit_bytes = max([*sizes, shard_log.SNAPSHOT_MIN_BYTES])
            assert (
                limit_bytes < sum(head_sizes) <= limit_bytes + head_sizes[-1]
            )
            head_sizes = []
            checked += 1
        head_sizes.append(len(store.entries[shard_log.make_head_key(0)].value))
    assert checked > 10


def test_release_leaves_records_and_horizons() -> None:
    """Guards against a planned stop that loses records or horizons."""
    store = fakes.FakeStore()
    writer = Writer(store, 'a').take_over()
    writer.commit(make_task(1)).finish(store)
    fakes.CoroutineStepper(writer.log.release(records.Horizons(7, 8))).finish(
        store
    )
    process = Writer(store, 'b').acquire()
    state = process.finish(store)
    assert state.horizons == records.Horizons(7, 8)
    assert set(state.tasks) == {'job1/0'}
    with pytest.raises(errors.BorageshelfError):
        writer.commit(make_task(2)).finish(store)
