"""What the owner of the workflows promises, from the settings."""

import dataclasses
from typing import Final

from borageshelf import node_settings

# Long enough for a takeover, which takes the lease of 2 s and the time to
# read the workflows; short enough that work on a lost VM starts again soon.
GRANT_LIMIT_MS: Final = 5_500
# The executor's clock may run 2% slow, and it takes no lease above its limit.
LEASE_SHARE: Final = 0.92
# Clocks of entries differ by seconds; a state is kept that much longer.
RETENTION_MARGIN_MS: Final = 30_000


@dataclasses.dataclass(frozen=True)
class OwnerPolicy:
    """Lengths that every owner of a deployment uses.

    :param grant_ms: how long a target may go on without word from the owner
    :param retention_ms: how long the end of a workflow is shown
    """

    grant_ms: int
    retention_ms: int


def make_policy(settings: node_settings.NodeSettings) -> OwnerPolicy:
    """Return the policy that follows from an entry's settings."""
    lease_ms = round(settings.executor_lease_limit_ms * LEASE_SHARE)
    return OwnerPolicy(
        min(GRANT_LIMIT_MS, lease_ms),
        round(settings.status_retention_s * 1000) + RETENTION_MARGIN_MS,
    )
