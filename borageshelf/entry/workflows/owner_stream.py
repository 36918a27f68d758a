"""The stream from an entry to the owner, shared by the requests of callers."""

import asyncio
import functools
import itertools

import msgspec

from borageshelf import clock
from borageshelf.workflows import channel
from borageshelf.workflows import effects
from borageshelf.workflows import messages
from borageshelf.workflows import peer_clock


class OwnerStreamEnded(Exception):
    """The stream to the owner ended before the answer arrived.

    :param was_sent: whether the request may have been carried out
    """

    def __init__(self, was_sent: bool) -> None:
        super().__init__('the stream to the owner has ended')
        self.was_sent = was_sent


class OwnerLink:
    """The stream from this entry to the owner.

    Requests of several callers share the stream; answers are matched to them
    by number.

    :ivar is_owner_cut: whether the owner has lost the store, which this entry
        still reaches
    """

    def __init__(self, epoch: int, outbox: channel.Outbox) -> None:
        self.epoch = epoch
        self.outbox = outbox
        self.last_received_at_ms = clock.read_elapsed_ms()
        self.is_owner_cut = False
        self._owner_clock = peer_clock.PeerClock()
        self._request_numbers = itertools.count(1)
        self._answer_futures: dict[
            int, asyncio.Future[messages.RequestAnswer]
        ] = {}

    def note_clock(self, owner_elapsed_ms: int) -> None:
        """Note a reading of the owner's clock; 0 stands for none."""
        if owner_elapsed_ms:
            self._owner_clock.note_reading(
                owner_elapsed_ms, clock.read_elapsed_ms()
            )

    async def forward(
        self, request: messages.Request, deadline_ms: int
    ) -> messages.RequestAnswer:
        """Forward a request to the owner and return its answer.

        A request that nobody waits for any more is taken back if it has not
        been sent, unless it is a cancellation.

        :param deadline_ms: elapsed time; afterwards the outcome is unknown
        :raises OwnerStreamEnded: if the stream ends before the answer
        """
        number = next(self._request_numbers)
        future: asyncio.Future[messages.RequestAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self._answer_futures[number] = future
        message = self._address(request, number, deadline_ms)
        self.outbox.send(message)
        left_ms = max(deadline_ms - clock.read_elapsed_ms(), 0)
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await future
        except TimeoutError:
            return messages.RequestAnswer(number, effects.Outcome.UNKNOWN)
        finally:
            del self._answer_futures[number]
            is_cancellation = isinstance(request, messages.CancelRequest)
            if future.cancelled() and not is_cancellation:
                self.outbox.withdraw(message)

    @functools.singledispatchmethod
    def _address(
        self, request: messages.Request, number: int, deadline_ms: int
    ) -> messages.Request:
        """Return a request as it is sent to the owner."""
        return msgspec.structs.replace(request, number=number)

    @_address.register
    def _(
        self, request: messages.SubmitRequest, number: int, deadline_ms: int
    ) -> messages.Request:
        return msgspec.structs.replace(
            request,
            number=number,
            deadline_elapsed_ms=self._owner_clock.convert_deadline(
                deadline_ms
            ),
        )

    def deliver_answer(self, answer: messages.RequestAnswer) -> None:
        """Pass an answer to the request that waits for it."""
        future = self._answer_futures.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def close(self) -> None:
        """Close the stream and fail the requests without an answer."""
        self.outbox.close()
        for future in self._answer_futures.values():
            if not future.done():
                future.set_exception(OwnerStreamEnded(was_sent=True))
