"""How long a target may go on without word from the owner."""

from typing import Final

# Long enough for a takeover, which takes the lease of 2 s and the time to
# read the workflows; short enough that work on a lost VM starts again soon.
GRANT_LIMIT_MS: Final = 5_500
# The executor's clock may run 2% slow, and it takes no lease above its limit.
LEASE_SHARE: Final = 0.92


def find_grant_ms(executor_lease_limit_ms: int) -> int:
    """Return the length of a grant."""
    return min(GRANT_LIMIT_MS, round(executor_lease_limit_ms * LEASE_SHARE))
