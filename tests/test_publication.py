"""Concurrent publications with refused, lost and delayed store calls."""

import dataclasses
import pathlib
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from borageshelf.configuration import audit_trail
from borageshelf.configuration import checks
from borageshelf.configuration import contents
from borageshelf.configuration import publication
from borageshelf import errors
from borageshelf.model import objects
from tests import fakes

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'
OCRE = checks.load_configuration(EXAMPLES / 'ocre')
COLOMBO = checks.load_configuration(EXAMPLES / 'colombo')
LOSSES = (
    fakes.CallOutcome.REFUSED,
    fakes.CallOutcome.LOST_BEFORE,
    fakes.CallOutcome.LOST_AFTER,
    fakes.CallOutcome.DELAYED,
)
# Most calls are answered, so that schedules get as far as the swap.
ACTIONS = (*LOSSES, 'deliver', 'deadline', *[fakes.CallOutcome.ANSWERED] * 12)


class Bench:
    """A store with publishers on one clock that tests move."""

    def __init__(self) -> None:
        self.store = fakes.FakeStore()
        self.now_ms = 0

    def make_publisher(self) -> publication.Publisher:
        return publication.Publisher(
            self.store, lambda: self.now_ms, fakes.pause
        )

    def start(
        self, name: str, configuration: objects.Configuration, base: int
    ) -> fakes.CoroutineStepper:
        request = publication.Request(
            configuration, base, 'author', 'reason', name
        )
        return fakes.CoroutineStepper(self.make_publisher().publish(request))

    def publish(
        self, name: str, configuration: objects.Configuration, base: int
    ) -> Any:
        return self.start(name, configuration, base).finish(self.store)

    def read_chain(self) -> list[str]:
        """Return the ids in the audit trail, oldest first."""
        process = fakes.CoroutineStepper(
            self.make_publisher().audit_trail.read_history(1000)
        )
        found = process.finish(self.store)
        versions = [item.version for item in reversed(found)]
        assert versions == list(range(1, len(found) + 1))
        return [item.publication_id for item in reversed(found)]

    def read(self, version: int = 0) -> objects.Configuration:
        process = fakes.CoroutineStepper(
            self.make_publisher().audit_trail.read_version(version)
        )
        found: objects.Configuration = process.finish(self.store)
        return found

    def check_truth(self, name: str, process: fakes.CoroutineStepper) -> None:
        """The outcome that a publisher reports agrees with the trail."""
        count = self.read_chain().count(name)
        assert count <= 1
        if process.error is not None:
            assert process.error.code in {
                errors.OUTCOME_UNKNOWN,
                errors.STORE_UNAVAILABLE,
            }
            if process.error.code is errors.STORE_UNAVAILABLE:
                assert count == 0
        elif isinstance(process.result, publication.LostRace):
            assert count == 0
        else:
            assert count == 1

    def settle(self) -> None:
        """Let all delayed writes arrive."""
        while self.store.delayed:
            self.store.apply_delayed_write()


def run_to_swap(
    process: fakes.CoroutineStepper, bench: Bench
) -> fakes.CoroutineStepper:
    """Run a publication up to the swap of the root."""
    while process.call is None or (
        (process.call.name, process.call.key) != ('put', contents.ROOT_KEY)
    ):
        process.step(fakes.CallOutcome.ANSWERED, bench.store)
    return process


def test_publications_form_a_chain() -> None:
    """Guards against a trail that differs from what is in force."""
    bench = Bench()
    assert bench.publish('a', OCRE, 0).version == 1
    assert bench.publish('b', COLOMBO, 1).version == 2
    assert bench.read_chain() == ['a', 'b']
    assert bench.read() == dataclasses.replace(COLOMBO, version=2)
    assert bench.read(1) == dataclasses.replace(OCRE, version=1)
    unchanged = bench.publish('c', COLOMBO, 2)
    assert not unchanged.is_new and bench.read_chain() == ['a', 'b']
    with pytest.raises(errors.BorageshelfError, match='NOT_FOUND'):
        bench.read(3)


