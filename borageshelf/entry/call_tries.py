"""State of one call in an entry and of its tries on executors.

A try is one dispatch of a call to one target; retries and hedges are further
tries of the same call. A try checks the order of the answer's chunks and the
flow control by credits. A call combines what its tries prove about its work.
Used by the modules of ``entry`` that handle calls.
"""

import asyncio
import collections
import dataclasses
import enum
from typing import Final

from borageshelf.decisions import admission
from borageshelf import errors
from borageshelf.protocol import inner_pb2
from borageshelf.protocol import limits

# Credits return in steps of a quarter of the window, not with each chunk.
CREDIT_STEP_BYTES: Final = limits.CALL_WINDOW_BYTES // 4


class Outcome(enum.Enum):
    """What is proved about the work of a call."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Submission:
    """A call as a caller submits it.

    :param call_id: unique among the calls in progress in this entry
    :param kind: kind of work, to which a share of the slots may be
        guaranteed
    :param urgency: 0 (least urgent) to 9
    :param deadline_ms: Unix milliseconds by which the call must have ended
    :param key: key that prevents a second run of a non-idempotent call, or
        ''
    """

    call_id: str
    service: str
    team: str
    deadline_ms: int
    body: bytes
    kind: str = ''
    urgency: int = 0
    idempotent: bool = False
    key: str = ''


@dataclasses.dataclass(frozen=True)
class Result:
    """How a call ended.

    :param retry_deadline_ms: Unix milliseconds before which a retry is
        expected to fail, or 0
    :param forwarded_bytes: bytes of the answer that the caller received; the
        answer is complete only if the code is ``OK`` or ``EXECUTOR_FAILED``
    """

    outcome: Outcome
    code: errors.ResultCode
    detail: str = ''
    retry_deadline_ms: int = 0
    forwarded_bytes: int = 0


class Try:
    """One try of a call on one target.

    :param wire_id: call id on the stream, unique for each try, so that a
        late answer is never attributed to another try
    :param sent_at_ms: Unix milliseconds
    """

    def __init__(
        self, call: 'ActiveCall', wire_id: str, target_id: str, sent_at_ms: int
    ) -> None:
        self.call = call
        self.wire_id = wire_id
        self.target_id = target_id
        self.sent_at_ms = sent_at_ms
        self.received_chunks = 0
        self.is_cancel_sent = False
        self.is_outcome_recorded = False
        self._window_bytes = limits.CALL_WINDOW_BYTES
        self._consumed_bytes = 0

    def accept_chunk(self, chunk: inner_pb2.CallChunk) -> str:
        """Count a chunk against sequence and window.

        :return: how the chunk violates the protocol, or ''
        """
        if chunk.sequence != self.received_chunks:
            return f'chunk {chunk.sequence} instead of {self.received_chunks}'
        self.received_chunks += 1
        self._window_bytes -= len(chunk.data)
        if self._window_bytes < 0:
            return 'more data than the flow-control credits allow'
        return ''

    def consume(self, size_bytes: int) -> int:
        """Record bytes that the caller took.

        :return: credit to send to the agent now, in bytes
        """
        self._consumed_bytes += size_bytes
        if self._consumed_bytes < CREDIT_STEP_BYTES:
            return 0
        credit_bytes = self._consumed_bytes
        self._consumed_bytes = 0
        self._window_bytes += credit_bytes
        return credit_bytes


class ActiveCall:
    """One call, from its admission to its result.

    ``answering_try`` is the try whose answer is forwarded; no other try of
    the call may add to it. ``is_abandoned`` is set when the caller has
    disconnected. ``broken_tries`` counts the tries that an executor took and
    did not answer, as if it had crashed.
    """

    def __init__(
        self, submission: Submission, queued: admission.QueuedCall
    ) -> None:
        self.submission = submission
        self.queued = queued
        self.open_tries: dict[str, Try] = {}
        self.tried_target_ids: list[str] = []
        self.answering_try: Try | None = None
        self.may_have_run = False
        self.broken_tries = 0
        self.is_cancelled = False
        self.is_abandoned = False
        self.hedge_at_ms: int | None = None
        self.forwarded_bytes = 0
        self.service_ms: float | None = None
        self.result: Result | None = None
        self.changed = asyncio.Event()
        self.buffer: collections.deque[bytes] = collections.deque()

    def append_data(self, data: bytes) -> None:
        """Buffer a part of the answer until the caller takes it."""
        self.buffer.append(data)
        self.changed.set()

    def resolve(self, result: Result) -> None:
        """Set the result unless the call already has one."""
        if self.result is None:
            self.result = result
            self.changed.set()


def make_failure_result(
    code: errors.ResultCode, ran: bool, may_have_run: bool, detail: str
) -> Result:
    """Return the result of a call whose last try did not succeed.

    :param ran: whether the last try may have run
    :param may_have_run: whether an earlier try may have run; the proof that
        the last try did not run does not cover earlier tries
    """
    if not ran and not may_have_run:
        if code.category is not errors.Category.NOT_RUN:
            code = errors.NO_TARGET
        return Result(Outcome.NOT_RUN, code, detail)
    if ran and code is errors.EXECUTOR_FAILED:
        return Result(Outcome.DONE, code, detail)
    if code is not errors.ANSWER_TRUNCATED:
        detail = f'{code.name}: {detail}' if detail else code.name
        code = errors.OUTCOME_UNKNOWN
    return Result(Outcome.UNKNOWN, code, detail)
