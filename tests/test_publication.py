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
FAILED_OUTCOMES = (
    fakes.CallOutcome.REFUSED,
    fakes.CallOutcome.LOST_BEFORE,
    fakes.CallOutcome.LOST_AFTER,
    fakes.CallOutcome.DELAYED,
)
# Most calls are answered, so that schedules reach the swap of the root.
ACTIONS = (
    *FAILED_OUTCOMES,
    'deliver',
    'deadline',
    *[fakes.CallOutcome.ANSWERED] * 12,
)


class PublicationHarness:
    """A fake store and its publishers, on a clock that tests advance."""

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

    def list_published_ids(self) -> list[str]:
        """Return the publication ids in the audit trail, oldest first."""
        stepper = fakes.CoroutineStepper(
            self.make_publisher().audit_trail.read_history(1000)
        )
        found = stepper.finish(self.store)
        versions = [item.version for item in reversed(found)]
        assert versions == list(range(1, len(found) + 1))
        return [item.publication_id for item in reversed(found)]

    def read(self, version: int = 0) -> objects.Configuration:
        stepper = fakes.CoroutineStepper(
            self.make_publisher().audit_trail.read_version(version)
        )
        found: objects.Configuration = stepper.finish(self.store)
        return found

    def check_outcome(
        self, name: str, stepper: fakes.CoroutineStepper
    ) -> None:
        """Check that the outcome of a publisher agrees with the trail."""
        count = self.list_published_ids().count(name)
        assert count <= 1
        if stepper.error is not None:
            assert stepper.error.code in {
                errors.OUTCOME_UNKNOWN,
                errors.STORE_UNAVAILABLE,
            }
            if stepper.error.code is errors.STORE_UNAVAILABLE:
                assert count == 0
        elif isinstance(stepper.result, publication.LostRace):
            assert count == 0
        else:
            assert count == 1

    def deliver_delayed_writes(self) -> None:
        """Deliver all delayed writes."""
        while self.store.delayed:
            self.store.apply_delayed_write()


def run_to_swap(
    stepper: fakes.CoroutineStepper, harness: PublicationHarness
) -> fakes.CoroutineStepper:
    """Run a publication until its next call is the swap of the root."""
    while stepper.call is None or (
        (stepper.call.name, stepper.call.key) != ('put', contents.ROOT_KEY)
    ):
        stepper.step(fakes.CallOutcome.ANSWERED, harness.store)
    return stepper


def test_publications_form_a_chain() -> None:
    """Guards against an audit trail that differs from the set in force."""
    harness = PublicationHarness()
    assert harness.publish('a', OCRE, 0).version == 1
    assert harness.publish('b', COLOMBO, 1).version == 2
    assert harness.list_published_ids() == ['a', 'b']
    assert harness.read() == dataclasses.replace(COLOMBO, version=2)
    assert harness.read(1) == dataclasses.replace(OCRE, version=1)
    unchanged = harness.publish('c', COLOMBO, 2)
    assert not unchanged.is_new and harness.list_published_ids() == ['a', 'b']
    with pytest.raises(errors.BorageshelfError, match='NOT_FOUND'):
        harness.read(3)


def test_lost_race_shows_what_changed_and_is_recorded() -> None:
    """Guards against refusals without a record or without the changes.

    Another publication takes effect between the base version and this one.
    """
    harness = PublicationHarness()
    harness.publish('a', OCRE, 0)
    harness.publish('b', COLOMBO, 1)
    lost = harness.publish('c', OCRE, 1)
    assert isinstance(lost, publication.LostRace) and lost.is_recorded
    assert lost.base == dataclasses.replace(OCRE, version=1)
    assert lost.found == dataclasses.replace(COLOMBO, version=2)
    stepper = fakes.CoroutineStepper(
        harness.make_publisher().audit_trail.read_refusals(9)
    )
    (refusal,) = stepper.finish(harness.store)
    found = (refusal.publication_id, refusal.base_version)
    assert (*found, refusal.found_version) == ('c', 1, 2)


@pytest.mark.parametrize('call_outcome', FAILED_OUTCOMES)
def test_single_lost_call_gives_the_true_outcome(
    call_outcome: fakes.CallOutcome,
) -> None:
    """Guards against a wrong outcome when one store call goes wrong.

    Each store call of a publication in turn is refused, lost or delayed.
    """
    for position in range(100):
        harness = PublicationHarness()
        harness.publish('base', OCRE, 0)
        stepper = harness.start('own', COLOMBO, 1)
        for _ in range(position):
            if not stepper.is_done:
                stepper.step(fakes.CallOutcome.ANSWERED, harness.store)
        if stepper.is_done:
            return
        stepper.step(call_outcome, harness.store)
        stepper.finish(harness.store)
        harness.deliver_delayed_writes()
        harness.check_outcome('own', stepper)
        # There is no other publisher, so the publication must succeed.
        assert isinstance(stepper.result, publication.Published)
    raise AssertionError('the publication did not end')