def test_lost_race_shows_what_changed_and_is_recorded() -> None:
    """Guards against a refusal that leaves no trace or no reason."""
    bench = Bench()
    bench.publish('a', OCRE, 0)
    bench.publish('b', COLOMBO, 1)
    lost = bench.publish('c', OCRE, 1)
    assert isinstance(lost, publication.LostRace) and lost.is_recorded
    assert lost.base == dataclasses.replace(OCRE, version=1)
    assert lost.found == dataclasses.replace(COLOMBO, version=2)
    process = fakes.CoroutineStepper(
        bench.make_publisher().audit_trail.read_refusals(9)
    )
    (refusal,) = process.finish(bench.store)
    found = (refusal.publication_id, refusal.base_version)
    assert (*found, refusal.found_version) == ('c', 1, 2)


@pytest.mark.parametrize('fate', LOSSES)
def test_every_single_loss_ends_in_the_true_result(
    fate: fakes.CallOutcome,
) -> None:
    """Guards against one store call whose lost answer is misread."""
    for position in range(100):
        bench = Bench()
        bench.publish('base', OCRE, 0)
        process = bench.start('own', COLOMBO, 1)
        for _ in range(position):
            if not process.is_done:
                process.step(fakes.CallOutcome.ANSWERED, bench.store)
        if process.is_done:
            return
        process.step(fate, bench.store)
        process.finish(bench.store)
        bench.settle()
        bench.check_truth('own', process)
        # Nobody else publishes, so the loss alone must not refuse it.
        assert isinstance(process.result, publication.Published)
    raise AssertionError('the publication did not end')


@pytest.mark.parametrize('fate', LOSSES)
def test_loss_of_the_swap_while_another_publishes(
    fate: fakes.CallOutcome,
) -> None:
    """Guards against a version that is lost although it was in force.

    The rival's publication follows the lost swap, so that the root does not
    name the own publication any more when it is read back.
    """
    bench = Bench()
    bench.publish('base', OCRE, 0)
    process = bench.start('own', COLOMBO, 1)
    while (
        process.call is None
        or process.call.key != contents.ROOT_KEY
        or (process.call.name != 'put')
    ):
        process.step(fakes.CallOutcome.ANSWERED, bench.store)
    process.step(fate, bench.store)
    base = len(bench.read_chain())
    rival = bench.publish('rival', changed(OCRE, 1), base)
    bench.settle()
    process.finish(bench.store)
    bench.check_truth('own', process)
    assert isinstance(rival, publication.Published)
    was_applied = fate is fakes.CallOutcome.LOST_AFTER
    assert isinstance(process.result, publication.Published) == was_applied


def test_repeat_with_the_same_id_after_an_unknown_outcome() -> None:
    """Guards against a second version from a repeated publication."""
    bench = Bench()
    bench.publish('base', OCRE, 0)
    process = run_to_swap(bench.start('own', COLOMBO, 1), bench)
    bench.now_ms += audit_trail.OPERATION_TIME_LIMIT_MS
    process.step(fakes.CallOutcome.LOST_AFTER, bench.store)
    assert process.error is not None
    assert process.error.code is errors.OUTCOME_UNKNOWN
    repeated = bench.publish('own', COLOMBO, 1)
    assert repeated.version == 2
    assert bench.read_chain() == ['base', 'own']


def test_repeat_while_the_first_try_is_still_under_way() -> None:
    """Guards against a refusal of a set that is in force.

    The first swap is delayed and arrives just before that of the repeat,
    whose only try then conflicts with it.
    """
    bench = Bench()
    bench.publish('base', OCRE, 0)
    first = run_to_swap(bench.start('own', COLOMBO, 1), bench)
    bench.now_ms += audit_trail.OPERATION_TIME_LIMIT_MS
    first.step(fakes.CallOutcome.DELAYED, bench.store)
    assert first.error is not None
    repeated = run_to_swap(bench.start('own', COLOMBO, 1), bench)
    bench.settle()
    outcome = repeated.finish(bench.store)
    assert isinstance(outcome, publication.Published)
    assert outcome.version == 2
    assert bench.read_chain() == ['base', 'own']


