"""The entries that follow this owner, each by a stream of its own."""

import asyncio
from typing import Final

from borageshelf import clock
from borageshelf import events
from borageshelf import loop
from borageshelf.workflows import channel
from borageshelf.workflows import messages

# Entries ping their owner every 400 ms.
SILENCE_LIMIT_MS: Final = 1_700
CHECK_INTERVAL_MS: Final = 200


class Peer:
    """Another entry that is connected to this owner.

    :ivar last_received_at_ms: elapsed time of its last message
    """

    def __init__(
        self, hello: messages.EntryHello, outbox: channel.Outbox
    ) -> None:
        self.entry_id = hello.entry_id
        self.address = hello.address
        self.processor_millicores = hello.processor_millicores
        self.outbox = outbox
        self.last_received_at_ms = clock.read_elapsed_ms()


class Peers:
    """The connected entries, by their ids."""

    def __init__(self, event_log: events.EventLog) -> None:
        self._event_log = event_log
        self._peers: dict[str, Peer] = {}

    def add(self, hello: messages.EntryHello, outbox: channel.Outbox) -> Peer:
        """Add an entry, and close a former stream of the same one."""
        former = self._peers.get(hello.entry_id)
        if former is not None:
            former.outbox.close()
        peer = Peer(hello, outbox)
        self._peers[peer.entry_id] = peer
        return peer

    def remove(self, peer: Peer) -> None:
        """Remove an entry unless a later stream has replaced this one."""
        if self._peers.get(peer.entry_id) is peer:
            del self._peers[peer.entry_id]

    def list_addresses(self) -> tuple[messages.EntryAddress, ...]:
        """Return the ids and addresses of the entries."""
        return tuple(
            messages.EntryAddress(entry_id, peer.address)
            for entry_id, peer in sorted(self._peers.items())
        )

    def find_largest_millicores(self) -> int:
        """Return the processors of the largest entry, 0 without any."""
        return max(
            (peer.processor_millicores for peer in self._peers.values()),
            default=0,
        )

    def close_all(self) -> None:
        """Close all streams."""
        for peer in self._peers.values():
            peer.outbox.close()

    async def close_silent(self) -> None:
        """Close the streams of silent entries, until cancelled.

        An entry that was lost would count as one that can take over.
        """
        pause_watch = loop.PauseWatch(CHECK_INTERVAL_MS)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
            limit_ms = clock.read_elapsed_ms() - SILENCE_LIMIT_MS
            connected = list(self._peers.values())
            received_at_ms = pause_watch.excuse(
                peer.last_received_at_ms for peer in connected
            )
            for peer, at_ms in zip(connected, received_at_ms, strict=True):
                peer.last_received_at_ms = at_ms
                if at_ms < limit_ms:
                    self._event_log.record_state(
                        'entry silent', entry=peer.entry_id
                    )
                    peer.outbox.close()
                    self.remove(peer)
