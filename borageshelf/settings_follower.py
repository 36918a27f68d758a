"""Keeps the settings in force in step with the settings file.

The file is read again at a signal and from time to time, since it may change
without one. A file that can't be used changes nothing.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Final

from borageshelf import events as events_module
from borageshelf import node_settings

# Reading the file takes less than a millisecond.
READ_INTERVAL_MS: Final = 2_000
# Settings that a running process takes over; the others name sockets and
# identities and take effect at the next start.
LIVE_FIELDS: Final = frozenset(
    {
        'seeds',
        'executor_lease_limit_ms',
        'grace_s',
        'status_retention_s',
    }
)


class SettingsFollower:
    """The settings in force.

    :param read: reads the settings file
    :param apply: called with new settings of which only live fields differ
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        read: abc.Callable[[], node_settings.NodeSettings],
        apply: abc.Callable[[node_settings.NodeSettings], None],
        events: events_module.EventLog,
    ) -> None:
        self.settings = settings
        self._read = read
        self._apply = apply
        self._events = events
        self._known_faults: tuple[str, ...] = ()
        self._pending: tuple[str, ...] = ()

    def reload(self) -> None:
        """Read the file because of a signal; the outcome is logged."""
        self._known_faults = ()
        self._take(is_asked=True)

    async def run(self) -> None:
        """Read the file from time to time until cancelled."""
        while True:
            await asyncio.sleep(READ_INTERVAL_MS / 1000)
            self._take(is_asked=False)

    def _take(self, is_asked: bool) -> None:
        try:
            found = self._read()
        except node_settings.SettingsError as error:
            if error.faults != self._known_faults:
                self._known_faults = error.faults
                self._events.record_state(
                    'settings not reloaded', faults=list(error.faults)
                )
            return
        self._known_faults = ()
        changed = [
            field.name
            for field in dataclasses.fields(found)
            if getattr(found, field.name) != getattr(self.settings, field.name)
        ]
        live = [name for name in changed if name in LIVE_FIELDS]
        pending = tuple(name for name in changed if name not in LIVE_FIELDS)
        if is_asked or live or pending != self._pending:
            self._events.record_state(
                'settings reloaded', changed=live, at_next_start=list(pending)
            )
        self._pending = pending
        if live:
            values = {name: getattr(found, name) for name in live}
            self.settings = dataclasses.replace(self.settings, **values)
            self._apply(self.settings)
