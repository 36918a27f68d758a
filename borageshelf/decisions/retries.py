"""Retry decisions: exponential backoff with jitter, and the retry budget.

The jitter is derived from a hash of the key and the number of failures, so
that the decision is a pure function and a new owner computes the same delay.
"""

import dataclasses
from typing import Final

import xxhash

BACKOFF_BASE_MS: Final = 500
BACKOFF_LIMIT_MS: Final = 60_000
# A target that refused a start has stale free capacity in the owner's view;
# one exchange of reports usually corrects it.
REFUSED_BACKOFF_MS: Final = 100
# Retries are bounded to this share of first tries, so that a failing service
# gets at most a tenth more load.
RETRY_SHARE: Final = 0.1
# Unused budget is kept for this many retries only; an hour of quiet must not
# pay for a storm.
BUDGET_LIMIT: Final = 20.0


@dataclasses.dataclass(frozen=True)
class Budget:
    """Retries that may be sent.

    One retry is available before the first ten calls, otherwise a service
    with little traffic could never retry.
    """

    tokens: float = 1.0


def earn_budget(budget: Budget) -> Budget:
    """Return the budget after one more first try."""
    return Budget(min(budget.tokens + RETRY_SHARE, BUDGET_LIMIT))


def spend_budget(budget: Budget) -> Budget | None:
    """Return the budget after one more retry, or None if it is used up."""
    if budget.tokens < 1.0:
        return None
    return Budget(budget.tokens - 1.0)


def may_retry(
    idempotent: bool,
    ran: bool,
    bytes_passed: int,
    now_ms: int,
    deadline_ms: int,
) -> bool:
    """Tell whether a failed try of a call may be followed by another one.

    :param ran: whether the try may have run; False needs proof
    :param bytes_passed: bytes of the answer that the caller already has; a
        second try could continue them with a different answer
    """
    if bytes_passed or now_ms >= deadline_ms:
        return False
    return idempotent or not ran


def find_backoff_ms(key: str, failures: int) -> int:
    """Return the delay before the next try, in milliseconds.

    The delay is uniform between half and all of
    ``BACKOFF_BASE_MS * 2 ** (failures - 1)``, bounded by
    ``BACKOFF_LIMIT_MS`` ("equal jitter").

    :param key: identity of the work; spreads retries of many tasks
    :param failures: failures so far, at least 1
    """
    exponent = min(max(failures, 1) - 1, 16)
    ceiling_ms = min(BACKOFF_BASE_MS << exponent, BACKOFF_LIMIT_MS)
    digest = int(xxhash.xxh64_intdigest(f'{key}:{failures}'.encode()))
    half_ms = ceiling_ms // 2
    return half_ms + digest % (half_ms + 1)
