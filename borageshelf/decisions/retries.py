"""Retry decisions: exponential backoff with jitter, and the retry budget.

The jitter is derived from a hash of the key and the number of failures, so
the delay is a pure function of both and a new owner computes the same one.
"""

import dataclasses
from typing import Final

import xxhash

BACKOFF_BASE_MS: Final = 500
BACKOFF_LIMIT_MS: Final = 60_000
# A target refuses a start when the owner's view of its free capacity is
# stale; one exchange of reports usually corrects it.
REFUSED_BACKOFF_MS: Final = 100
# Largest number of retries as a share of the first tries, so that a failing
# service gets at most a tenth more load.
RETRY_SHARE: Final = 0.1
# Executors that may break a call off before it ends. A call that crashes its
# executor would otherwise take down one after the other until its deadline.
BROKEN_TRIES_LIMIT: Final = 2
# Largest unused budget: an hour without retries must not save up enough for a
# retry storm.
BUDGET_LIMIT_RETRIES: Final = 20.0


@dataclasses.dataclass(frozen=True)
class Budget:
    """Token bucket of the retries of one service.

    One retry is available before the first ten calls; otherwise a service
    with little traffic could never retry.

    :param tokens: number of retries that may be sent now
    """

    tokens: float = 1.0


def earn_budget(budget: Budget) -> Budget:
    """Return the budget after one more first try."""
    return Budget(min(budget.tokens + RETRY_SHARE, BUDGET_LIMIT_RETRIES))


def spend_budget(budget: Budget) -> Budget | None:
    """Return the budget after one more retry, or None if it is used up."""
    if budget.tokens < 1.0:
        return None
    return Budget(budget.tokens - 1.0)


def may_retry(
    idempotent: bool,
    ran: bool,
    forwarded_bytes: int,
    now_ms: int,
    deadline_ms: int,
    broken_tries: int = 0,
) -> bool:
    """Tell whether a failed try of a call may be followed by another one.

    :param ran: whether the try may have run; False only if it is proved
        that it did not
    :param forwarded_bytes: bytes of the answer that the caller has already
        received; a second try could continue them with a different answer
    :param broken_tries: tries that an executor took and did not answer
    """
    if forwarded_bytes or now_ms >= deadline_ms:
        return False
    if broken_tries >= BROKEN_TRIES_LIMIT:
        return False
    return idempotent or not ran


def compute_backoff_ms(key: str, failures: int) -> int:
    """Return the delay before the next try, in milliseconds.

    The delay is uniform between half and all of
    ``BACKOFF_BASE_MS * 2 ** (failures - 1)``, bounded by
    ``BACKOFF_LIMIT_MS`` ("equal jitter").

    :param key: identity of the work, which spreads the retries of many tasks
    :param failures: failures so far, at least 1
    """
    exponent = min(max(failures, 1) - 1, 16)
    ceiling_ms = min(BACKOFF_BASE_MS << exponent, BACKOFF_LIMIT_MS)
    digest = int(xxhash.xxh64_intdigest(f'{key}:{failures}'.encode()))
    half_ms = ceiling_ms // 2
    return half_ms + digest % (half_ms + 1)
