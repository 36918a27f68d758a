"""What fillers do to the tail latency of serving tasks, by pair of images.

Most fillers disturb a serving task not at all and a few do so severely; which
ones depends on both images. The pairs are learned by ``interference`` from
the reports of all targets. The load of a serving task is not known and moves
its quiet latency up and down for seconds, so a single measurement says
little.
"""

from collections import abc
import dataclasses
import math
from typing import Final

from borageshelf.decisions import interference

# The load of the users' serving tasks swings by half within ten seconds,
# which moves the log of their latency by about 0.3 for several reports.
_LOAD_VARIANCE: Final = 0.4
# Effects are kept for a quarter of a VM: the prior then says that a filler of
# sixteen cores of 64 raises the latency by half.
_SHARE_SCALE: Final = 4.0
UNKNOWN_EFFECT: Final = interference.PRIOR_EFFECT
# Latency as a share of its target, where none has been reported.
UNKNOWN_SHARE: Final = 0.5
# An expected share above this is no place for a filler.
RISK_LIMIT: Final = 1.1
# Below this, targets are equally good.
RISK_FREE: Final = 0.8


@dataclasses.dataclass(frozen=True)
class Sample:
    """One report of a serving task.

    :param used_shares: processors in use by each filler image, as a share of
        the VM, in the time that the latency covers
    """

    serving_image: str
    latency_ms: int
    used_shares: abc.Mapping[str, float]


class FillerEffects:
    """Learned effects of all pairs."""

    def __init__(self) -> None:
        self._table = interference.Table()

    def observe(self, sample: Sample, now_ms: int) -> None:
        """Include one report."""
        shares = {
            image: share * _SHARE_SCALE
            for image, share in sample.used_shares.items()
        }
        self._table = interference.observe(
            self._table,
            interference.Observation(
                sample.serving_image,
                max(sample.latency_ms, 1),
                0.0,
                shares,
                now_ms,
                _LOAD_VARIANCE,
            ),
        )

    def find(
        self, serving_image: str, filler_image: str, now_ms: int
    ) -> float:
        """Return the rise of the log latency for a quarter of a VM."""
        mean, _ = interference.find_effect(
            self._table, serving_image, filler_image, now_ms
        )
        return mean

    def list_pairs(self) -> tuple[tuple[str, str, float], ...]:
        """Return serving image, filler image and effect of known pairs."""
        return tuple(
            (serving, filler, round(known.mean, 2))
            for (serving, filler), known in self._table.pairs.items()
        )

    def find_risk(
        self,
        quiet_shares: abc.Mapping[str, float],
        filler_sizes: abc.Mapping[str, float],
        now_ms: int,
    ) -> float:
        """Return the expected latency, as a share of the target.

        :param quiet_shares: share of each serving image without fillers
        :param filler_sizes: sizes of the fillers by image, as shares of the
            VM, the new one included
        """
        worst = 0.0
        for image, quiet in quiet_shares.items():
            rise = sum(
                find_log_rise(self.find(image, filler, now_ms), size)
                for filler, size in filler_sizes.items()
            )
            worst = max(worst, quiet * math.exp(rise))
        return worst


def find_log_rise(effect: float, size_share: float) -> float:
    """Return by how much a filler raises the log latency."""
    return effect * size_share * _SHARE_SCALE


def find_quiet_share(
    latency_share: float,
    effects: abc.Mapping[str, float],
    used_shares: abc.Mapping[str, float],
) -> float:
    """Return what a latency would be without the fillers.

    :param effects: by filler image
    """
    rise = sum(
        find_log_rise(effects[image], share)
        for image, share in used_shares.items()
    )
    return latency_share * math.exp(-rise)
