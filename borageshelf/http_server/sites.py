"""HTTP sites whose connections count against the budget of the process.

Twisted reads and parses; what is received is handed to it in bounded parts,
and bodies in chunks are decoded by ``chunks``. A request is passed on only
while the budget has room for it. A request that was passed on is answered.
"""

import asyncio
from collections import abc
import io
from typing import Any, Final

from twisted.protocols import basic
from twisted.web import http
from twisted.web import server

from borageshelf import clock
from borageshelf.decisions import request_budget
from borageshelf.http_server import budget
from borageshelf.http_server import chunks
from borageshelf.http_server import listeners

State = request_budget.State

# Longer than the idle timeout of the clients, so that the client closes an
# idle connection and no request is sent on one that the server is closing.
IDLE_LIMIT_MS: Final = 60_000
# Headers are parsed in parts of this size; the parser copies the rest of a
# part for each line.
HEADER_PART_BYTES: Final = 4_096
# Units of work (``turns``) of a part, and bytes of it for a further unit.
HEADER_PART_UNITS: Final = 50
HEADER_UNIT_BYTES: Final = 32
BODY_UNIT_BYTES: Final = 1_024
# Reading stops while so much is not processed yet.
READ_AHEAD_BYTES: Final = 16_384
RECEIVE_BYTES: Final = 32_768
# A body makes progress with so many bytes, framing included, and so does an
# answer, or else a byte now and then would keep a request open.
PROGRESS_BYTES: Final = 1_024
# Objects that a header line is kept as, beside its text.
HEADER_LINE_BYTES: Final = 300
# For a refusal to leave, and for the caller to stop sending.
REFUSAL_LIMIT_S: Final = 1.0
_REASONS: Final = {
    400: b'Bad Request',
    408: b'Request Timeout',
    413: b'Content Too Large',
    503: b'Service Unavailable',
}


class BudgetRequest(server.Request):
    """A request whose body is kept in memory and limited."""

    channel: Any

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose announced length exceeds the limit."""
        self.content = io.BytesIO()
        if length is not None and length > self.channel.site.find_body_limit():
            self.channel.refuse(413, 'body too large', 'body size')

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Refuse a body of unannounced length once it exceeds the limit."""
        assert self.content is not None
        size_bytes = self.content.tell() + len(data)
        if size_bytes > self.channel.site.find_body_limit():
            self.channel.refuse(413, 'body too large', 'body size')
            return
        self.content.write(data)
        self.channel.body_bytes = size_bytes


