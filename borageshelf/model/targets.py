"""What a target announces about itself."""

import dataclasses

from borageshelf.model import resources


@dataclasses.dataclass(frozen=True)
class Announcement:
    """The newest report of the executor beside an agent.

    An executor may start again under the same id; ``born_at_ms`` tells the
    two apart.

    :param sequence: counts up within one life of the executor
    :param labels: kind and rack
    :param leaves_deadline_ms: least time at which a draining executor leaves
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

    @property
    def incarnation(self) -> str:
        """Identity of one life of the executor."""
        return f'{self.instance_id}/{self.born_at_ms}'

    def is_newer_than(self, other: 'Announcement') -> bool:
        """Tell whether this report is newer than another one.

        A delayed report of an earlier life may arrive after the first one
        of a later life.
        """
        if self.born_at_ms != other.born_at_ms:
            return self.born_at_ms > other.born_at_ms
        if self.instance_id != other.instance_id:
            return True
        return self.sequence > other.sequence
