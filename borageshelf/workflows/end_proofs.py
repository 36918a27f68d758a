"""Which signs prove that a run has ended; pure decisions.

A sign that can be seen while the run goes on proves nothing: it only makes the
owner place nothing on the target and ask the platform's list of VMs. A run is
dropped on a proof alone. ``docs/platform.md`` has the same table.
"""

import dataclasses
import enum
from typing import Final

from borageshelf.workflows import messages
from borageshelf.workflows import policy

# The list of VMs is read from this long before runs of a silent target would
# be given up.
LISTING_LEAD_MS: Final = 1_500
# The pages of a list are read one by one and may change meanwhile, so one
# reading of several pages may miss an executor.
MISSED_READINGS_LIMIT: Final = 2
# A list that fails for so long can't be waited for.
UNREADABLE_LIMIT_MS: Final = 1_200
# A suspected executor has answered, or its lease has ended, before that.
SUSPICION_LIMIT_MS: Final = 10_000
# Bounds the wait for an agent that never comes back on a VM that is up.
LISTED_EXTENSION_MS: Final = 20_000


class Sign(enum.Enum):
    """What suggests or proves that a run has ended, or never began."""

    # Of an incarnation of the executor; the values are those of ``GoneCause``.
    NOTHING_LISTENS = 'nothing listens'
    LEFT = 'left'
    OTHER_ANSWERS = 'other executor answers'
    OTHER_ANNOUNCED = 'other incarnation announced'
    REPLACED = 'replaced'
    RESTARTED = 'started again'
    LEASE_ENDED = 'lease ended'
    NOT_LISTED_AS_UP = 'not listed as up'
    # Of one run.
    NOT_IN_SNAPSHOT = 'not in the snapshot'
    SILENCE = 'silence'
    ORDER_EXPIRED = 'order expired'


@dataclasses.dataclass(frozen=True)
class Worth:
    """What a sign is worth.

    :param is_proof: whether no run goes on when it is seen
    :param order_limits: for a run whose start may reach the next incarnation:
        the multiple of ``policy.ORDER_LIMIT_MS`` after which it has ended. An
        incarnation that may be back has begun its clock anew, so the run has a
        whole lease there; one that was seen gets one more for a start that is
        very late.
    """

    is_proof: bool
    order_limits: int = 1


WORTH: Final = {
    Sign.NOTHING_LISTENS: Worth(False),
    Sign.LEFT: Worth(False),
    Sign.OTHER_ANSWERS: Worth(False, 3),
    Sign.OTHER_ANNOUNCED: Worth(False, 3),
    Sign.REPLACED: Worth(True, 3),
    Sign.RESTARTED: Worth(True, 3),
    Sign.LEASE_ENDED: Worth(True, 2),
    Sign.NOT_LISTED_AS_UP: Worth(True),
    Sign.NOT_IN_SNAPSHOT: Worth(True),
    Sign.SILENCE: Worth(True),
    Sign.ORDER_EXPIRED: Worth(True),
}


def is_proof(cause: messages.GoneCause) -> bool:
    """Tell whether a report that an executor has gone proves it."""
    return WORTH[Sign(cause.value)].is_proof


def compute_order_limit_ms(cause: messages.GoneCause) -> int:
    """Return how long a start may be on its way to the next incarnation."""
    return WORTH[Sign(cause.value)].order_limits * policy.ORDER_LIMIT_MS


@dataclasses.dataclass(frozen=True)
class Reading:
    """A reading of the platform's list of VMs.

    :param executor_ids: those of all executors that are up
    :param requested_at_ms: elapsed time at which it was requested
    :param is_one_page: whether the list was read at once
    """

    executor_ids: frozenset[str]
    requested_at_ms: int
    is_one_page: bool = True


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """A report that an executor may have gone, which is no proof by itself.

    :param received_at_ms: elapsed time
    :param announced_at_ms: elapsed time at which the owner learned of its
        incarnation; an earlier reading may have shown another one
    :param missed_readings: number of the last readings that did not list the
        executor as up
    :param is_listed_up: what the last reading said; None before the first one
    """

    gone: messages.ExecutorGone
    received_at_ms: int
    announced_at_ms: int = 0
    missed_readings: int = 0
    is_listed_up: bool | None = None

    @property
    def executor_id(self) -> str:
        """Id of the suspected executor."""
        return find_executor_id(self.gone.incarnation)

    @property
    def deadline_ms(self) -> int:
        """Elapsed time after which other proofs decide."""
        return self.received_at_ms + SUSPICION_LIMIT_MS


