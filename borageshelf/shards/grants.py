"""Rules for grant deadlines: their length, their limit and their expiry.

A grant permits an agent to run one attempt until a deadline. The owner of a
shard commits horizons, past which none of its grants reaches, so the next
owner knows when every attempt of an earlier epoch has ended. The rules that
prove an attempt dead are in section 4 of the design page.
"""

import dataclasses
from typing import Final

from borageshelf.model import objects
from borageshelf.shards import records

BATCH_HORIZON_MS: Final = 15 * 60 * 1000
MONITOR_HORIZON_MS: Final = 60 * 60 * 1000
GRANT_LENGTH_MS: Final = 30_000
CLOCK_SKEW_BOUND_MS: Final = 2_000


@dataclasses.dataclass(frozen=True)
class GrantPolicy:
    """Computes grant deadlines and horizons; all times in milliseconds.

    :param grant_length_ms: time from the issue of a grant to its deadline
    :param batch_horizon_ms: time from a commit to the horizon of batch work
    :param monitor_horizon_ms: the same for monitors
    :param clock_skew_bound_ms: largest difference between two clocks
    """

    grant_length_ms: int = GRANT_LENGTH_MS
    batch_horizon_ms: int = BATCH_HORIZON_MS
    monitor_horizon_ms: int = MONITOR_HORIZON_MS
    clock_skew_bound_ms: int = CLOCK_SKEW_BOUND_MS

    def extend(
        self, horizons: records.Horizons, now_ms: int
    ) -> records.Horizons:
        """Return horizons at their full length from now, never shortened."""
        return records.Horizons(
            max(horizons.batch_deadline_ms, now_ms + self.batch_horizon_ms),
            max(
                horizons.monitor_deadline_ms,
                now_ms + self.monitor_horizon_ms,
            ),
        )

    def needs_extension(self, horizons: records.Horizons, now_ms: int) -> bool:
        """Tell whether less than two thirds of either horizon remain."""
        batch_left_ms = horizons.batch_deadline_ms - now_ms
        monitor_left_ms = horizons.monitor_deadline_ms - now_ms
        return (
            3 * batch_left_ms < 2 * self.batch_horizon_ms
            or 3 * monitor_left_ms < 2 * self.monitor_horizon_ms
        )

    def compute_deadline_ms(
        self,
        work_class: objects.WorkClass,
        horizons: records.Horizons,
        now_ms: int,
    ) -> int:
        """Return the deadline of a grant issued now, at most the horizon."""
        limit_ms = horizons.get_deadline_ms(work_class)
        return min(now_ms + self.grant_length_ms, limit_ms)

    def has_expired(self, deadline_ms: int, now_ms: int) -> bool:
        """Tell whether a deadline has passed on every clock.

        The clock skew bound is added, because the agent that enforces the
        deadline reads another clock.
        """
        return now_ms > deadline_ms + self.clock_skew_bound_ms
