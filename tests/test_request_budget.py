"""Which connections are closed to stay within the limits of a process."""

from borageshelf.decisions import request_budget

Cause = request_budget.Cause
State = request_budget.State
NOW_MS = 100_000
LIMITS = request_budget.Limits(held_bytes=1_600, connections=16)


def make(
    number: int,
    state: State = State.UNFINISHED,
    held_bytes: int = 10,
    still_ms: int = 0,
    deadline_ms: int = 0,
) -> request_budget.Connection:
    """Return a connection."""
    return request_budget.Connection(
        number, state, held_bytes, NOW_MS - still_ms, deadline_ms
    )


def choose(
    *connections: request_budget.Connection,
) -> list[tuple[int, Cause]]:
    """Return the numbers of the closed connections with the causes."""
    return [
        (closing.number, closing.cause)
        for closing in request_budget.choose_closings(
            connections, LIMITS, NOW_MS
        )
    ]


def test_deadline_closes_before_a_limit_does() -> None:
    """Guards against closing others for what a deadline frees."""
    late = make(0, State.COMPLETE, 1_000, deadline_ms=NOW_MS)
    assert choose(make(1, held_bytes=900, still_ms=5_000), late) == [
        (0, Cause.DEADLINE)
    ]


def test_stalled_requests_are_closed_longest_first_then_the_largest() -> None:
    """Guards against closing requests that go on before stalled ones."""
    connections = (
        make(0, held_bytes=700, still_ms=20),
        make(1, held_bytes=800, still_ms=20),
        make(2, held_bytes=200, still_ms=2_000),
        make(3, held_bytes=200, still_ms=3_000),
        make(4, State.IDLE, 400, still_ms=50_000),
    )
    assert choose(*connections) == [
        (3, Cause.MEMORY),
        (2, Cause.MEMORY),
        (1, Cause.MEMORY),
    ]


def test_complete_requests_are_never_closed_for_others() -> None:
    """Guards against an untruthful end of a request that may run."""
    whole = [make(number, State.COMPLETE, 400) for number in range(6)]
    assert choose(*whole, make(9, still_ms=9_000)) == [(9, Cause.MEMORY)]


def test_idle_connections_are_closed_last_for_the_number() -> None:
    """Guards against closing callers between requests for a crowd."""
    idle = [make(number, State.IDLE, still_ms=9_000) for number in range(15)]
    assert choose(*idle, make(20), make(21, still_ms=1_500)) == [
        (21, Cause.CONNECTIONS),
        (20, Cause.CONNECTIONS),
    ]


def test_untaken_answers_are_closed_once_they_stall() -> None:
    """Guards against a crowd that takes no answers and keeps all places."""
    stalled = make(0, State.UNTAKEN, 900, still_ms=1_500)
    fresh = make(1, State.UNTAKEN, 700, still_ms=900)
    unfinished = make(2, held_bytes=100)
    assert choose(stalled, fresh, unfinished) == [(0, Cause.MEMORY)]
    assert choose(fresh, make(3, State.UNTAKEN, 950)) == []