class BudgetChannel(http.HTTPChannel):
    """A connection of a caller.

    :ivar body_bytes: size of what has been received of the present body
    """

    site: Any
    transport: Any
    _networkProducer: Any
    _transferDecoder: Any

    def __init__(self) -> None:
        http.HTTPChannel.__init__(self)
        self.held_bytes = 0
        self._received = bytearray()
        self._chunks: chunks.ChunkDecoder | None = None
        self._state = State.UNFINISHED
        self._is_closing = False
        self._is_reading = True
        self._request_bytes = 0
        self.body_bytes = 0
        self._new_bytes = 0
        self._progress_at_ms = 0
        self._deadline_ms = 0
        self._unsent_bytes = 0
        self._is_answer_stalled = False
        self._abort_timer: asyncio.TimerHandle | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Take in the connection if there is room."""
        http.HTTPChannel.connectionMade(self)
        self.transport.bufferSize = RECEIVE_BYTES
        self._budget: budget.RequestBudget = self.site.budget
        self._progress_at_ms = clock.read_elapsed_ms()
        self._deadline_ms = self._progress_at_ms + self.site.idle_limit_ms
        if not self._budget.admit(self):
            self.refuse(503, 'too many requests', 'full')

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Release what the connection held."""
        self._is_closing = True
        self._budget.forget(self)
        self._budget.turns.forget(self)
        # The garbage collector may find the connection much later.
        self._received.clear()
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        http.HTTPChannel.connectionLost(self, reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process received bytes, or keep them for the next turn."""
        if self._is_closing or not data:
            return
        self._received += data
        is_answering = self._handlingRequest or self._unsent_bytes
        if not is_answering and not self._has_begun():
            self._begin_request()
        self._budget.turns.work(self)

    def advance(self, units: int) -> int:
        """Process bytes; return the units, or 0 if nothing can be done."""
        if (
            self._is_closing
            or self._handlingRequest
            or not self._received
            or self._unsent_bytes
        ):
            return 0
        if self.line_mode:
            return self._parse_headers()
        if self._chunks is not None:
            return self._decode_chunks(units)
        data = bytes(self._received)
        self._received.clear()
        self._note_progress(len(data))
        self.rawDataReceived(data)
        self._take_back()
        return 1 + len(data) // BODY_UNIT_BYTES

    def update_account(self) -> None:
        """Account what is held now, and stop or continue reading."""
        if self._is_closing:
            return
        is_reading = len(self._received) < READ_AHEAD_BYTES
        if is_reading != self._is_reading:
            self._is_reading = is_reading
            if is_reading:
                self.transport.resumeProducing()
            else:
                self.transport.pauseProducing()
        # A request that was passed on is accounted already.
        if self._received or not self._handlingRequest:
            self._account()

    def describe(self, number: int, now_ms: int) -> request_budget.Connection:
        """Account an answer that waits for its caller, and describe both."""
        state = self._state
        if self._unsent_bytes:
            state = State.UNTAKEN
            self._observe_answer(now_ms)
        deadline_ms = self._deadline_ms
        progress_at_ms = self._progress_at_ms
        if self._budget.turns.is_waiting(self):
            # This process has not processed what it has received.
            deadline_ms = 0
            progress_at_ms = now_ms
        return request_budget.Connection(
            number,
            state,
            self.held_bytes,
            progress_at_ms,
            deadline_ms,
        )

    def postpone(self, pause_ms: int) -> None:
        """Move deadline and last progress by a pause of this process."""
        self._progress_at_ms += pause_ms
        if self._deadline_ms:
            self._deadline_ms += pause_ms

    def shed(self, cause: request_budget.Cause) -> str:
        """Close the connection; a request is refused."""
        if self._unsent_bytes:
            self._is_closing = True
            self.transport.abortConnection()
            if cause is request_budget.Cause.DEADLINE:
                return 'answer deadline'
            return 'answer stalled'
        if not self._has_begun():
            self._is_closing = True
            http.HTTPChannel.loseConnection(self)
            return '' if cause is request_budget.Cause.DEADLINE else cause
        if cause is not request_budget.Cause.DEADLINE:
            self.refuse(503, 'too many unfinished requests')
            return cause
        part = 'header' if self.line_mode else 'body'
        self.refuse(408, 'request not finished in time')
        return f'{part} deadline'

    def refuse(self, status: int, reason: str, cause: str = '') -> None:
        """Answer in place of a request that has not been passed on.

        :param cause: counted unless empty
        """
        if self._is_closing:
            return
        self._is_closing = True
        self._received.clear()
        basic.LineReceiver.clearLineBuffer(self)
        for request in self.requests:
            # The connection may stay for a while, and is accounted no more.
            request.content = io.BytesIO()
        self._budget.release(self)
        if cause:
            self._budget.count(cause)
        body = self.site.encode_refusal(status, reason)
        retry = b'Retry-After: 1\r\n' if status == 503 else b''
        self.transport.write(
            b'HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n'
            b'Connection: close\r\n%sContent-Length: %d\r\n\r\n%s'
            % (status, _REASONS[status], retry, len(body), body)
        )
        if self._budget.can_linger():
            # Closing a socket with unread bytes would reset the connection,
            # and a caller that is still sending would lose the answer.
            self._networkProducer.unregisterProducer()
            self.transport.loseWriteConnection()
            self.transport.resumeProducing()
        else:
            http.HTTPChannel.loseConnection(self)
        self._abort_timer = asyncio.get_running_loop().call_later(
            REFUSAL_LIMIT_S, self.transport.abortConnection
        )

    # What follows is called by twisted.

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a header line without an end."""
        self.refuse(400, 'header too long', 'malformed')

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on a part of a body, or keep what follows a request."""
        if self._is_closing:
            return
        if self._handlingRequest or self._chunks is not None:
            self._received[:0] = data
        else:
            self._transferDecoder.dataReceived(data)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Choose the decoder of the body and its first deadline."""
        self._request_bytes = self._count_header_bytes()
        if isinstance(self._transferDecoder, http._ChunkedTransferDecoder):
            self._chunks = chunks.ChunkDecoder()
        now_ms = clock.read_elapsed_ms()
        self._progress_at_ms = now_ms
        self._deadline_ms = now_ms + self._budget.deadlines.body_ms
        http.HTTPChannel.allHeadersReceived(self)

    def allContentReceived(self) -> None:  # noqa: N802
        """Pass on a whole request if the budget has room for it."""
        self._chunks = None
        if not self._is_closing:
            self._account()
        if self._is_closing:
            return
        self._state = State.COMPLETE
        self._deadline_ms = 0
        http.HTTPChannel.allContentReceived(self)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Wait until the answer is taken; the next request waits for that."""
        self._request_bytes = self.body_bytes = 0
        self._take_back()
        # Ends the parsing of lines, of which others may be received.
        self.paused = True
        http.HTTPChannel.requestDone(self, request)
        self._is_reading = True
        if self._await_caller():
            # Makes the transport call ``resumeProducing`` once all is sent.
            self.transport.producerPaused = True
        else:
            self._become_idle(clock.read_elapsed_ms())

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection once the caller has taken the answer."""
        http.HTTPChannel.loseConnection(self)
        self._await_caller()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause an answer that is streamed until the caller has taken it.

        Any other answer is in memory already, and no request is processed
        before it has been sent.
        """
        if self._requestProducer is not None:
            self._requestProducer.pauseProducing()
            self._await_caller()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on with the answer or the next request once all is sent."""
        if self._is_closing or not self._unsent_bytes:
            return
        self._unsent_bytes = 0
        self._is_answer_stalled = False
        if self._handlingRequest:
            self._deadline_ms = 0
            self._account()
            if self._requestProducer is not None:
                self._requestProducer.resumeProducing()
            return
        self._become_idle(clock.read_elapsed_ms())
        if self._received:
            self._budget.turns.work(self)

    def _send100Continue(self) -> None:  # noqa: N802
        if not self._is_closing:
            http.HTTPChannel._send100Continue(self)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.refuse(400, 'malformed request', 'malformed')

    def _has_begun(self) -> bool:
        """Tell whether a part of a request has been received."""
        return self._state is State.UNFINISHED and bool(self._new_bytes)

    def _begin_request(self) -> None:
        now_ms = clock.read_elapsed_ms()
        self._state = State.UNFINISHED
        self._new_bytes = 1
        self._progress_at_ms = now_ms
        self._deadline_ms = now_ms + self._budget.deadlines.headers_ms

    def _become_idle(self, now_ms: int) -> None:
        self._state = State.IDLE
        self._new_bytes = 0
        self._deadline_ms = now_ms + self.site.idle_limit_ms
        if self._received:
            self._begin_request()
        self._account()

    def _parse_headers(self) -> int:
        part = bytes(self._received[:HEADER_PART_BYTES])
        del self._received[:HEADER_PART_BYTES]
        self.paused = False
        basic.LineReceiver.dataReceived(self, part)
        if self.paused:
            self._received[:0] = basic.LineReceiver.clearLineBuffer(self)
        self._take_back()
        return HEADER_PART_UNITS + len(part) // HEADER_UNIT_BYTES

    def _decode_chunks(self, units: int) -> int:
        decoder = self._chunks
        assert decoder is not None
        before_bytes = len(self._received)
        try:
            data, work = decoder.decode(self._received, units)
        except chunks.Malformed:
            self.refuse(400, 'malformed body', 'malformed')
            return 1
        processed_bytes = before_bytes - len(self._received)
        self._note_progress(processed_bytes)
        if data:
            self.requests[-1].handleContentChunk(data)
        if decoder.is_complete:
            self.allContentReceived()
        return max(work, 1) if processed_bytes else 0

    def _note_progress(self, size_bytes: int) -> None:
        self._new_bytes += size_bytes
        if self._new_bytes >= PROGRESS_BYTES:
            self._new_bytes = 1
            now_ms = clock.read_elapsed_ms()
            self._progress_at_ms = now_ms
            self._deadline_ms = now_ms + self._budget.deadlines.body_ms

    def _await_caller(self) -> bool:
        """Set the deadline for taking what is unsent of an answer.

        :return: whether anything is unsent
        """
        self._progress_at_ms = clock.read_elapsed_ms()
        self._unsent_bytes = self._count_unsent()
        if not self._unsent_bytes:
            return False
        answer_ms = self._budget.deadlines.answer_ms
        self._deadline_ms = self._progress_at_ms + answer_ms
        self._account()
        return True

    def _observe_answer(self, now_ms: int) -> None:
        """Move the deadline of an answer if the caller takes it."""
        unsent_bytes = self._count_unsent()
        if unsent_bytes <= self._unsent_bytes - PROGRESS_BYTES:
            self._unsent_bytes = max(unsent_bytes, 1)
            self._deadline_ms = now_ms + self._budget.deadlines.answer_ms
        if request_budget.is_stalled(self._progress_at_ms, now_ms):
            self._is_answer_stalled = True
        self._budget.adjust(self, self._count_held())

    def _take_back(self) -> None:
        """Take back what twisted keeps of the next request."""
        if self._dataBuffer:
            self._received[:0] = b''.join(self._dataBuffer)
            self._dataBuffer = []

    def _count_unsent(self) -> int:
        transport = self.transport
        unsent: int = (
            len(transport.dataBuffer)
            - transport.offset
            + transport._tempDataLen
        )
        return unsent

    def _count_header_bytes(self) -> int:
        return (
            2 * self._receivedHeaderSize
            + HEADER_LINE_BYTES * self._receivedHeaderCount
        )

    def _account(self) -> None:
        held_bytes = self._count_held()
        if held_bytes != self.held_bytes:
            self._budget.account(self, held_bytes)

    def _count_held(self) -> int:
        """Return the bytes that the connection holds.

        The kernel's buffers count while they are likely to be full.
        """
        held_bytes = (
            budget.CONNECTION_BYTES
            + self._request_bytes
            + self.body_bytes
            + len(self._received)
            + len(self._buffer)
            + self._unsent_bytes
        )
        if self.line_mode and self._receivedHeaderSize:
            held_bytes += self._count_header_bytes()
        if not self._is_reading:
            held_bytes += listeners.KERNEL_RECEIVE_BYTES
        if self._is_answer_stalled:
            held_bytes += listeners.KERNEL_SEND_BYTES
        return held_bytes


class BudgetSite(server.Site):
    """A site whose connections count against the budget of the process.

    :param account: what the connections count against
    :param find_body_limit: returns the largest size of a body in bytes
    :param encode_refusal: returns the body of a refusal, from its status and
        its reason
    :param idle_limit_ms: time until a connection without a request is closed
    """

    requestFactory = BudgetRequest  # noqa: N815
    protocol: Any = BudgetChannel

    def __init__(
        self,
        root: Any,
        account: budget.RequestBudget,
        find_body_limit: abc.Callable[[], int],
        encode_refusal: abc.Callable[[int, str], bytes],
        idle_limit_ms: int = IDLE_LIMIT_MS,
    ) -> None:
        # The budget holds the deadlines, and forms have no use here.
        server.Site.__init__(
            self, root, timeout=None, parsePOSTFormSubmission=False
        )
        self.budget = account
        self.find_body_limit = find_body_limit
        self.encode_refusal = encode_refusal
        self.idle_limit_ms = idle_limit_ms

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the protocol of a connection; None closes it at once."""
        if not self.budget.can_accept():
            return None
        return server.Site.buildProtocol(self, addr)

    def log(self, request: Any) -> None:
        """Write no access log, which nobody reads.

        Twisted would format a line for each request, and nothing observes
        its log.
        """
