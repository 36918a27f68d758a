"""Tests of settings files, of the event log and of the metrics page."""

import asyncio
import json
import os

import pytest

from borageshelf import events
from borageshelf import measurements
from borageshelf import node_settings
from tests import test_documentation

VALID_DOCUMENT = {
    'node_id': 'entry-1',
    'data_centre': 'tajo-norte',
    'host': '10.0.0.1',
    'store_address': '10.0.0.2:80',
}


def test_defaults() -> None:
    """Guards against a wrong default in the documentation."""
    found = node_settings.parse(json.dumps(VALID_DOCUMENT).encode())
    rows = test_documentation.read_rows('commands.md')
    documented = {row[0]: row[2] for row in rows if len(row) == 4}
    for name in (
        'metrics_port',
        'processor_share',
        'processor_speed',
        'executor_lease_limit_ms',
        'evacuation_limit_ms',
        'grace_s',
        'status_retention_s',
        'remote_factor',
    ):
        assert documented[name] == str(getattr(found, name))


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        ({'node_id': ''}, 'node_id: empty'),
        ({'store_address': ''}, 'store_address: missing'),
        ({'store_address': 'nowhere'}, 'store_address: must have'),
        ({'seeds': ['x']}, 'seeds: must have'),
        ({'metrics_port': 0}, 'metrics_port: must be from 1'),
        ({'processor_share': 0}, 'processor_share: must be from'),
        ({'grace_s': 0}, 'grace_s: must be from'),
        ({'remote_factor': 0.5}, 'remote_factor: must be from 1'),
        ({'executor_lease_limit_ms': 'x'}, 'executor_lease_limit_ms'),
        ({'evacuation_limit_ms': 4_899}, 'must be 0 or from 4900'),
    ],
)
def test_faults_are_named(change: dict[str, object], message: str) -> None:
    """Guards against a process that starts with invalid settings."""
    with pytest.raises(node_settings.SettingsError) as caught:
        node_settings.parse(json.dumps({**VALID_DOCUMENT, **change}).encode())
    assert message in str(caught.value)


def test_truncated_file_is_refused() -> None:
    """Guards against the settings of a partly written file."""
    body = json.dumps(VALID_DOCUMENT).encode()
    with pytest.raises(node_settings.SettingsError):
        node_settings.parse(body[: len(body) // 2])


def test_missing_settings_of_a_role() -> None:
    """Guards against an entry without listen addresses."""
    found = node_settings.parse(json.dumps(VALID_DOCUMENT).encode())
    assert node_settings.find_missing_settings(found, True) == [
        'caller_address: missing',
        'ready_address: missing',
        'inner_address: missing',
    ]


def test_log_does_not_wait_for_a_reader() -> None:
    """Guards against a process that blocks because nobody reads its log.

    The pipe fills up, so details are dropped; all states are written once the
    pipe is read.
    """
    read_descriptor, write_descriptor = os.pipe()

    async def check() -> None:
        log = events.EventLog('entry', 'test', descriptor=write_descriptor)
        running = asyncio.ensure_future(log.run())
        async with asyncio.timeout(20):
            for number in range(20_000):
                log.record_detail('detail', number=number)
                if number % 1_000 == 0:
                    log.record_state('state', number=number)
                    await asyncio.sleep(0)
            await asyncio.sleep(0.2)
            assert log.dropped_lines > 1_000
            log.record_state('last')
            os.set_blocking(read_descriptor, False)
            text = b''
            while b'"event":"last"' not in text:
                try:
                    text += os.read(read_descriptor, 1 << 20)
                except BlockingIOError:
                    await asyncio.sleep(0.02)
        running.cancel()
        lines = [json.loads(line) for line in text.splitlines() if line]
        states = [line for line in lines if line['event'] == 'state']
        assert len(states) == 20, 'states were dropped before details'

    asyncio.run(check())
    os.close(read_descriptor)
    os.close(write_descriptor)


def test_metrics_page_lists_the_registry() -> None:
    """Guards against an undocumented or wrongly documented metric."""
    rows = test_documentation.read_rows('metrics.md')
    documented = {
        (row[0], row[1], row[3])
        for row in rows
        if row[0].startswith('borageshelf_')
    }
    found = {
        (metric.name, metric.type, metric.documentation)
        for metric in measurements.REGISTRY.collect()
    }
    assert documented == found