@pytest.mark.parametrize('call_outcome', FAILED_OUTCOMES)
def test_lost_swap_before_a_rival_publication(
    call_outcome: fakes.CallOutcome,
) -> None:
    """Guards against a refusal reported for a version that took effect.

    A rival publishes after the failed or unanswered swap, so that the root no
    longer refers to the first publication when it is read again.
    """
    harness = PublicationHarness()
    harness.publish('base', OCRE, 0)
    stepper = harness.start('own', COLOMBO, 1)
    while (
        stepper.call is None
        or stepper.call.key != contents.ROOT_KEY
        or (stepper.call.name != 'put')
    ):
        stepper.step(fakes.CallOutcome.ANSWERED, harness.store)
    stepper.step(call_outcome, harness.store)
    base = len(harness.list_published_ids())
    rival = harness.publish('rival', change_limit(OCRE, 1), base)
    harness.deliver_delayed_writes()
    stepper.finish(harness.store)
    harness.check_outcome('own', stepper)
    assert isinstance(rival, publication.Published)
    was_applied = call_outcome is fakes.CallOutcome.LOST_AFTER
    assert isinstance(stepper.result, publication.Published) == was_applied


def test_repeat_with_the_same_id_after_an_unknown_outcome() -> None:
    """Guards against a second version from a repeated publication.

    The first swap is applied at the deadline, but its answer is lost.
    """
    harness = PublicationHarness()
    harness.publish('base', OCRE, 0)
    stepper = run_to_swap(harness.start('own', COLOMBO, 1), harness)
    harness.now_ms += audit_trail.OPERATION_TIME_LIMIT_MS
    stepper.step(fakes.CallOutcome.LOST_AFTER, harness.store)
    assert stepper.error is not None
    assert stepper.error.code is errors.OUTCOME_UNKNOWN
    repeated = harness.publish('own', COLOMBO, 1)
    assert repeated.version == 2
    assert harness.list_published_ids() == ['base', 'own']


def test_repeat_while_the_first_swap_is_delayed() -> None:
    """Guards against a refusal of a set that is in force.

    The first swap is delayed and arrives just before the swap of the repeated
    publication, whose only attempt then conflicts with it.
    """
    harness = PublicationHarness()
    harness.publish('base', OCRE, 0)
    first = run_to_swap(harness.start('own', COLOMBO, 1), harness)
    harness.now_ms += audit_trail.OPERATION_TIME_LIMIT_MS
    first.step(fakes.CallOutcome.DELAYED, harness.store)
    assert first.error is not None
    repeated = run_to_swap(harness.start('own', COLOMBO, 1), harness)
    harness.deliver_delayed_writes()
    outcome = repeated.finish(harness.store)
    assert isinstance(outcome, publication.Published)
    assert outcome.version == 2
    assert harness.list_published_ids() == ['base', 'own']


def test_refusals_are_listed_newest_first() -> None:
    """Guards against refusals that are lost or out of order across key groups.

    Refusals are listed in groups, because a list of all of them would exceed
    one answer of the store.
    """
    harness = PublicationHarness()
    harness.publish('a', OCRE, 0)
    for day in range(5):
        harness.now_ms = day * 24 * 3600 * 1000
        harness.publish(f'refused-{day}', COLOMBO, 0)
    stepper = fakes.CoroutineStepper(
        harness.make_publisher().audit_trail.read_refusals(3)
    )
    found = [item.publication_id for item in stepper.finish(harness.store)]
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
    """Guards against two publications of one base, or a wrong outcome.

    Three publishers start from the same version and the store fails at random.
    """
    harness = PublicationHarness()
    harness.publish('base', OCRE, 0)
    names = ['a', 'b', 'c']
    steppers = [
        harness.start(name, change_limit(OCRE, number), 1)
        for number, name in enumerate(names, 1)
    ]
    for number, action in schedule:
        if action == 'deliver':
            if harness.store.delayed:
                harness.store.apply_delayed_write()
        elif action == 'deadline':
            harness.now_ms += audit_trail.OPERATION_TIME_LIMIT_MS // 2
        elif not steppers[number].is_done:
            steppers[number].step(action, harness.store)
    for stepper in steppers:
        while not stepper.is_done:
            stepper.step(fakes.CallOutcome.ANSWERED, harness.store)
    harness.deliver_delayed_writes()
    for name, stepper in zip(names, steppers, strict=True):
        harness.check_outcome(name, stepper)
    assert len(harness.list_published_ids()) == 2 or any(
        stepper.error is not None for stepper in steppers
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
    # A changed object must rewrite one part, not the whole set.
    many['job-7'] = dataclasses.replace(many['job-7'], urgency=1)
    later = contents.encode_parts(dataclasses.replace(large, jobs=many))
    assert len(set(later) - set(parts)) == 1


def test_damaged_values_are_refused() -> None:
    """Guards against a set from truncated data or with a missing part."""
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


def change_limit(
    configuration: objects.Configuration, number: int
) -> objects.Configuration:
    """Return the set with another limit of queued jobs."""
    limits = dataclasses.replace(
        configuration.limits, jobs_queued=1000 + number
    )
    return dataclasses.replace(configuration, limits=limits)
