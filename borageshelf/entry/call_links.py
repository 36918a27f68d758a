"""Streams to the targets of an entry and the tries that are open on them.

Used by ``entry.call_dispatch`` only. It builds the messages to agents and
finds the try to which a message of an agent belongs.
"""

from collections.abc import Callable
import dataclasses
import itertools

from borageshelf.entry import call_tries
from borageshelf.protocol import inner_pb2
from borageshelf import telemetry

SendToAgent = Callable[[inner_pb2.EntryMessage], None]


@dataclasses.dataclass(frozen=True)
class Target:
    """A target with an executor, as its agent announced it.

    :param slots: calls that the executor runs at the same time
    :param connections: maximum number of calls that the agent holds
    """

    target_id: str
    data_centre: str
    service: str
    slots: int
    connections: int


class CallLinks:
    """Streams to targets and the tries that are open on them.

    :param entry_id: unique for this process; part of the wire id of each try
    """

    def __init__(self, entry_id: str, metrics: telemetry.Telemetry) -> None:
        self.tries: dict[str, call_tries.Try] = {}
        self._entry_id = entry_id
        self._metrics = metrics
        self._attached_targets: dict[str, tuple[Target, SendToAgent]] = {}
        self._try_numbers = itertools.count(1)

    def add_target(self, target: Target, send: SendToAgent) -> None:
        """Register the stream to a target."""
        self._attached_targets[target.target_id] = (target, send)

    def remove_target(self, target_id: str) -> str | None:
        """Remove the stream to a target; return its service, if attached."""
        attached = self._attached_targets.pop(target_id, None)
        return attached[0].service if attached else None

    def find_service(self, target_id: str) -> str | None:
        """Return the service of a target, or None if it is unknown."""
        attached = self._attached_targets.get(target_id)
        return attached[0].service if attached else None

    def find_open_try(
        self, target_id: str, wire_id: str
    ) -> call_tries.Try | None:
        """Return the open try of a message, or None if the try has ended.

        The try must be open on the target that sent the message.
        """
        call_try = self.tries.get(wire_id)
        if call_try is None or call_try.target_id != target_id:
            return None
        return call_try

    def find_open_tries(self, target_id: str) -> list[call_tries.Try]:
        """Return the open tries on a target."""
        return [
            call_try
            for call_try in self.tries.values()
            if call_try.target_id == target_id
        ]

    def open_try(
        self, call: call_tries.ActiveCall, target_id: str, now_ms: int
    ) -> call_tries.Try:
        """Register a new try of a call."""
        number = next(self._try_numbers)
        call_id = call.submission.call_id
        wire_id = f'{call_id}/{self._entry_id}/{number}'
        call_try = call_tries.Try(call, wire_id, target_id, now_ms)
        call.open_tries[wire_id] = call_try
        self.tries[wire_id] = call_try
        return call_try

    def close_try(self, call_try: call_tries.Try) -> None:
        """Remove a try; later messages about it are ignored."""
        del self.tries[call_try.wire_id]
        del call_try.call.open_tries[call_try.wire_id]

    def send_call(self, call_try: call_tries.Try) -> bool:
        """Send the call; return False if it certainly was not sent."""
        submission = call_try.call.submission
        call = inner_pb2.Call(
            call_id=call_try.wire_id,
            service=submission.service,
            deadline_ms=submission.deadline_ms,
            team=submission.team,
            urgency=submission.urgency,
            idempotent=submission.idempotent,
            body=submission.body,
        )
        return self._send(call_try, inner_pb2.EntryMessage(call=call))

    def cancel(self, call_try: call_tries.Try) -> None:
        """Ask the agent to cancel a try and to report whether it ran.

        The request is sent once per try.
        """
        if call_try.is_cancel_sent:
            return
        call_try.is_cancel_sent = True
        cancel = inner_pb2.CallCancel(
            call_id=call_try.wire_id,
            deadline_ms=call_try.call.submission.deadline_ms,
        )
        self._send(call_try, inner_pb2.EntryMessage(call_cancel=cancel))

    def return_credit(self, call_try: call_tries.Try, size_bytes: int) -> None:
        """Record data that the caller took; send the credit in steps.

        :param size_bytes: size of the data
        """
        credit_bytes = call_try.consume(size_bytes)
        if credit_bytes and call_try.wire_id in self.tries:
            credit = inner_pb2.CallCredit(
                call_id=call_try.wire_id, window_bytes=credit_bytes
            )
            self._send(call_try, inner_pb2.EntryMessage(call_credit=credit))

    def _send(
        self, call_try: call_tries.Try, message: inner_pb2.EntryMessage
    ) -> bool:
        attached = self._attached_targets.get(call_try.target_id)
        if attached is None:
            return False
        try:
            attached[1](message)
        except Exception as error:
            self._metrics.log_state(
                'message not sent', target=call_try.target_id, error=error
            )
            return False
        return True
