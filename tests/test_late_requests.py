"""Requests of callers that arrive late, alone or beside another copy."""

import asyncio
import contextlib
from typing import Any

import pytest

from borageshelf import clock
from borageshelf.entry.workflows import forwarded_requests
from borageshelf.entry.workflows import owner_stream
from borageshelf.entry.workflows import request_service
from borageshelf.workflows import effects
from borageshelf.workflows import messages
from borageshelf.workflows import peer_clock
from standins import memory_store
from tests import election_support
from tests import workflow_support as support

DEADLINE_MS = 2_000
SHORT_DEADLINE_MS = 700
RETRY_AFTER_S = 3
ENDS_UNANSWERED = None


class FakeElection:
    """An election with one stream to an owner after the other.

    :param answers: epoch of each stream, and the outcome that it answers
    """

    def __init__(
        self, answers: list[tuple[int, effects.Outcome | None]]
    ) -> None:
        self.local_owner = None
        self.owner_changed = asyncio.Event()
        self._answers = answers
        self.epoch = answers[0][0]

    @property
    def owner_link(self) -> Any:
        """The stream to the owner."""
        return self

    async def forward(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Answer as the present owner, and go on to the next one."""
        _, outcome = self._answers.pop(0)
        if self._answers:
            self.epoch = self._answers[0][0]
        if outcome is ENDS_UNANSWERED:
            raise owner_stream.OwnerStreamEnded(was_sent=True)
        return messages.RequestAnswer(1, outcome, RETRY_AFTER_S)


@pytest.mark.parametrize(
    ('epochs', 'outcome', 'expected'),
    [
        ((1, 1), effects.Outcome.REFUSED, effects.Outcome.UNKNOWN),
        ((2, 1), effects.Outcome.REFUSED, effects.Outcome.UNKNOWN),
        ((1, 2), effects.Outcome.REFUSED, effects.Outcome.REFUSED),
        ((1, 1), effects.Outcome.ACCEPTED, effects.Outcome.ACCEPTED),
    ],
    ids=['same owner', 'former owner', 'next owner', 'accepted'],
)
def test_refusal_beside_a_copy_that_may_be_accepted_later_is_not_told(
    epochs: tuple[int, int],
    outcome: effects.Outcome,
    expected: effects.Outcome,
) -> None:
    """Guards against a refused workflow that runs (REFUSED).

    A cut holds the first copy back; the second one arrives before it, on a
    new stream.
    """

    async def check() -> None:
        found: Any = FakeElection(
            [(epochs[0], ENDS_UNANSWERED), (epochs[1], outcome)]
        )
        service = request_service.RequestService(
            found, memory_store.MemoryStore()
        )
        answer = await service.submit(
            support.make_workflow(),
            support.QUEUE,
            clock.read_elapsed_ms() + DEADLINE_MS,
        )
        assert answer.outcome is expected
        assert answer.retry_after_s == RETRY_AFTER_S

    asyncio.run(check())


@pytest.mark.parametrize(
    ('readings', 'expected_ms'),
    [
        ([], 0),
        ([(5_000, 1_000)], 14_000),
        # The second reading was held up, and the third one was not.
        ([(5_000, 1_000), (5_400, 3_400)], 13_999),
        ([(5_000, 1_000), (5_400, 3_400), (7_800, 3_800)], 14_000),
        # The clock of the peer goes slower than this one.
        ([(5_000 + 990 * n, 1_000 * (n + 1)) for n in range(9)], 13_992),
        ([(5, 9_999)], 6),
        ([(5, 99_999)], 1),
    ],
)
def test_deadline_on_the_clock_of_a_peer_is_never_late(
    readings: list[tuple[int, int]], expected_ms: int
) -> None:
    """Guards against a late submission that passes for a young one."""
    peer = peer_clock.PeerClock()
    for peer_ms, now_ms in readings:
        peer.note_reading(peer_ms, now_ms)
    assert peer.convert_deadline(10_000) == expected_ms


@pytest.mark.parametrize(
    ('request_', 'expected_ms'),
    [
        (messages.FindRequest(1, 'id'), 11_000),
        (messages.CancelRequest(1, 'id'), 11_000),
        (support.make_submission(), 11_000),
        (support.make_submission(deadline_elapsed_ms=900), 900),
        (support.make_submission(deadline_elapsed_ms=99_000), 11_000),
    ],
)
def test_deadline_of_a_forwarded_request(
    request_: messages.Request, expected_ms: int
) -> None:
    """Guards against submissions without an end, also of earlier versions."""
    assert forwarded_requests.find_deadline_ms(request_, 1_000) == expected_ms


def test_submission_that_is_held_past_its_deadline_is_not_accepted() -> None:
    """Guards against a workflow that runs for a caller who has given up.

    The time that a cut holds the submission back counts as well.
    """

    async def check() -> None:
        async with contextlib.AsyncExitStack() as stack:
            owner, follower = await election_support.start_pair(stack, (1, 1))
            service = request_service.RequestService(
                follower.election, memory_store.MemoryStore()
            )
            owner.proxy.hold()
            answer = await service.submit(
                support.make_workflow(),
                support.QUEUE,
                clock.read_elapsed_ms() + SHORT_DEADLINE_MS,
            )
            assert answer.outcome is effects.Outcome.UNKNOWN
            owner.proxy.release()
            # Answered after what was held back.
            await service.count_pending(
                support.QUEUE.name, clock.read_elapsed_ms() + DEADLINE_MS
            )
            assert owner.election.local_owner is not None
            assert not owner.election.local_owner._core.jobs

    asyncio.run(check())
