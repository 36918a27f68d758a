"""Tests of the reports that an agent sends to entries."""

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


class FakeLink:
    """The attributes of a stream that a report depends on."""

    def __init__(self) -> None:
        self.epochs = {3: 7}
        self.usage_fingerprint = b''


class FakeTaskManager:
    """A task manager with a ledger and without a worker."""

    def __init__(self, ledger: reservations.Reservations) -> None:
        self.ledger = ledger


def make_report_maker(
    grant_ms: int,
) -> tuple[reports.ReportMaker, links.EntryLink, reservations.Reservations]:
    """Return the report maker, stream and ledger of an agent.

    The agent holds one attempt of shard 3, whose owner is the entry at the
    other end of the stream.
    """
    now_ms = clock.read_wall_clock_ms()
    ledger = reservations.Reservations(SIZE)
    spec = reservations.AttemptSpec(KEY, 3, 7, 'f', SIZE, now_ms + grant_ms)
    ledger.reserve(spec, now_ms)
    state = agent_state.AgentState(
        cast(options_module.AgentOptions, None),
        'boot',
        worker_interface.WorkerDescription('boot', SIZE, 'rack'),
        tasks=cast(task_manager.TaskManager, FakeTaskManager(ledger)),
    )
    link = cast(links.EntryLink, FakeLink())
    return reports.ReportMaker(state), link, ledger


def test_running_attempt_is_listed_when_its_grant_is_due() -> None:
    """Guards against a grant that expires because it is reported too late.

    An attempt whose grant is still long must not be listed, because listing
    all attempts in each report costs the entries too much time.
    """
    maker, link, ledger = make_report_maker(3_600_000)
    assert not maker.make_report(link).attempts
    now_ms = clock.read_wall_clock_ms()
    ledger.update(KEY, grant_deadline_ms=now_ms - 1)
    assert len(maker.make_report(link).attempts) == 1


def test_complete_report_lists_every_attempt() -> None:
    """Guards against a new owner that takes a running attempt for absent.

    A new owner learns of an attempt only from a complete report, also when
    the grant of the attempt is still long.
    """
    maker, link, _ = make_report_maker(3_600_000)
    assert len(maker.make_report(link, is_complete=True).attempts) == 1


def test_ended_attempt_is_listed_until_it_is_released() -> None:
    """Guards against an end that is lost with a single message.

    The owner may miss one report, so each report lists the attempt until the
    owner releases it.
    """
    maker, link, ledger = make_report_maker(3_600_000)
    ledger.update(KEY, state=reservations.HeldState.SUCCEEDED)
    for _ in range(2):
        assert len(maker.make_report(link).attempts) == 1
    assert ledger.release(KEY, 3, 7)
    assert not maker.make_report(link).attempts


def test_usage_is_sent_when_it_changes() -> None:
    """Guards against entries that place tasks by outdated usage.

    Usage is sent only when it has changed, so a change must not be missed.
    """
    maker, link, ledger = make_report_maker(3_600_000)
    assert maker.make_report(link).has_usage
    assert not maker.make_report(link).has_usage
    ledger.update(KEY, used=resources.Resources(9_000, 1000))
    assert maker.make_report(link).has_usage
