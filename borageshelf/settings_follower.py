"""Reloads the settings file while the process runs.

The file is read at each reload signal and also periodically, because it may
change without a signal. An invalid file leaves the settings in force.
"""

import asyncio
from collections import abc
import dataclasses
from typing import Final

from borageshelf import events
from borageshelf import node_settings

# One read takes less than 1 ms.
READ_INTERVAL_MS: Final = 2_000
# Settings that a running process can change. The others determine sockets and
# identities, and their changes take effect at the next start.
RELOADABLE_FIELDS: Final = frozenset(
    {
        'seeds',
        'executor_lease_limit_ms',
        'grace_s',
        'status_retention_s',
        'unfinished_requests_limit_bytes',
        'connections_limit',
        'headers_limit_ms',
        'body_stall_limit_ms',
        'answer_stall_limit_ms',
    }
)


class SettingsFollower:
    """Holds the settings in force and applies changes of the settings file.

    :param read: reads the settings file
    :param apply: called with the new settings, which differ only in
        ``RELOADABLE_FIELDS``
    :ivar settings: the settings in force
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        read: abc.Callable[[], node_settings.NodeSettings],
        apply: abc.Callable[[node_settings.NodeSettings], None],
        event_log: events.EventLog,
    ) -> None:
        self.settings = settings
        self._read = read
        self._apply = apply
        self._event_log = event_log
        self._known_faults: tuple[str, ...] = ()
        self._pending: tuple[str, ...] = ()

    def reload(self) -> None:
        """Read the file because of a signal and log the outcome."""
        self._known_faults = ()
        self._reload_file(is_requested=True)

    async def run(self) -> None:
        """Read the file periodically until cancelled."""
        while True:
            await asyncio.sleep(READ_INTERVAL_MS / 1000)
            self._reload_file(is_requested=False)

    def _reload_file(self, is_requested: bool) -> None:
        try:
            loaded = self._read()
        except node_settings.SettingsError as error:
            if error.faults != self._known_faults:
                self._known_faults = error.faults
                self._event_log.record_state(
                    'settings not reloaded', faults=list(error.faults)
                )
            return
        self._known_faults = ()
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name)
            != getattr(self.settings, field.name)
        ]
        reloadable = [name for name in changed if name in RELOADABLE_FIELDS]
        pending = tuple(
            name for name in changed if name not in RELOADABLE_FIELDS
        )
        if is_requested or reloadable or pending != self._pending:
            self._event_log.record_state(
                'settings reloaded',
                changed=reloadable,
                at_next_start=list(pending),
            )
        self._pending = pending
        if reloadable:
            values = {name: getattr(loaded, name) for name in reloadable}
            self.settings = dataclasses.replace(self.settings, **values)
            self._apply(self.settings)
