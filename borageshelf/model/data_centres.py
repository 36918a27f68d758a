"""What the owner states about the data centre of an agent."""

import enum


class ServiceState(enum.Enum):
    """Whether the tasks of a data centre may be started.

    The values are part of the messages between processes. ``NOT_STATED`` is
    the default of owners that do not follow evacuations. ``UNKNOWN``: the
    owner follows them, but what it knows is too old.
    """

    NOT_STATED = 0
    IN_SERVICE = 1
    EVACUATED = 2
    UNKNOWN = 3
