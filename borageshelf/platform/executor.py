"""HTTP adapter of the executor that runs workflow tasks on the agent's VM."""

from typing import Final

import msgspec

from borageshelf import decoding
from borageshelf.model import numbers
from borageshelf.ports import http_client
from borageshelf.ports import task_executor

# According to the faults in the site files, an order whose answer is late is
# carried out at least 2 s later, so a longer timeout rarely helps.
TIMEOUT_MS: Final = 800
CONNECTIONS: Final = 12
ANSWER_LIMIT_BYTES: Final = 4_000_000
# Bounds how long an inspection waits for a run to end.
INSPECTION_WAIT_LIMIT_MS: Final = 2_000
# An executor lists this many ended runs at a time, the oldest first.
LISTED_ENDS_LIMIT: Final = 500

_END_KINDS: Final = {
    'done': task_executor.EndKind.DONE,
    'failed': task_executor.EndKind.FAILED,
    'stopped': task_executor.EndKind.STOPPED,
    'lapsed': task_executor.EndKind.LEASE_EXPIRED,
    'broken': task_executor.EndKind.GANG_BROKEN,
    'alone': task_executor.EndKind.GANG_INCOMPLETE,
}
_REFUSED_OUTCOMES: Final = {
    'fence': task_executor.StartOutcome.FENCED,
    'old': task_executor.StartOutcome.SUPERSEDED,
    'late': task_executor.StartOutcome.TOO_LATE,
    'room': task_executor.StartOutcome.NO_ROOM,
    'ticket': task_executor.StartOutcome.NO_TICKET,
}


class _Start(msgspec.Struct, rename='pascal', omit_defaults=True):
    """An order to start a run.

    :param deadline_ms: deadline of the lease on the executor's clock; it
        extends the lease of everything that runs on the executor
    """

    task: str
    attempt: int
    spec: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ''


class _Stop(msgspec.Struct, rename='pascal'):
    task: str
    attempt: int
    fencing_token: int


class _Pace(msgspec.Struct, rename='pascal'):
    task: str
    attempt: int
    percent: int
    fencing_token: int


class _Hold(msgspec.Struct, rename='pascal', omit_defaults=True):
    """A request for the running tasks and the ended runs.

    :param last_seen: acknowledges all ended runs up to this number
    """

    fencing_token: int
    last_seen: int
    deadline_ms: int = 0
    wait_ms: int = 0


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    attempt: numbers.WholeNumber
    checkpoint: str | None
    progress_percent: numbers.Amount
    measured: numbers.Amount = 0


class _EndedRow(msgspec.Struct, array_like=True):
    number: numbers.WholeNumber
    task: str
    attempt: numbers.WholeNumber
    kind: str
    checkpoint: str | None


class _HoldAnswer(msgspec.Struct, rename='pascal'):
    """The running tasks and the ended runs of the executor.

    One malformed row makes the whole answer unusable, because a run that is
    not listed counts as ended.
    """

    clock_ms: numbers.WholeNumber
    running: list[_RunningRow]
    ended_runs: list[_EndedRow]
    born: numbers.WholeNumber = msgspec.field(name='born', default=0)


class _Clock(msgspec.Struct, rename='pascal'):
    clock_ms: numbers.WholeNumber = 0


class _Refusal(msgspec.Struct, rename='pascal'):
    reason: str = ''


