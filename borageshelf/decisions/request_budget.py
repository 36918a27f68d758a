"""Chooses the connections that a process closes to stay within its limits.

Answers the load of callers that nobody controls: many connections, requests
that stop short of their end, and answers that their callers do not take. Each
of them holds memory and a descriptor.
"""

from collections import abc
import dataclasses
import enum
from typing import Final

# A request without progress for so long is closed before one that goes on.
STALLED_AFTER_MS: Final = 1_000
# Closing begins at a limit and goes on to this share below it, so that the
# connections are not looked at again for each received segment.
SPARE_DIVISOR: Final = 16


class State(enum.IntEnum):
    """What a connection waits for.

    Values are in the order in which connections are closed for others.
    """

    UNFINISHED = 1
    """For the rest of a request, or for its first request."""
    UNTAKEN = 2
    """For the caller to take an answer; closed for others once it stalls."""
    IDLE = 3
    """For the next request."""
    COMPLETE = 4
    """For an answer; not closed for others."""


class Cause(enum.StrEnum):
    """Why a connection is closed."""

    DEADLINE = 'deadline'
    MEMORY = 'memory'
    CONNECTIONS = 'connections'


@dataclasses.dataclass(frozen=True)
class Connection:
    """A connection and what it holds.

    :param progress_at_ms: elapsed time of the last progress of its request,
        or at which its answer began to wait for the caller
    :param deadline_ms: elapsed time after which it is closed; 0 for none
    """

    number: int
    state: State
    held_bytes: int
    progress_at_ms: int
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of a process.

    :param held_bytes: bytes that all connections hold together
    :param connections: number of connections
    """

    held_bytes: int
    connections: int


@dataclasses.dataclass(frozen=True)
class Closing:
    """A connection that is closed now."""

    number: int
    cause: Cause


def choose_closings(
    connections: abc.Sequence[Connection], limits: Limits, now_ms: int
) -> list[Closing]:
    """Return the connections to close, in this order.

    Those past their deadline come first. If a limit is exceeded, requests
    without progress follow, longest first, then answers that their callers do
    not take, then the other unfinished requests, largest first, and then
    connections that are idle between requests.
    """
    closings = []
    candidates = []
    held_bytes = count = 0
    for connection in connections:
        if 0 < connection.deadline_ms <= now_ms:
            closings.append(Closing(connection.number, Cause.DEADLINE))
            continue
        held_bytes += connection.held_bytes
        count += 1
        if can_close(connection, now_ms):
            candidates.append(connection)
    is_memory_short = held_bytes > limits.held_bytes
    is_count_high = count > limits.connections
    if not is_memory_short and not is_count_high:
        return closings
    target_bytes = limits.held_bytes - limits.held_bytes // SPARE_DIVISOR
    target_count = limits.connections - limits.connections // SPARE_DIVISOR
    candidates.sort(key=lambda found: _rank(found, now_ms))
    for connection in candidates:
        is_memory_short = is_memory_short and held_bytes > target_bytes
        is_count_high = is_count_high and count > target_count
        if is_memory_short:
            cause = Cause.MEMORY
        elif is_count_high:
            cause = Cause.CONNECTIONS
        else:
            break
        closings.append(Closing(connection.number, cause))
        held_bytes -= connection.held_bytes
        count -= 1
    return closings


def can_close(connection: Connection, now_ms: int) -> bool:
    """Tell whether a connection may be closed for others."""
    if connection.state is State.UNTAKEN:
        return is_stalled(connection.progress_at_ms, now_ms)
    return connection.state is not State.COMPLETE


def is_stalled(progress_at_ms: int, now_ms: int) -> bool:
    """Tell whether a request or an answer counts as stalled.

    :param progress_at_ms: elapsed time of its last progress
    """
    return now_ms - progress_at_ms >= STALLED_AFTER_MS


def _rank(connection: Connection, now_ms: int) -> tuple[int, int, int]:
    still_ms = now_ms - connection.progress_at_ms
    if connection.state is State.IDLE:
        return (3, -still_ms, 0)
    if connection.state is State.UNTAKEN:
        return (1, -still_ms, -connection.held_bytes)
    if is_stalled(connection.progress_at_ms, now_ms):
        return (0, -still_ms, -connection.held_bytes)
    return (2, -connection.held_bytes, -still_ms)