def test_refusals_are_listed_newest_first() -> None:
    """Guards against a list that outgrows one answer of the store."""
    bench = Bench()
    bench.publish('a', OCRE, 0)
    for day in range(5):
        bench.now_ms = day * 24 * 3600 * 1000
        bench.publish(f'refused-{day}', COLOMBO, 0)
    process = fakes.CoroutineStepper(
        bench.make_publisher().audit_trail.read_refusals(3)
    )
    found = [item.publication_id for item in process.finish(bench.store)]
    assert found == ['refused-4', 'refused-3', 'refused-2']


@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.sampled_from(ACTIONS),
        ),
        min_size=20,
        max_size=80,
    )
)
def test_rival_publishers_under_faults(
    schedule: list[tuple[int, Any]],
) -> None:
    """Guards against two winners, or a winner that is told it has lost."""
    bench = Bench()
    bench.publish('base', OCRE, 0)
    names = ['a', 'b', 'c']
    processes = [
        bench.start(name, changed(OCRE, number), 1)
        for number, name in enumerate(names, 1)
    ]
    for number, action in schedule:
        if action == 'deliver':
            if bench.store.delayed:
                bench.store.apply_delayed_write()
        elif action == 'deadline':
            bench.now_ms += audit_trail.OPERATION_TIME_LIMIT_MS // 2
        elif not processes[number].is_done:
            processes[number].step(action, bench.store)
    for process in processes:
        while not process.is_done:
            process.step(fakes.CallOutcome.ANSWERED, bench.store)
    bench.settle()
    for name, process in zip(names, processes, strict=True):
        bench.check_truth(name, process)
    assert len(bench.read_chain()) == 2 or any(
        process.error is not None for process in processes
    )


def test_large_set_is_split() -> None:
    """Guards against a value above the store's limit of 1 MB."""
    job = COLOMBO.jobs['route-plan']
    many = {
        f'job-{number}': dataclasses.replace(job, name=f'job-{number}')
        for number in range(8000)
    }
    large = dataclasses.replace(COLOMBO, jobs=many)
    parts = contents.encode_parts(large)
    assert sum(map(len, parts.values())) > 1_000_000
    assert max(map(len, parts.values())) < 2 * contents.PART_TARGET_BYTES
    assert contents.decode_parts(parts.values(), 0) == large
    # One changed object rewrites one part, not the whole set.
    many['job-7'] = dataclasses.replace(many['job-7'], urgency=1)
    later = contents.encode_parts(dataclasses.replace(large, jobs=many))
    assert len(set(later) - set(parts)) == 1


def test_damaged_values_are_refused() -> None:
    """Guards against a set that is assembled from wrong parts."""
    parts = contents.encode_parts(OCRE)
    own = contents.Publication(1, '', 'a', 0, 'r', 'own', tuple(parts))
    data = contents.encode_bundle(contents.Bundle(own, parts))
    assert contents.decode_bundle(data).publication == own
    fewer = dict(list(parts.items())[1:])
    for damaged in (
        data[:-1],
        data[1:],
        b'',
        contents.encode_bundle(contents.Bundle(own, fewer)),
    ):
        with pytest.raises(errors.BorageshelfError, match='INTERNAL'):
            contents.decode_bundle(damaged)


def changed(
    configuration: objects.Configuration, number: int
) -> objects.Configuration:
    """Return the set with another limit."""
    limits = dataclasses.replace(
        configuration.limits, jobs_queued=1000 + number
    )
    return dataclasses.replace(configuration, limits=limits)