class PlatformExecutor:
    """The executor over HTTP; implements ``task_executor.TaskExecutor``."""

    def __init__(self, address: str) -> None:
        self._client = http_client.HttpClient(f'http://{address}', CONNECTIONS)

    async def start(
        self, instance_id: str, order: task_executor.StartOrder
    ) -> task_executor.StartAnswer:
        """Start an attempt; see the interface."""
        answer = await self._send(
            '/-/run-start',
            instance_id,
            _Start(
                order.task,
                order.attempt,
                order.spec,
                order.lease_deadline_ms,
                order.token,
                order.checkpoint,
            ),
        )
        return task_executor.StartAnswer(
            _decode_outcome(answer), _decode_clock_ms(answer)
        )

    async def stop(
        self, instance_id: str, task: str, attempt: int, token: int
    ) -> None:
        """Stop an attempt; see the interface."""
        _raise_refusal(
            await self._send(
                '/-/run-stop', instance_id, _Stop(task, attempt, token)
            )
        )

    async def inspect(
        self,
        instance_id: str,
        token: int,
        acknowledged: int,
        lease_deadline_ms: int,
        wait_ms: int,
    ) -> task_executor.Inspection:
        """List running tasks and ended runs; see the interface."""
        wait_ms = min(wait_ms, INSPECTION_WAIT_LIMIT_MS)
        answer = await self._send(
            '/-/hold',
            instance_id,
            _Hold(token, acknowledged, lease_deadline_ms, wait_ms),
            TIMEOUT_MS + wait_ms,
        )
        _raise_refusal(answer)
        try:
            inspected = decoding.decode_json(answer.body, _HoldAnswer)
            return task_executor.Inspection(
                inspected.clock_ms,
                inspected.born,
                tuple(_decode_running_task(row) for row in inspected.running),
                tuple(_decode_ended_run(row) for row in inspected.ended_runs),
                len(inspected.ended_runs) < LISTED_ENDS_LIMIT,
            )
        except (decoding.Unreadable, KeyError) as error:
            raise task_executor.ExecutorUnavailable(repr(error)) from error

    async def pace(
        self,
        instance_id: str,
        task: str,
        attempt: int,
        percent: int,
        token: int,
    ) -> None:
        """Limit a task to a share of its speed; see the interface."""
        _raise_refusal(
            await self._send(
                '/-/pace', instance_id, _Pace(task, attempt, percent, token)
            )
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _send(
        self,
        path: str,
        instance_id: str,
        request: object,
        timeout_ms: int = TIMEOUT_MS,
    ) -> http_client.Answer:
        headers = {'Content-Type': 'application/json'}
        if instance_id:
            headers['Target-Instance'] = instance_id
        try:
            return await self._client.send(
                b'POST',
                path,
                headers,
                msgspec.json.encode(request),
                timeout_ms,
                ANSWER_LIMIT_BYTES,
            )
        except http_client.RequestFailed as error:
            raise task_executor.ExecutorUnavailable(
                f'{path}: {error.detail}', error.is_connection_refused
            ) from error


def _decode_outcome(answer: http_client.Answer) -> task_executor.StartOutcome:
    if answer.status == 200:
        return task_executor.StartOutcome.STARTED
    if answer.status == 409:
        try:
            refusal = decoding.decode_json(answer.body, _Refusal)
        except decoding.Unreadable:
            return task_executor.StartOutcome.INVALID
        return _REFUSED_OUTCOMES.get(
            refusal.reason, task_executor.StartOutcome.INVALID
        )
    if answer.status == 421:
        return task_executor.StartOutcome.OTHER_INSTANCE
    if answer.status in (429, 503):
        return task_executor.StartOutcome.UNHEALTHY
    if answer.status == 400:
        return task_executor.StartOutcome.INVALID
    raise task_executor.ExecutorUnavailable(f'status {answer.status}')


def _decode_clock_ms(answer: http_client.Answer) -> int:
    """Return the executor's clock in an answer, 0 if it shows none."""
    try:
        return decoding.decode_json(answer.body, _Clock).clock_ms
    except decoding.Unreadable:
        return 0


def _raise_refusal(answer: http_client.Answer) -> None:
    """Raise ``OrderRefused`` for an answer that reports a refusal."""
    outcome = _decode_outcome(answer)
    if outcome is not task_executor.StartOutcome.STARTED:
        raise task_executor.OrderRefused(outcome)


def _decode_running_task(row: _RunningRow) -> task_executor.RunningTask:
    return task_executor.RunningTask(
        row.task,
        row.attempt,
        row.checkpoint or '',
        int(row.progress_percent),
        int(row.measured),
    )


def _decode_ended_run(row: _EndedRow) -> task_executor.EndedRun:
    return task_executor.EndedRun(
        row.number,
        row.task,
        row.attempt,
        _END_KINDS[row.kind],
        row.checkpoint or '',
    )
