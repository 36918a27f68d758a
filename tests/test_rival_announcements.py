"""Announcements of executors of which only one is there."""

import dataclasses
from typing import Any

import pytest

from borageshelf.agent.workflows import rivals
from borageshelf import clock
from borageshelf.model import targets
from tests import test_workflow_driver as driver_tests

REAL = driver_tests.ANNOUNCEMENT
OTHER = dataclasses.replace(
    REAL, instance_id='i-other', born_at_ms=REAL.born_at_ms + 1
)


class Announcements:
    """Announcements to a driver at set times."""

    def __init__(self, harness: Any, monkeypatch: pytest.MonkeyPatch) -> None:
        self.driver = harness.driver
        self.now_ms = 100_000
        self._sequence = REAL.sequence
        monkeypatch.setattr(clock, 'read_elapsed_ms', lambda: self.now_ms)

    def announce(self, found: targets.Announcement, after_ms: int) -> str:
        """Announce an executor; return the one in use then."""
        self.now_ms += after_ms
        self._sequence += 1
        self.driver.handle_announcement(
            dataclasses.replace(found, sequence=self._sequence)
        )
        return str(self.driver.announcement.instance_id)


def test_agent_returns_to_the_executor_that_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a target that is unusable until its agent restarts."""

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        said = Announcements(harness, monkeypatch)
        assert said.announce(REAL, 0) == REAL.instance_id
        assert said.announce(OTHER, 0) == OTHER.instance_id
        found = [said.announce(REAL, 1_000) for _ in range(4)]
        assert found == [*[OTHER.instance_id] * 3, REAL.instance_id]

    driver_tests.run_scenario(scenario)


@pytest.mark.parametrize('gap_ms', [0, 200, 1_000])
def test_late_announcements_of_a_former_executor_hide_no_later_one(
    gap_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against agents that return to an executor that has gone.

    A cut delivers what it has held back at once, and those of the executor in
    use as well.
    """

    async def scenario(harness: driver_tests.DriverHarness) -> None:
        said = Announcements(harness, monkeypatch)
        said.announce(OTHER, 0)
        for _ in range(12):
            said.announce(REAL, gap_ms)
            if gap_ms:
                assert said.announce(OTHER, 0) == OTHER.instance_id
        assert said.driver.announcement.instance_id == OTHER.instance_id

    driver_tests.run_scenario(scenario)


def test_repeated_sequence_number_is_no_announcement() -> None:
    """Guards against one late announcement that arrives again and again."""
    rival = rivals.Rival()
    late = dataclasses.replace(REAL, sequence=5)
    assert not any(
        rival.has_outlasted(late, at_ms) for at_ms in range(0, 9_000, 500)
    )
