"""Resource vectors of VMs and tasks."""

import dataclasses

from borageshelf.model import numbers


@dataclasses.dataclass(frozen=True)
class Resources:
    """An amount of each resource, of a VM or of a task.

    :param processor_millicores: processor capacity in thousandths of a core
    :param memory_mb: memory in megabytes
    :param accelerators: number of whole accelerators
    """

    processor_millicores: numbers.Number = 0
    memory_mb: numbers.Number = 0
    accelerators: numbers.Number = 0

    def plus(self, other: 'Resources') -> 'Resources':
        """Return the sum of both vectors."""
        return Resources(
            self.processor_millicores + other.processor_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Return the difference; components may be negative."""
        return Resources(
            self.processor_millicores - other.processor_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def maximum(self, other: 'Resources') -> 'Resources':
        """Return the component-wise maximum of both vectors."""
        return Resources(
            max(self.processor_millicores, other.processor_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits_in(self, other: 'Resources') -> bool:
        """Tell whether no component exceeds the other vector's."""
        return (
            self.processor_millicores <= other.processor_millicores
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )


NOTHING = Resources()
