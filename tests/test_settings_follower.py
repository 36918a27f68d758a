"""Settings that change while a process runs."""

import dataclasses
import os

from borageshelf import events as events_module
from borageshelf import node_settings
from borageshelf import settings_follower

SETTINGS = node_settings.NodeSettings(
    'agent-0', 'tajo-norte', '127.0.0.1', '127.0.0.1:1', seeds=('127.0.0.1:2',)
)


def make_follower(
    found: list[node_settings.NodeSettings | Exception],
    applied: list[node_settings.NodeSettings],
) -> tuple[settings_follower.SettingsFollower, list[str]]:
    """Return a follower that reads the next of ``found`` each time."""
    events = events_module.EventLog(
        'agent', 'agent-0', os.open(os.devnull, os.O_WRONLY)
    )
    recorded: list[str] = []

    def record(event: str, **fields: object) -> None:
        recorded.append(event)

    events.record_state = record  # type: ignore[method-assign]

    def read() -> node_settings.NodeSettings:
        answer = found.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    follower = settings_follower.SettingsFollower(
        SETTINGS, read, applied.append, events
    )
    return follower, recorded


def test_change_without_a_signal_is_taken_over_once() -> None:
    """Guards against seeds that are replaced only by a restart."""
    changed = dataclasses.replace(SETTINGS, seeds=('127.0.0.1:3',))
    applied: list[node_settings.NodeSettings] = []
    follower, recorded = make_follower([SETTINGS, changed, changed], applied)
    for _ in range(3):
        follower._reload_file(is_requested=False)
    assert [item.seeds for item in applied] == [('127.0.0.1:3',)]
    assert recorded == ['settings reloaded']


def test_wrong_file_changes_nothing_and_is_told_once() -> None:
    """Guards against a file that is cut short, and against a full log."""
    wrong = node_settings.SettingsError(['node_id: empty'])
    applied: list[node_settings.NodeSettings] = []
    follower, recorded = make_follower([wrong, wrong, SETTINGS], applied)
    for _ in range(3):
        follower._reload_file(is_requested=False)
    assert follower.settings == SETTINGS
    assert not applied
    assert recorded == ['settings not reloaded']


def test_socket_settings_wait_for_the_next_start() -> None:
    """Guards against an identity that changes in a running process."""
    moved = dataclasses.replace(SETTINGS, node_id='agent-9', grace_s=3.0)
    applied: list[node_settings.NodeSettings] = []
    follower, recorded = make_follower([moved], applied)
    follower.reload()
    assert follower.settings.node_id == 'agent-0'
    assert applied[0].grace_s == 3.0
    assert recorded == ['settings reloaded']
