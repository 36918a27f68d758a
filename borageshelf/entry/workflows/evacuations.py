"""The evacuated data centres, as this entry follows them in the store.

The keys in the store are the source of truth. The set is soft state, which
carries the date of the reading that it reflects.
"""

from collections import abc

from borageshelf import clock
from borageshelf.decisions import evacuation
from borageshelf import events
from borageshelf import measurements
from borageshelf.ports import store as store_interface

Listener = abc.Callable[[evacuation.EvacuatedSet], None]


class Evacuations:
    """Keeps the set of evacuated data centres.

    :param key_prefix: what precedes the name of a data centre in a key
    :param own_data_centre: that of this entry
    """

    def __init__(
        self,
        key_prefix: str,
        own_data_centre: str,
        event_log: events.EventLog,
    ) -> None:
        self._key_prefix = key_prefix
        self.own_data_centre = own_data_centre
        self._event_log = event_log
        self._listeners: list[Listener] = []
        self._learned_at_ms: dict[str, int] = {}
        self.known = evacuation.EvacuatedSet(is_followed=True)

    def add_listener(self, listener: Listener) -> None:
        """Call a listener with each reading, whether the set changes or not.

        It is called once at once.
        """
        self._listeners.append(listener)
        listener(self.known)

    def remove_listener(self, listener: Listener) -> None:
        """Call a listener no more."""
        self._listeners.remove(listener)

    def apply_listing(
        self, entries: abc.Iterable[store_interface.Entry], read_at_ms: int
    ) -> None:
        """Replace the set: what a listing lacks has been removed.

        :param read_at_ms: elapsed time at which the listing was requested
        """
        listed = frozenset(
            name
            for entry in entries
            if not entry.deleted and (name := self._find_name(entry.key))
        )
        self._replace(listed, read_at_ms, 'listing')

    def apply_changes(
        self, entries: abc.Iterable[store_interface.Entry], read_at_ms: int
    ) -> None:
        """Change the set by the answer of a watch.

        :param read_at_ms: elapsed time at which the watch was requested
        """
        names = set(self.known.data_centres)
        for entry in entries:
            name = self._find_name(entry.key)
            if name and entry.deleted:
                names.discard(name)
            elif name:
                names.add(name)
        self._replace(frozenset(names), read_at_ms, 'watch')

    def _find_name(self, key: str) -> str:
        """Return the data centre that a key names; '' for another key."""
        if not key.startswith(self._key_prefix):
            return ''
        return key.removeprefix(self._key_prefix)

    def _replace(
        self, names: frozenset[str], read_at_ms: int, source: str
    ) -> None:
        former = self.known.data_centres
        self.known = evacuation.EvacuatedSet(True, names, read_at_ms)
        measurements.EVACUATED_DATA_CENTRES.set(len(names))
        now_ms = clock.read_elapsed_ms()
        age_ms = now_ms - read_at_ms
        for name in sorted(names - former):
            self._learned_at_ms[name] = now_ms
            self._event_log.record_state(
                'evacuation begun',
                data_centre=name,
                source=source,
                age_ms=age_ms,
            )
        for name in sorted(former - names):
            self._event_log.record_state(
                'evacuation ended',
                data_centre=name,
                source=source,
                age_ms=age_ms,
                lasted_ms=now_ms - self._learned_at_ms.pop(name),
            )
        for listener in self._listeners:
            listener(self.known)
