"""Retry decisions: exponential backoff with jitter.

The jitter is derived from a hash of the key and the number of failures, so
that the decision is a pure function and a new owner computes the same delay.
"""

from typing import Final

import xxhash

BACKOFF_BASE_MS: Final = 500
BACKOFF_LIMIT_MS: Final = 60_000
# A target that refused a start has stale free capacity in the owner's view;
# one exchange of reports usually corrects it.
REFUSED_BACKOFF_MS: Final = 100


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
