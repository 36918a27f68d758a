"""Learned sizes and run times of job families.

Declared sizes are often wrong by a factor of ten in either direction, so the
size that is reserved for a task is learned from the use of earlier tasks of
its family. The inputs are the peak use of finished tasks and the delayed
usage samples of running ones. A ``Book`` is immutable; every observation
returns a new one.
"""

from collections.abc import Mapping
import dataclasses
import math
from typing import Final

from borageshelf.model import resources

# With fewer finished tasks the spread of the sizes is not known, and the
# declared size is reserved.
MIN_FINISHED_TASKS: Final = 3
# The weight of a task halves every 20 tasks, so the estimate follows a change
# of size within a few dozen tasks.
WEIGHT_DECAY_PER_TASK: Final = 0.966
# Tasks on a VM share processor time and their deviations cancel out, so the
# margin covers only the standard error of the mean. Memory use above the
# reservation gets tasks killed, so the memory margin covers the spread of
# single tasks.
PROCESSOR_DEVIATIONS: Final = 1.0
MEMORY_DEVIATIONS: Final = 3.0
MEMORY_MARGIN_RATIO: Final = 1.1
# Lower bound of a reservation, as a fraction of the declared size, so that a
# worker that reports no usage cannot shrink the reservation to nothing.
MIN_DECLARED_FRACTION: Final = 0.05
RUN_TIME_DEVIATIONS: Final = 2.0


@dataclasses.dataclass(frozen=True)
class Moments:
    """Exponentially decayed mean and variance of one quantity.

    The update is West's incremental algorithm (Communications of the ACM
    22(9), 1979) with decaying weights.

    :param weight: sum of the decayed weights of all values
    """

    weight: float = 0.0
    mean: float = 0.0
    variance: float = 0.0

    def include(self, value: float) -> 'Moments':
        """Return the moments after one more value."""
        weight = self.weight * WEIGHT_DECAY_PER_TASK + 1.0
        gain = 1.0 / weight
        change = value - self.mean
        mean = self.mean + gain * change
        variance = (1.0 - gain) * (self.variance + gain * change * change)
        return Moments(weight, mean, variance)

    def compute_upper_bound(self, deviations: float) -> float:
        """Return the upper end of the prediction interval of one value.

        The standard deviation is widened by ``sqrt(1 + 1 / weight)``, because
        the mean is itself estimated.

        :param deviations: standard deviations above the mean
        """
        if self.weight <= 0:
            return 0.0
        spread = self.variance * (1.0 + 1.0 / self.weight)
        return self.mean + deviations * math.sqrt(spread)


@dataclasses.dataclass(frozen=True)
class FamilyEstimate:
    """Estimates of one family.

    :param memory_peak_mb: largest memory use of a task, decayed per task
    :param running_peak: largest use in the samples of running tasks since a
        task last finished with a measured peak
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
        """Return the estimate of a family, an empty one if it is unknown."""
        return self.families.get(family, EMPTY_ESTIMATE)

    def replace(self, family: str, estimate: FamilyEstimate) -> 'Book':
        """Return a copy with the estimate of one family replaced."""
        return Book({**self.families, family: estimate})


EMPTY_ESTIMATE: Final = FamilyEstimate()


def compute_mean_upper_bound(moments: Moments, deviations: float) -> float:
    """Return the mean plus a multiple of its standard error.

    :param deviations: the multiple
    """
    if moments.weight <= 0:
        return 0.0
    standard_error = math.sqrt(moments.variance / moments.weight)
    return moments.mean + deviations * standard_error


def has_history(book: Book, family: str) -> bool:
    """Tell whether enough tasks finished to know the spread of the sizes."""
    estimate = book.find(family)
    # The decayed weights of n tasks add up to slightly less than n.
    return estimate.processor_millicores.weight >= MIN_FINISHED_TASKS * 0.95


def compute_reservation(
    book: Book, family: str, declared: resources.Resources
) -> resources.Resources:
    """Return the size to reserve for one task.

    Without history this is the maximum of the declared size and the largest
    use in the samples of running tasks. Accelerators cannot be shared, so
    their declared number is reserved.

    :param declared: size that the job declares
    """
    estimate = book.find(family)
    if not has_history(book, family):
        return declared.maximum(estimate.running_peak)
    processor_millicores = compute_mean_upper_bound(
        estimate.processor_millicores, PROCESSOR_DEVIATIONS
    )
    memory_mb = max(
        estimate.memory_mb.compute_upper_bound(MEMORY_DEVIATIONS),
        estimate.memory_peak_mb * MEMORY_MARGIN_RATIO,
        estimate.running_peak.memory_mb * MEMORY_MARGIN_RATIO,
    )
    floor_millicores = declared.processor_millicores * MIN_DECLARED_FRACTION
    floor_mb = declared.memory_mb * MIN_DECLARED_FRACTION
    return resources.Resources(
        math.ceil(max(processor_millicores, floor_millicores)),
        math.ceil(max(memory_mb, floor_mb)),
        declared.accelerators,
    )


def predict_run_times_ms(book: Book, family: str) -> tuple[int, int]:
    """Return the median and an upper bound of the run time, in milliseconds.

    Run times are assumed to be log-normal. Both values are 0 without history.
    """
    log_run = book.find(family).log_run
    if log_run.weight < MIN_FINISHED_TASKS * 0.95:
        return 0, 0
    upper = log_run.compute_upper_bound(RUN_TIME_DEVIATIONS)
    return round(math.exp(log_run.mean)), round(math.exp(min(upper, 40.0)))


def observe_running(
    book: Book, family: str, used: resources.Resources
) -> Book:
    """Include a usage sample of a running task.

    A sample can only raise the reservation, because the task may not have
    reached its peak yet.

    :param used: measured use
    """
    estimate = book.find(family)
    peak = estimate.running_peak.maximum(used)
    if peak == estimate.running_peak:
        return book
    return book.replace(
        family, dataclasses.replace(estimate, running_peak=peak)
    )


def observe_finished(
    book: Book, family: str, peak: resources.Resources, run_ms: int
) -> Book:
    """Include a task that succeeded.

    :param peak: largest measured use; with ``NOTHING`` (no sample arrived)
        only the run time is learned
    :param run_ms: run time in milliseconds, without time spent waiting
    """
    estimate = book.find(family)
    estimate = dataclasses.replace(
        estimate, log_run=estimate.log_run.include(math.log(max(run_ms, 1)))
    )
    if peak == resources.NOTHING:
        return book.replace(family, estimate)
    decayed_mb = estimate.memory_peak_mb * WEIGHT_DECAY_PER_TASK
    return book.replace(
        family,
        dataclasses.replace(
            estimate,
            processor_millicores=estimate.processor_millicores.include(
                peak.processor_millicores
            ),
            memory_mb=estimate.memory_mb.include(peak.memory_mb),
            memory_peak_mb=max(decayed_mb, float(peak.memory_mb)),
            running_peak=resources.NOTHING,
        ),
    )
