"""Tests that the history of a request is complete and in order."""

import json

from borageshelf.commands import explain
from tests import odd_values

ID = '0123456789abcdef'


def make_line(process: str, at_ms: int, event: str, **fields: object) -> str:
    """Return a log line with the prefix of a log collector."""
    document = {'process': process, 'at_ms': at_ms, 'event': event, **fields}
    return f'  12.3 host {json.dumps(document)}'


def test_history_merges_several_processes() -> None:
    """Guards against a history that shows an effect before its cause.

    The clock of one process is set back between two of its lines.
    """
    lines = [
        make_line('agent a', 1_400, 'end seen', task=f'{ID}.0.0.0'),
        make_line('agent a', 1_300, 'later line of a clock set back', x=ID),
        make_line('entry e', 1_000, 'workflow taken', workflow=ID),
        make_line('entry e', 1_100, 'run ordered', task=f'{ID}.0.0.0'),
        make_line('entry e', 1_200, 'workflow taken', workflow='other'),
        f'{ID} in a line that is no document',
        make_line('entry e', 5_000, 'workflow ended', workflow=ID),
    ]
    history = explain.find_history(lines, ID)
    assert [item['event'] for item in history] == [
        'workflow taken',
        'run ordered',
        'end seen',
        'later line of a clock set back',
        'workflow ended',
    ]
    text = list(explain.format_history(history))
    assert any('ms without a line' in line for line in text)
    assert 'workflow=0123456789abcdef' in text[0]


def test_odd_lines_are_left_out() -> None:
    """Guards against a line of another program that ends the command."""
    odd = [
        f'{ID} {{"event":"x","at_ms":{number}}}'
        for number in (*odd_values.HUGE_NUMBERS, '1.5', '"x"', 'null', '[]')
    ]
    nested = odd_values.nest_lists(100_000).decode()
    odd += [f'{ID} {{"event":{nested}}}', f'{ID} {{"event":"\udcff"}}']
    valid = make_line('entry e', 1_000, 'workflow taken', workflow=ID)
    history = explain.find_history([*odd, valid], ID)
    assert 'workflow taken' in [line['event'] for line in history]
    assert len(list(explain.format_history(history))) >= 1
