"""Targets of an entry and the tries that are open on them.

Used by ``entry.call_dispatch`` only: it builds the messages to agents and
finds the try to which an answer belongs.
"""

from collections.abc import Callable
import dataclasses
import itertools

from borageshelf.entry import call_tries
from borageshelf.protocol import inner_pb2
from borageshelf import telemetry

Send = Callable[[inner_pb2.EntryMessage], None]


@dataclasses.dataclass(frozen=True)
class Target:
    """A target with an executor, as its agent announced it."""

    target_id: str
    data_centre: str
    service: str
    slots: int
    connections: int


class CallLinks:
    """Streams to targets and open tries.

    :param entry_id: unique for this process; prefix of the ids of tries
    """

    def __init__(self, entry_id: str, metrics: telemetry.Telemetry) -> None:
        self.tries: dict[str, call_tries.Try] = {}
        self._entry_id = entry_id
        self._metrics = metrics
        self._targets: dict[str, tuple[Target, Send]] = {}
        self._numbers = itertools.count(1)

    def add(self, target: Target, send: Send) -> None:
        """Register the stream of a target."""
        self._targets[target.target_id] = (target, send)

    def remove(self, target_id: str) -> str | None:
        """Forget a stream; return the target's service if it was known."""
        attached = self._targets.pop(target_id, None)
        return attached[0].service if attached else None

    def find_service(self, target_id: str) -> str | None:
        """Return the service of a target, or None if it is unknown."""
        attached = self._targets.get(target_id)
        return attached[0].service if attached else None

    def find_try(self, target_id: str, wire_id: str) -> call_tries.Try | None:
        """Return the open try; late answers of ended tries have none."""
        item = self.tries.get(wire_id)
        if item is None or item.target_id != target_id:
            return None
        return item

    def find_tries(self, target_id: str) -> list[call_tries.Try]:
        """Return the open tries on a target."""
        return [
            item for item in self.tries.values() if item.target_id == target_id
        ]

    def open_try(
        self, call: call_tries.ActiveCall, target_id: str, now_ms: int
    ) -> call_tries.Try:
        """Register a new try of a call."""
        number = next(self._numbers)
        call_id = call.submission.call_id
        wire_id = f'{call_id}/{self._entry_id}/{number}'
        item = call_tries.Try(call, wire_id, target_id, now_ms)
        call.open_tries[wire_id] = item
        self.tries[wire_id] = item
        return item

    def close_try(self, item: call_tries.Try) -> None:
        """Forget a try; its later messages are ignored."""
        del self.tries[item.wire_id]
        del item.call.open_tries[item.wire_id]

    def send_call(self, item: call_tries.Try) -> bool:
        """Send the call; return False if it was certainly not sent."""
        submission = item.call.submission
        call = inner_pb2.Call(
            call_id=item.wire_id,
            service=submission.service,
            deadline_ms=submission.deadline_ms,
            team=submission.team,
            urgency=submission.urgency,
            idempotent=submission.idempotent,
            body=submission.body,
        )
        return self._send(item, inner_pb2.EntryMessage(call=call))

    def cancel(self, item: call_tries.Try) -> None:
        """Ask the agent once to cancel a try and to tell whether it ran."""
        if item.cancel_sent:
            return
        item.cancel_sent = True
        cancel = inner_pb2.CallCancel(
            call_id=item.wire_id,
            deadline_ms=item.call.submission.deadline_ms,
        )
        self._send(item, inner_pb2.EntryMessage(call_cancel=cancel))

    def return_credit(self, item: call_tries.Try, size_bytes: int) -> None:
        """Count data that the caller took and send credits in steps."""
        credit_bytes = item.consume(size_bytes)
        if credit_bytes and item.wire_id in self.tries:
            credit = inner_pb2.CallCredit(
                call_id=item.wire_id, window_bytes=credit_bytes
            )
            self._send(item, inner_pb2.EntryMessage(call_credit=credit))

    def _send(
        self, item: call_tries.Try, message: inner_pb2.EntryMessage
    ) -> bool:
        attached = self._targets.get(item.target_id)
        if attached is None:
            return False
        try:
            attached[1](message)
        except Exception as error:
            self._metrics.log_state(
                'message not sent', target=item.target_id, error=error
            )
            return False
        return True
