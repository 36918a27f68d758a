"""The command ``explain``: the history of one request from log lines.

It accepts the logs of any number of processes, whose clocks may differ. Lines
of one process keep their order; the processes are merged by timestamp.
"""

from collections import abc
import sys
from typing import Any, Final

import cleo.helpers

from borageshelf.commands import base
from borageshelf.commands import statuses
from borageshelf import decoding

GAP_THRESHOLD_MS: Final = 1_000
# Fields of every log line. The others hold the values behind a decision.
_COMMON_FIELDS: Final = frozenset({'process', 'at_ms', 'level', 'event'})


def find_history(
    lines: abc.Iterable[str], wanted_id: str
) -> list[dict[str, Any]]:
    """Return the log lines that mention an id, merged by timestamp.

    :param wanted_id: id of a workflow, a task or a target
    """
    found: list[tuple[int, int, dict[str, Any]]] = []
    latest_ms: dict[str, int] = {}
    for number, line in enumerate(lines):
        start = line.find('{')
        if wanted_id not in line or start < 0:
            continue
        try:
            document = decoding.decode_json(
                line[start:].encode(errors='replace'), dict[str, Any]
            )
        except decoding.Unreadable:
            continue
        at_ms = document.get('at_ms', 0)
        if 'event' not in document or not isinstance(at_ms, int):
            continue
        process = str(document.get('process', ''))
        # A clock that is set back must not reorder the lines of a process.
        at_ms = max(at_ms, latest_ms.get(process, 0))
        latest_ms[process] = at_ms
        found.append((at_ms, number, document))
    found.sort(key=lambda item: item[:2])
    return [document for _, _, document in found]


def format_history(
    history: abc.Sequence[abc.Mapping[str, Any]],
) -> abc.Iterator[str]:
    """Yield a line of text for each log line and for each long gap."""
    previous_ms = 0
    first_ms = int(history[0].get('at_ms', 0)) if history else 0
    for document in history:
        at_ms = int(document.get('at_ms', 0))
        if previous_ms and at_ms - previous_ms > GAP_THRESHOLD_MS:
            yield f'{"":>9}  ... {at_ms - previous_ms} ms without a line'
        previous_ms = at_ms
        fields = ' '.join(
            f'{name}={value}'
            for name, value in document.items()
            if name not in _COMMON_FIELDS
        )
        yield (
            f'{at_ms - first_ms:>6} ms  {document.get("process", "")}: '
            f'{document["event"]} {fields}'
        )


class ExplainCommand(base.Command):
    """Print the history of one request."""

    name = 'explain'
    description = (
        'Prints the history of an id from log lines on standard input'
    )
    arguments = [
        cleo.helpers.argument(
            'id', description='Id of a workflow, a task or a target'
        )
    ]

    def execute_command(self) -> int:
        """Read the log lines and print the history."""
        history = find_history(sys.stdin, self.argument('id'))
        for line in format_history(history):
            self.print_text(line)
        return statuses.OK if history else statuses.NOT_FOUND


COMMANDS: Final = (ExplainCommand,)
