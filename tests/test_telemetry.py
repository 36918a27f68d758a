"""Metrics must reach the receiver and must never delay the sender."""

import pathlib
import re
import socket
import time

import pytest

from borageshelf import options
from borageshelf import telemetry

TABLE = pathlib.Path(__file__).parents[1] / 'docs' / 'metrics.md'
ROW = re.compile(r'^\| `([\w.]+)` \| (\w+) \| (\w+) \| (.*) \| (.*) \|$')


def test_table_matches_registry() -> None:
    """Guards against an undocumented or wrongly documented metric."""
    rows = [ROW.match(line) for line in TABLE.read_text().splitlines()]
    found = {row[1]: row.groups()[1:] for row in rows if row}
    expected = {
        metric.name: (
            metric.kind.value,
            metric.unit,
            metric.label,
            metric.description,
        )
        for metric in telemetry.METRICS.values()
    }
    assert found == expected


def test_metrics_arrive_with_safe_names() -> None:
    """Guards against a label that changes the syntax of a datagram."""
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(('127.0.0.1', 0))
    receiver.settimeout(5)
    address = options.Address('127.0.0.1', receiver.getsockname()[1])
    sender = telemetry.Telemetry('entry', 'e.1', address)
    sender.count(telemetry.CALLS_ENDED, 'A:1|c\nb', 3)
    sender.time(telemetry.CALL_LATENCY, 12.5, 'pigment')
    sender.gauge(telemetry.CONFIG_VERSION, 7)
    received = [receiver.recv(1000).decode() for _ in range(3)]
    assert received == [
        'borageshelf.entry.e_1.calls.ended.A_1_c_b:3|c',
        'borageshelf.entry.e_1.calls.latency.pigment:12.500000|ms',
        'borageshelf.entry.e_1.config.version:7|g',
    ]
    sender.close()
    receiver.close()


def test_sender_never_fails_or_blocks() -> None:
    """Guards against a process that waits for its metrics."""
    # Nothing listens on the port, so no datagram is read.
    address = options.Address('127.0.0.1', 9)
    start = time.monotonic()
    for target in (None, address):
        sender = telemetry.Telemetry('agent', 'vm-1', target)
        for _ in range(2000):
            sender.count(telemetry.TASKS_STARTED, 'ledgers')
        sender.close()
        sender.gauge(telemetry.SHARDS_OWNED, 1)
    assert time.monotonic() - start < 10


def test_log_lines_cannot_be_forged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a foreign identifier that adds a log line.

    The identifier contains a line break.
    """
    lines = []
    monkeypatch.setattr(
        'absl.logging.info',
        lambda text, *arguments: lines.append(text % arguments),
    )
    sender = telemetry.Telemetry('entry', 'e1', None)
    sender.log_state('target attached', target='vm\nentry e1: lie', slots=8)
    assert lines == [
        r"entry e1: target attached target='vm\nentry e1: lie' slots=8"
    ]
