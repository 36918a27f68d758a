"""When the runs of a target that reports no more have ended.

A lease ends on the executor's clock, which stands still while the VM is
suspended. So runs may outlive a grant by the time of all suspensions, whatever
becomes of the agent.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Deadlines:
    """Elapsed times at which the runs of a target have certainly ended.

    :param lasting_ms: for runs of tasks that last
    :param other_ms: for all other runs
    """

    lasting_ms: int
    other_ms: int

    @property
    def first_ms(self) -> int:
        """The earlier one of both deadlines."""
        return min(self.lasting_ms, self.other_ms)

    def extend(self, later: 'Deadlines') -> 'Deadlines':
        """Return the later one of each deadline; none ever shortens."""
        return Deadlines(
            max(self.lasting_ms, later.lasting_ms),
            max(self.other_ms, later.other_ms),
        )


@dataclasses.dataclass(frozen=True)
class Limits:
    """Times after the last sign of a target by which its runs have ended.

    :param lasting_ms: for runs of tasks that last
    :param other_ms: for all other runs
    """

    lasting_ms: int
    other_ms: int

    def count_from(self, at_ms: int) -> Deadlines:
        """Return the deadlines, counted from an elapsed time."""
        return Deadlines(at_ms + self.lasting_ms, at_ms + self.other_ms)
