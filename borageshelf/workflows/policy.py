"""Durations that the owner of the workflows applies, from the settings."""

import dataclasses
from typing import Final

from borageshelf import node_settings

# Must outlast a takeover, which takes the 2 s of the owner's lease and the
# time to read the workflows. The tasks of a lost VM wait this long before
# they are started elsewhere.
GRANT_LIMIT_MS: Final = 5_500
# A VM may stand still for this long without a second run of its tasks: the
# longest suspension that the users' pages name.
SUSPENSION_LIMIT_MS: Final = 5_000
# The last report of an agent came up to one interval before a suspension.
REPORT_AGE_LIMIT_MS: Final = 500
# An agent notices the end of its grant within 0.1 s, and stops take up to
# 0.9 s. The rest is for a busy VM.
STOP_ALLOWANCE_MS: Final = 1_400
# The executor's clock may run 2% slow, and it accepts no lease above its
# limit.
LEASE_LIMIT_SHARE: Final = 0.92
# Added to the retention because the clocks of entries differ by seconds.
RETENTION_MARGIN_MS: Final = 30_000


@dataclasses.dataclass(frozen=True)
class OwnerPolicy:
    """Durations that every owner of a deployment uses.

    :param grant_ms: how long a target may keep its runs without an answer
        from the owner
    :param retention_ms: how long the state of an ended workflow can be read
    """

    grant_ms: int
    retention_ms: int

    @property
    def silence_limit_ms(self) -> int:
        """Time after which a silent target has ended its runs.

        Its agent stops them at the end of the grant, or as soon as a longer
        suspension ends.
        """
        suspended_ms = REPORT_AGE_LIMIT_MS + SUSPENSION_LIMIT_MS
        return max(self.grant_ms, suspended_ms) + STOP_ALLOWANCE_MS


def make_policy(settings: node_settings.NodeSettings) -> OwnerPolicy:
    """Return the policy that an entry's settings define."""
    lease_ms = round(settings.executor_lease_limit_ms * LEASE_LIMIT_SHARE)
    return OwnerPolicy(
        min(GRANT_LIMIT_MS, lease_ms),
        round(settings.status_retention_s * 1000) + RETENTION_MARGIN_MS,
    )
