"""Tests of settings that change while a process runs."""

import dataclasses
import os

from borageshelf import events
from borageshelf import node_settings
from borageshelf import settings_follower

SETTINGS = node_settings.NodeSettings(
    'agent-0', 'tajo-norte', '127.0.0.1', '127.0.0.1:1', seeds=('127.0.0.1:2',)
)


def make_follower(
    answers: list[node_settings.NodeSettings | Exception],
    applied: list[node_settings.NodeSettings],
) -> tuple[settings_follower.SettingsFollower, list[str]]:
    """Return a follower whose reads return ``answers``, and its log events."""
    event_log = events.EventLog(
        'agent', 'agent-0', os.open(os.devnull, os.O_WRONLY)
    )
    recorded: list[str] = []

    def record(event: str, **fields: object) -> None:
        recorded.append(event)

    event_log.record_state = record  # type: ignore[method-assign]

    def read() -> node_settings.NodeSettings:
        answer = answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    follower = settings_follower.SettingsFollower(
        SETTINGS, read, applied.append, event_log
    )
    return follower, recorded


def test_change_without_a_signal_is_applied_once() -> None:
    """Guards against seeds that change only at a restart."""
    changed = dataclasses.replace(SETTINGS, seeds=('127.0.0.1:3',))
    applied: list[node_settings.NodeSettings] = []
    follower, recorded = make_follower([SETTINGS, changed, changed], applied)
    for _ in range(3):
        follower._reload_file(is_requested=False)
    assert [item.seeds for item in applied] == [('127.0.0.1:3',)]
    assert recorded == ['settings reloaded']


def test_invalid_file_changes_nothing_and_is_logged_once() -> None:
    """Guards against settings of a truncated file and repeated log lines.

    A fault of the file is logged once, although the file is read periodically.
    """
    fault = node_settings.SettingsError(['node_id: empty'])
    applied: list[node_settings.NodeSettings] = []
    follower, recorded = make_follower([fault, fault, SETTINGS], applied)
    for _ in range(3):
        follower._reload_file(is_requested=False)
    assert follower.settings == SETTINGS
    assert not applied
    assert recorded == ['settings not reloaded']


def test_identity_changes_at_the_next_start() -> None:
    """Guards against a changed identity of a running process."""
    moved = dataclasses.replace(SETTINGS, node_id='agent-9', grace_s=3.0)
    applied: list[node_settings.NodeSettings] = []
    follower, recorded = make_follower([moved], applied)
    follower.reload()
    assert follower.settings.node_id == 'agent-0'
    assert applied[0].grace_s == 3.0
    assert recorded == ['settings reloaded']
