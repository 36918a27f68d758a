"""Announcements of the executors beside the agents."""

import dataclasses
from typing import Final

from borageshelf.model import resources

# A delayed report is overtaken by a few others. A greater difference comes
# from a sequence number of another writer, which no later report would exceed.
OVERTAKING_REPORTS_LIMIT: Final = 30


@dataclasses.dataclass(frozen=True)
class Announcement:
    """A report of the executor beside an agent.

    An executor may restart under the same id; ``born_at_ms`` distinguishes
    its incarnations.

    :param born_at_ms: start of the incarnation, Unix milliseconds
    :param sequence: increases with each report of one incarnation
    :param labels: kind and rack
    :param leaves_deadline_ms: earliest time at which a draining executor
        leaves, Unix milliseconds
    :param clock_ms: the executor's clock at the report; 0 if it is not known
    :param cold_deadline_ms: elapsed time until which the executor is slow; 0
        if it is not
    """

    instance_id: str
    born_at_ms: int
    service: str
    address: str
    sequence: int
    capacity: resources.Resources
    labels: tuple[str, ...]
    is_draining: bool = False
    leaves_deadline_ms: int = 0
    clock_ms: int = 0
    cold_deadline_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Unique id of one incarnation of the executor."""
        return f'{self.instance_id}/{self.born_at_ms}'

    def is_newer_than(self, other: 'Announcement') -> bool:
        """Tell whether this report is newer than another one.

        Guards against a delayed report of an earlier incarnation that
        arrives after the first report of a later one.
        """
        if self.born_at_ms != other.born_at_ms:
            return self.born_at_ms > other.born_at_ms
        if self.instance_id != other.instance_id:
            return True
        overtaking_reports = other.sequence - self.sequence
        return not 0 <= overtaking_reports <= OVERTAKING_REPORTS_LIMIT
