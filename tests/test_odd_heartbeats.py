"""Odd heartbeats of other writers don't hide those of the executor."""

import io
import json
import os
from typing import Any, Final

import pytest

from borageshelf import events
from borageshelf.model import targets
from borageshelf.platform import documents
from borageshelf.platform import registration
from tests import odd_values

HEARTBEAT: Final[dict[str, Any]] = {
    'born': 1,
    'Service': 'pigment',
    'Address': '10.0.0.1:1',
    'Zone': 'z',
    'Version': 'v1',
    'Slots': 8,
    'ColdLeftMs': 0,
    'State': 'ready',
    'SeqNo': 7,
    'Capacity': {'Cpu': 64_000, 'MemMb': 256_000},
    'Labels': ['a', 'r1'],
}
VALID: Final = json.dumps(HEARTBEAT).encode()


class Request:
    """A request as Twisted passes it to a resource."""

    def __init__(self, path: bytes, body: bytes) -> None:
        self.path = path
        self.content = io.BytesIO(body)
        self.status = 200

    def setHeader(self, name: bytes, value: bytes) -> None:  # noqa: N802
        """Ignore a header."""

    def setResponseCode(self, status: int) -> None:  # noqa: N802
        """Keep the status."""
        self.status = status


class Registration:
    """A registration site, with what it passes on and logs."""

    def __init__(self) -> None:
        self.announcements: list[targets.Announcement] = []
        self.event_log: Any = events.EventLog(
            'agent', 'test', os.open(os.devnull, os.O_WRONLY)
        )
        self._site = registration.PlatformRegistration(
            self.announcements.append, lambda instance_id: None, self.event_log
        )

    def beat(self, body: bytes, instance_id: bytes = b'i-1') -> int:
        """Send a heartbeat and return the status of the answer."""
        request: Any = Request(b'/-/Instances.Heartbeat/' + instance_id, body)
        self._site.render_POST(request)
        return int(request.status)

    def count_lines(self, event: str) -> int:
        """Return how many lines of an event wait to be written."""
        return sum(event.encode() in line for line in self.event_log._lines)


def list_odd_heartbeats() -> list[bytes]:
    """Return odd heartbeats of all kinds."""
    odd = [
        *odd_values.NO_DOCUMENTS,
        *(
            odd_values.add_field(VALID, odd_values.nest_lists(depth))
            for depth in odd_values.DEPTHS
        ),
        *(
            json.dumps({**HEARTBEAT, 'Address': address}).encode()
            for address in odd_values.ODD_ADDRESSES
        ),
    ]
    capacity = json.dumps(HEARTBEAT['Capacity']).encode()
    for number in (*odd_values.HUGE_NUMBERS, *odd_values.SMALL_NUMBERS):
        text = number.encode()
        odd.append(VALID.replace(b'"SeqNo": 7', b'"SeqNo": ' + text))
        odd.append(VALID.replace(b'"born": 1', b'"born": ' + text))
        odd.append(VALID.replace(capacity, capacity.replace(b'64000', text)))
    return odd


@pytest.mark.parametrize('odd', list_odd_heartbeats())
def test_odd_heartbeat_hides_no_executor(odd: bytes) -> None:
    """Guards against an agent that ends at a heartbeat or believes it."""
    site = Registration()
    assert site.beat(VALID) == 200
    assert site.beat(odd) == 200
    assert site.beat(VALID) == 200
    assert [found.sequence for found in site.announcements] == [7, 7]


def test_odd_heartbeats_are_logged_once_until_a_valid_one() -> None:
    """Guards against a writer that fills the log of an agent."""
    site = Registration()
    for _ in range(3):
        for number in range(5):
            site.beat(b'odd %d' % number)
        site.beat(b'odd', b'i-2')
    assert site.count_lines('announcement not readable') == 2
    site.beat(VALID)
    site.beat(b'odd')
    assert site.count_lines('announcement not readable') == 3


def test_ids_of_odd_heartbeats_are_limited() -> None:
    """Guards against a writer whose ids fill the memory of an agent."""
    site = Registration()
    for number in range(1_000):
        site.beat(b'odd', b'i-%d' % number)
    assert site.count_lines('announcement not readable') <= 100


def test_absurd_sequence_number_hides_no_later_heartbeat() -> None:
    """Guards against an executor that is ignored for good."""

    def announce(sequence: int) -> targets.Announcement:
        body = json.dumps({**HEARTBEAT, 'SeqNo': sequence}).encode()
        found = documents.decode_announcement('i-1', body, 0)
        assert found is not None
        return found

    sound, absurd, late = announce(1_200), announce(2**53), announce(1_190)
    assert absurd.is_newer_than(sound)
    assert announce(1_201).is_newer_than(absurd)
    assert not late.is_newer_than(sound)
    assert not sound.is_newer_than(sound)
