"""Learned sizes and run times per job family.

Declared sizes are often wrong by a factor of ten in either direction, so the
size that is reserved for a task comes from what earlier tasks of its family
used. Callers feed the peaks of finished tasks and the lagging samples of
running ones; placement reads the reservation. A ``Book`` is immutable, and
every observation returns a new one.
"""

from collections.abc import Mapping
import dataclasses
import math
from typing import Final

from borageshelf.model import resources

# Below this many finished tasks the spread of the sizes is not known, and
# the declared size is used.
FEWEST_TASKS: Final = 3
# The weight of a task halves every 20 tasks, so a family whose size changes
# is learned again within a few dozen tasks.
DECAY_PER_TASK: Final = 0.966
# Processor time is shared by the tasks of a VM and their deviations cancel
# out, so the mean is reserved with the error of the mean itself. Memory above
# the reservation kills tasks, so it is reserved by the spread of one task.
PROCESSOR_DEVIATIONS: Final = 1.0
MEMORY_DEVIATIONS: Final = 3.0
MEMORY_MARGIN: Final = 1.1
# A reservation never falls below this fraction of the declared size, so a
# worker that reports no usage cannot make a family look free.
SMALLEST_FRACTION: Final = 0.05
RUN_TIME_DEVIATIONS: Final = 2.0


@dataclasses.dataclass(frozen=True)
class Moments:
    """Decayed mean and variance of one quantity.

    The update is West's incremental algorithm (Communications of the ACM
    22(9), 1979) with a decayed weight.
    """

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    def include(self, value: float) -> 'Moments':
        """Return the moments with one more value."""
        weight = self.weight * DECAY_PER_TASK + 1.0
        gain = 1.0 / weight
        change = value - self.mean
        mean = self.mean + gain * change
        variance = (1.0 - gain) * (self.variance + gain * change * change)
        return Moments(weight, mean, variance)

    def find_upper(self, deviations: float) -> float:
        """Return the mean plus deviations of one further value.

        The spread is widened by ``sqrt(1 + 1 / weight)`` (the prediction
        interval of a mean that is itself estimated).
        """
        if self.weight <= 0:
            return 0.0
        spread = self.variance * (1.0 + 1.0 / self.weight)
        return self.mean + deviations * math.sqrt(spread)


@dataclasses.dataclass(frozen=True)
class FamilyEstimate:
    """What is known about one family.

    :param running_peak: largest use seen in samples of running tasks since
        the last finished one
    :param memory_peak_mb: decayed largest memory of a task
    :param log_run: moments of the natural logarithm of run times in ms
    """

    processor_millicores: Moments = Moments()
    memory_mb: Moments = Moments()
    memory_peak_mb: float = 0.0
    running_peak: resources.Resources = resources.NOTHING
    log_run: Moments = Moments()


@dataclasses.dataclass(frozen=True)
class Book:
    """Estimates of all families."""

    families: Mapping[str, FamilyEstimate] = dataclasses.field(
        default_factory=dict
    )

    def find(self, family: str) -> FamilyEstimate:
        """Return the estimate of a family; an empty one if unknown."""
        return self.families.get(family, UNKNOWN)

    def replace(self, family: str, estimate: FamilyEstimate) -> 'Book':
        """Return a book with another estimate for one family."""
        return Book({**self.families, family: estimate})


UNKNOWN: Final = FamilyEstimate()


def find_mean_upper(moments: Moments, deviations: float) -> float:
    """Return the mean plus deviations of the estimated mean."""
    if moments.weight <= 0:
        return 0.0
    error = math.sqrt(moments.variance / moments.weight)
    return moments.mean + deviations * error


def has_history(book: Book, family: str) -> bool:
    """Tell whether enough tasks finished for the spread to be known."""
    known = book.find(family)
    return known.processor_millicores.weight >= FEWEST_TASKS * 0.95


def compute_reservation(
    book: Book, family: str, declared: resources.Resources
) -> resources.Resources:
    """Return the size to reserve for one task.

    Without history the declared size is reserved, or the largest use seen
    if that is larger. Accelerators are whole and are never reduced.

    :param declared: size that the job declares
    """
    known = book.find(family)
    if not has_history(book, family):
        return declared.maximum(known.running_peak)
    processor = find_mean_upper(
        known.processor_millicores, PROCESSOR_DEVIATIONS
    )
    memory = max(
        known.memory_mb.find_upper(MEMORY_DEVIATIONS),
        known.memory_peak_mb * MEMORY_MARGIN,
        known.running_peak.memory_mb * MEMORY_MARGIN,
    )
    floor_millicores = declared.processor_millicores * SMALLEST_FRACTION
    floor_mb = declared.memory_mb * SMALLEST_FRACTION
    return resources.Resources(
        math.ceil(max(processor, floor_millicores)),
        math.ceil(max(memory, floor_mb)),
        declared.accelerators,
    )


def predict_run_times_ms(book: Book, family: str) -> tuple[int, int]:
    """Return the median and a cautious upper run time in milliseconds.

    Run times are taken as log-normal. Both values are 0 without history.
    """
    log_run = book.find(family).log_run
    if log_run.weight < FEWEST_TASKS * 0.95:
        return 0, 0
    upper = log_run.find_upper(RUN_TIME_DEVIATIONS)
    return round(math.exp(log_run.mean)), round(math.exp(min(upper, 40.0)))


def observe_running(
    book: Book, family: str, used: resources.Resources
) -> Book:
    """Include a usage sample of a task that still runs.

    A sample can only raise the reservation, because the task may not have
    reached its peak yet.
    """
    known = book.find(family)
    peak = known.running_peak.maximum(used)
    if peak == known.running_peak:
        return book
    return book.replace(family, dataclasses.replace(known, running_peak=peak))


def observe_finished(
    book: Book, family: str, peak: resources.Resources, run_ms: int
) -> Book:
    """Include a task that succeeded.

    :param peak: largest measured use; ``NOTHING`` if no sample arrived,
        which then teaches the run time only
    :param run_ms: run time in milliseconds, without waiting
    """
    known = book.find(family)
    known = dataclasses.replace(
        known, log_run=known.log_run.include(math.log(max(run_ms, 1)))
    )
    if peak == resources.NOTHING:
        return book.replace(family, known)
    decayed_mb = known.memory_peak_mb * DECAY_PER_TASK
    return book.replace(
        family,
        dataclasses.replace(
            known,
            processor_millicores=known.processor_millicores.include(
                peak.processor_millicores
            ),
            memory_mb=known.memory_mb.include(peak.memory_mb),
            memory_peak_mb=max(decayed_mb, float(peak.memory_mb)),
            running_peak=resources.NOTHING,
        ),
    )