def find_executor_id(incarnation: str) -> str:
    """Return the executor id of an incarnation."""
    return incarnation.partition('/')[0]


def has_restarted(incarnation: str, announced: str) -> bool:
    """Tell whether another incarnation under the same id was announced."""
    executor_id = find_executor_id(incarnation)
    return announced != incarnation and (
        find_executor_id(announced) == executor_id
    )


def weigh_reading(suspicion: Suspicion, reading: Reading) -> Suspicion:
    """Return a suspicion after a reading of the list.

    A reading that was requested before the report may be older than the end.
    """
    if reading.requested_at_ms < suspicion.received_at_ms:
        return suspicion
    is_up = suspicion.executor_id in reading.executor_ids
    return dataclasses.replace(
        suspicion,
        missed_readings=0 if is_up else suspicion.missed_readings + 1,
        is_listed_up=is_up,
    )


def is_confirmed(
    suspicion: Suspicion, reading: Reading, listed_at_ms: int | None
) -> bool:
    """Tell whether the list proves a suspicion.

    The list may not know a new incarnation yet, so it must have shown it.

    :param listed_at_ms: when a reading was requested that listed the executor
        as up; None if none did
    """
    limit = 1 if reading.is_one_page else MISSED_READINGS_LIMIT
    was_listed = (
        listed_at_ms is not None and listed_at_ms >= suspicion.announced_at_ms
    )
    return was_listed and suspicion.missed_readings >= limit


@dataclasses.dataclass(frozen=True)
class OpenOrder:
    """A start on its way to an executor id whose incarnation has gone.

    :param ordered_by_ms: elapsed time by which it was sent
    :param expiry_ms: when it is void if no incarnation is back
    :param is_agent_in_touch: whether the agent would tell of one
    :param is_list_read: whether the list was read meanwhile
    :param missed_readings: number of the last readings that did not list the
        id as up
    """

    ordered_by_ms: int
    expiry_ms: int
    is_agent_in_touch: bool
    is_list_read: bool
    missed_readings: int


def has_expired(order: OpenOrder, now_ms: int) -> bool:
    """Tell whether no run of an open order goes on or begins later.

    An incarnation that may be back has begun its clock anew, so that it takes
    a late start and gives its run a whole lease.
    """
    limits = WORTH[Sign.RESTARTED].order_limits
    back_ms = order.ordered_by_ms + limits * policy.ORDER_LIMIT_MS
    is_away = order.missed_readings >= MISSED_READINGS_LIMIT
    if is_away and order.expiry_ms < back_ms:
        # No incarnation was seen, and none is up.
        return now_ms >= order.ordered_by_ms + policy.ORDER_LIMIT_MS
    if order.is_agent_in_touch and not order.is_list_read:
        return now_ms >= order.expiry_ms
    return now_ms >= max(order.expiry_ms, back_ms)


@dataclasses.dataclass(frozen=True)
class SilentRun:
    """What is known of a run on a target that is silent.

    :param deadline_ms: elapsed time at which it has ended unless suspensions
        add up
    :param last_deadline_ms: the latest such time of all runs there
    :param is_lasting: whether its task lasts
    :param is_executor_known: whether the owner knows the executor's id
    :param missed_readings: as in ``Suspicion``
    """

    deadline_ms: int
    last_deadline_ms: int
    is_lasting: bool
    is_executor_known: bool
    missed_readings: int


def has_ended_in_silence(
    run: SilentRun, is_list_readable: bool, now_ms: int
) -> bool:
    """Tell whether a run of a silent target counts as ended.

    Suspensions may add up in one silence, so the deadline alone proves nothing
    of a VM that is up.
    """
    if now_ms < run.deadline_ms:
        return False
    last_ms = run.last_deadline_ms + LISTED_EXTENSION_MS
    if not is_list_readable or now_ms >= last_ms:
        return True
    # Rule LOST allows a lasting task no wait for the VM of another one.
    if run.is_lasting and not run.is_executor_known:
        return True
    return run.missed_readings >= MISSED_READINGS_LIMIT
