"""Durations that the owner of the workflows applies, from the settings."""

import dataclasses
from typing import Final

from borageshelf import node_settings
from borageshelf.workflows import silence

# Must outlast a takeover, which takes the 2 s of the owner's lease and the
# time to read the workflows.
GRANT_LIMIT_MS: Final = 4_400
# A silent VM may stand still for this long, at any time, without a second run
# of its tasks: the longest suspension that the users' pages name.
SUSPENSION_LIMIT_MS: Final = 5_000
# The longest suspension of the users' sites. Tasks that last can't wait for a
# longer one: rule LOST allows them 9 s from the loss of a VM to the next run.
LASTING_SUSPENSION_LIMIT_MS: Final = 4_000
# A start is void once the lease that it requests has ended.
ORDER_LIMIT_MS: Final = 5_900
# The executor's clock may run 2% slow, and it accepts no lease above its
# limit.
LEASE_LIMIT_SHARE: Final = 0.92
# Added to the retention because the clocks of entries differ by seconds.
RETENTION_MARGIN_MS: Final = 30_000


@dataclasses.dataclass(frozen=True)
class OwnerPolicy:
    """Durations that every owner of a deployment uses.

    :param grant_ms: how long the runs of a target may go on, by the clock of
        its executor, without an answer from the owner
    :param retention_ms: how long the state of an ended workflow can be read
    :param remote_factor: how many times as long tasks take on another rack
        than they want; nothing waits for that rack if it is 1
    """

    grant_ms: int
    retention_ms: int
    remote_factor: float = 1.0

    @property
    def silence_limits(self) -> silence.Limits:
        """Times after the last report by which a silent target has no run."""
        return silence.Limits(
            self.grant_ms + LASTING_SUSPENSION_LIMIT_MS,
            self.grant_ms + SUSPENSION_LIMIT_MS,
        )


def make_policy(settings: node_settings.NodeSettings) -> OwnerPolicy:
    """Return the policy that an entry's settings define."""
    lease_ms = round(settings.executor_lease_limit_ms * LEASE_LIMIT_SHARE)
    return OwnerPolicy(
        min(GRANT_LIMIT_MS, lease_ms),
        round(settings.status_retention_s * 1000) + RETENTION_MARGIN_MS,
        settings.remote_factor,
    )
