"""Deterministic fakes for tests of stored state, without an event loop.

A coroutine under test suspends at each store call and each pause. The test
resumes it with ``CoroutineStepper`` and chooses the outcome of the call, so
that a fault can be placed at any point and a run can be repeated.
"""

from collections import abc
import dataclasses
import enum
from typing import Any

from borageshelf import errors
from borageshelf.ports import store as store_interface


class CallOutcome(enum.Enum):
    """Outcome of one store call; recorded traces contain the names."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    LOST_BEFORE = 'lost before it took effect'
    LOST_AFTER = 'lost after it took effect'
    DELAYED = 'lost, takes effect later'


@dataclasses.dataclass
class Call:
    """A store call whose outcome is not decided yet, or a pause.

    :param apply: applies the call to the store; None for a pause
    :param answer: the answer and the error
    """

    name: str
    key: str = ''
    apply: abc.Callable[[], Any] | None = None
    # Set once the store has served the call; the coroutine may be resumed
    # with it later.
    answer: tuple[Any, errors.BorageshelfError | None] | None = None

    def __await__(self) -> abc.Generator['Call', Any, Any]:
        return (yield self)


class CoroutineStepper:
    """Runs a coroutine step by step, one store call or pause at a time."""

    def __init__(self, coroutine: abc.Coroutine[Any, Any, Any]) -> None:
        self._coroutine = coroutine
        self.call: Call | None = None
        self.result: Any = None
        self.error: errors.BorageshelfError | None = None
        self.is_done = False
        self._advance(lambda: coroutine.send(None))

    def _advance(self, resume: abc.Callable[[], Any]) -> None:
        self.call = None
        try:
            self.call = resume()
        except StopIteration as stop:
            self.is_done, self.result = True, stop.value
        except errors.BorageshelfError as error:
            self.is_done, self.error = True, error

    def step(self, outcome: CallOutcome, store: 'FakeStore') -> None:
        """Let the store serve the pending call and resume the coroutine."""
        assert self.call is not None
        store.serve(self.call, outcome)
        self.resume()

    def resume(self) -> None:
        """Resume the coroutine if its pending call has been served."""
        call = self.call
        assert call is not None
        if call.answer is None:
            return
        result, error = call.answer
        if error is not None:
            raised = error
            self._advance(lambda: self._coroutine.throw(raised))
        else:
            self._advance(lambda: self._coroutine.send(result))

    def finish(self, store: 'FakeStore') -> Any:
        """Run to the end without faults; return the result or raise."""
        while not self.is_done:
            self.step(CallOutcome.ANSWERED, store)
        if self.error is not None:
            raise self.error
        return self.result

    def close(self) -> None:
        """Close the coroutine; its pending call has no further effect."""
        self._coroutine.close()
        self.is_done = True


async def pause(delay_ms: int) -> None:
    """Suspend until the next step."""
    await Call('pause')


class FakeStore:
    """A store in memory with compare-and-swap and delayed writes."""

    def __init__(self) -> None:
        self.entries: dict[str, store_interface.Entry] = {}
        self.revision = 0
        self.is_down = False
        self.delayed: list[Call] = []
        self.head_put_count = 0

    def serve(self, call: Call, outcome: CallOutcome) -> None:
        """Serve a call once, with the given outcome."""
        if call.answer is not None:
            return
        if call.apply is None:
            call.answer = None, None
            return
        try:
            call.answer = self._produce_answer(call, call.apply, outcome), None
        except errors.BorageshelfError as error:
            call.answer = None, error

    def _produce_answer(
        self, call: Call, apply: abc.Callable[[], Any], outcome: CallOutcome
    ) -> Any:
        if self.is_down or outcome is CallOutcome.REFUSED:
            raise errors.BorageshelfError(errors.STORE_UNAVAILABLE, call.key)
        if outcome is CallOutcome.ANSWERED:
            return apply()
        if call.name in {'get', 'list'}:
            raise errors.BorageshelfError(errors.STORE_UNAVAILABLE, call.key)
        if outcome is CallOutcome.LOST_AFTER:
            self._apply_without_answer(call)
        elif outcome is CallOutcome.DELAYED:
            self.delayed.append(call)
        raise errors.BorageshelfError(errors.STORE_UNCERTAIN, call.key)

    def apply_delayed_write(self, index: int = 0) -> None:
        """Apply a delayed write; nobody receives its answer."""
        self._apply_without_answer(self.delayed.pop(index))

    def _apply_without_answer(self, call: Call) -> None:
        assert call.apply is not None
        try:
            call.apply()
        except errors.BorageshelfError:
            return

    async def get(self, key: str) -> store_interface.Entry | None:
        """Return an entry."""
        found: store_interface.Entry | None = await Call(
            'get', key, lambda: self.entries.get(key)
        )
        return found

    async def list(self, prefix: str) -> tuple[store_interface.Entry, ...]:
        """Return all entries under a prefix."""
        found: tuple[store_interface.Entry, ...] = await Call(
            'list',
            prefix,
            lambda: tuple(
                entry
                for key, entry in sorted(self.entries.items())
                if key.startswith(prefix)
            ),
        )
        return found

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str = '',
    ) -> int:
        """Replace a value with compare-and-swap."""

        def apply() -> int:
            self._check_revision(key, expected_revision)
            self.revision += 1
            self.head_put_count += key.endswith('/head')
            self.entries[key] = store_interface.Entry(
                key, value, self.revision, lease_id
            )
            return self.revision

        revision: int = await Call('put', key, apply)
        return revision

    async def delete(self, key: str, expected_revision: int) -> None:
        """Delete an entry if its revision is the expected one."""

        def apply() -> None:
            self._check_revision(key, expected_revision)
            del self.entries[key]

        await Call('delete', key, apply)

    def _check_revision(self, key: str, expected_revision: int) -> None:
        entry = self.entries.get(key)
        found = entry.revision if entry else store_interface.MUST_NOT_EXIST
        if found != expected_revision:
            raise errors.BorageshelfError(errors.STORE_CONFLICT, key)

    async def grant_lease(self, ttl_ms: int) -> store_interface.Lease:
        """Not needed: the safety of a shard does not depend on leases."""
        raise NotImplementedError

    async def renew_lease(self, lease_id: str) -> store_interface.Lease:
        """Not needed: the safety of a shard does not depend on leases."""
        raise NotImplementedError

    async def revoke_lease(self, lease_id: str) -> None:
        """Not needed: the safety of a shard does not depend on leases."""
        raise NotImplementedError

    async def watch(
        self, prefix: str, after_revision: int, deadline_ms: int
    ) -> store_interface.WatchAnswer:
        """Not needed: the safety of a shard does not depend on watches."""
        raise NotImplementedError
