"""Sessions of agents with the owner of the workflows."""

import dataclasses

from borageshelf import clock
from borageshelf.workflows import channel
from borageshelf.workflows import targets


@dataclasses.dataclass(frozen=True)
class WithheldGrant:
    """A grant that a report has requested and that waits for a commit.

    :param sent_at_ms: elapsed time of the agent, as the report carries it
    :param received_at: when the report arrived
    """

    sent_at_ms: int
    received_at: clock.Moment


class AgentSession:
    """A session of an agent, from its hello to the next one or its end.

    :param number: counts the sessions of this owner
    :param token: fencing token of the orders of this session
    :ivar withheld: the last grant that waits; None for none
    """

    def __init__(
        self,
        number: int,
        token: int,
        target: targets.Target,
        outbox: channel.Outbox,
    ) -> None:
        self.number = number
        self.token = token
        self.target = target
        self.outbox = outbox
        self.last_received_at_ms = clock.read_elapsed_ms()
        self.withheld: WithheldGrant | None = None
