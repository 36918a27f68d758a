"""Reports of an agent."""

from typing import cast

from borageshelf.agent import agent_state
from borageshelf.agent import links
from borageshelf.agent import reports
from borageshelf.agent import reservations
from borageshelf.agent import task_manager
from borageshelf import clock
from borageshelf.model import resources
from borageshelf import options as options_module
from borageshelf.ports import worker as worker_interface

SIZE = resources.Resources(1000, 1000)
KEY = reservations.AttemptKey('job/0', 1)


class LinkFake:
    """The fields of a stream that a report depends on."""

    def __init__(self) -> None:
        self.epochs = {3: 7}
        self.usage_fingerprint = b''


class TasksFake:
    """The ledger of an agent."""

    def __init__(self, ledger: reservations.Reservations) -> None:
        self.ledger = ledger


def make_reports(
    grant_ms: int,
) -> tuple[reports.ReportMaker, links.EntryLink, reservations.Reservations]:
    """Return the reports of an agent with one attempt and its stream."""
    now_ms = clock.read_wall_clock_ms()
    ledger = reservations.Reservations(SIZE)
    spec = reservations.AttemptSpec(KEY, 3, 7, 'f', SIZE, now_ms + grant_ms)
    ledger.reserve(spec, now_ms)
    parts = agent_state.AgentState(
        cast(options_module.AgentOptions, None),
        'boot',
        worker_interface.WorkerDescription('boot', SIZE, 'rack'),
        tasks=cast(task_manager.TaskManager, TasksFake(ledger)),
    )
    link = cast(links.EntryLink, LinkFake())
    return reports.ReportMaker(parts), link, ledger


def test_running_attempt_is_listed_when_its_grant_is_due() -> None:
    """Guards against a grant that runs out, and against needless lists."""
    maker, link, ledger = make_reports(3_600_000)
    assert not maker.make_report(link).attempts
    now_ms = clock.read_wall_clock_ms()
    ledger.update(KEY, grant_deadline_ms=now_ms - 1)
    assert len(maker.make_report(link).attempts) == 1


def test_complete_report_lists_every_attempt() -> None:
    """Guards against a new owner that takes a running attempt for absent."""
    maker, link, _ = make_reports(3_600_000)
    assert len(maker.make_report(link, is_complete=True).attempts) == 1


def test_ended_attempt_is_listed_until_it_is_released() -> None:
    """Guards against a completion that is lost with one message."""
    maker, link, ledger = make_reports(3_600_000)
    ledger.update(KEY, state=reservations.HeldState.SUCCEEDED)
    for _ in range(2):
        assert len(maker.make_report(link).attempts) == 1
    assert ledger.release(KEY, 3, 7)
    assert not maker.make_report(link).attempts


def test_usage_is_sent_when_it_changes() -> None:
    """Guards against entries that place by usage of long ago."""
    maker, link, ledger = make_reports(3_600_000)
    assert maker.make_report(link).has_usage
    assert not maker.make_report(link).has_usage
    ledger.update(KEY, used=resources.Resources(9_000, 1000))
    assert maker.make_report(link).has_usage
