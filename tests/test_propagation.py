"""Replays traces of the propagation of configuration versions."""

import asyncio
from collections import abc
import dataclasses
import pathlib
from typing import Any

import pytest

from borageshelf.configuration import checks
from borageshelf.configuration import contents
from borageshelf.configuration import propagation
from borageshelf.configuration import publication
from borageshelf import errors
from borageshelf.model import objects
from borageshelf.ports import store as store_interface
from standins import clocks
from standins import faults
from standins import memory_store
from tests import text_cases

EXAMPLES = pathlib.Path(__file__).parents[1] / 'examples'
SETS = {
    name: checks.load_configuration(EXAMPLES / name)
    for name in ('ocre', 'colombo')
}
CASES = text_cases.read_cases('configuration-propagation.test')
# The clock advances in small steps, so that a coroutine that wakes reads about
# the time for which it was waiting.
STEP_MS = 50


class DisconnectableStore:
    """A store that its entry cannot reach while the connection is cut."""

    def __init__(self, store: memory_store.MemoryStore) -> None:
        self._store = store
        self.is_disconnected = False

    async def get(self, key: str) -> store_interface.Entry | None:
        self._check_connection()
        return await self._store.get(key)

    async def watch(
        self, prefix: str, after_revision: int, deadline_ms: int
    ) -> store_interface.WatchAnswer:
        self._check_connection()
        answer = await self._store.watch(prefix, after_revision, deadline_ms)
        self._check_connection()
        return answer

    def _check_connection(self) -> None:
        if self.is_disconnected:
            raise errors.BorageshelfError(errors.STORE_UNAVAILABLE, 'cut off')


@dataclasses.dataclass
class RunningEntry:
    """A running entry with its holder and the task of its watcher.

    :param sends_damaged_bundles: whether other entries get its bundle
        truncated
    """

    holder: propagation.ConfigurationHolder
    store: DisconnectableStore
    task: asyncio.Task[None]
    sends_damaged_bundles: bool = False


class TraceReplay:
    """Replays the steps of one case; ``step_`` methods are its commands."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.store = memory_store.MemoryStore(self.clock)
        self.entries: dict[str, RunningEntry] = {}
        self.agents: dict[str, propagation.ConfigurationHolder] = {}
        self.published_version = 0
        self.lines: list[str] = []

    async def replay(self, text: str) -> str:
        for line in text.splitlines():
            name, *arguments = line.split()
            step: abc.Callable[..., abc.Awaitable[None]] = getattr(
                self, 'step_' + name.replace('-', '_')
            )
            await step(*arguments)
            self._check_no_unpublished_versions()
        for entry in self.entries.values():
            entry.task.cancel()
        return '\n'.join(self.lines)

    def _check_no_unpublished_versions(self) -> None:
        """Check that no entry has a version that was never published."""
        for entry in self.entries.values():
            assert entry.holder.version <= self.published_version

    async def step_publish(self, name: str) -> None:
        publisher = publication.Publisher(
            self.store, self.clock.read_ms, self.clock.pause
        )
        request = publication.Request(
            SETS[name],
            self.published_version,
            'author',
            'reason',
            f'id-{self.published_version}',
        )
        outcome = await publisher.publish(request)
        assert isinstance(outcome, publication.Published)
        self.published_version = outcome.version
        self.lines.append(f'publish: version {outcome.version}')

    async def step_entry(self, name: str) -> None:
        holder = propagation.ConfigurationHolder(self.clock.read_ms)
        seen: list[int] = []

        def observe(configuration: objects.Configuration) -> None:
            # Observers must see increasing versions only.
            assert not seen or configuration.version > seen[-1]
            seen.append(configuration.version)

        holder.add_observer(observe)

        async def fetch_peer_bundles() -> list[bytes]:
            return [
                entry.holder.encoded_bundle[
                    : -1 if entry.sends_damaged_bundles else None
                ]
                for peer, entry in self.entries.items()
                if peer != name and entry.holder.encoded_bundle
            ]

        store: Any = DisconnectableStore(self.store)
        watcher = propagation.ConfigurationWatcher(
            store,
            holder,
            fetch_peer_bundles,
            name,
            self.clock.read_ms,
            self.clock.pause,
        )
        task = asyncio.ensure_future(watcher.run())
        self.entries[name] = RunningEntry(holder, store, task)

    async def step_stop(self, name: str) -> None:
        self.entries.pop(name).task.cancel()

    async def step_agent(self, name: str) -> None:
        self.agents[name] = propagation.ConfigurationHolder(self.clock.read_ms)

    async def step_part(self, agent: str, entry: str) -> None:
        part = self.entries[entry].holder.encode_agent_part(
            ['dispatch', 'pigment']
        )
        self.agents[agent].apply_part_if_newer(part)

    async def step_report(self, agent: str, entry: str) -> None:
        self.entries[entry].holder.confirm(self.agents[agent].version)

    async def step_cut(self, name: str) -> None:
        self.entries[name].store.is_disconnected = True

    async def step_join(self, name: str) -> None:
        self.entries[name].store.is_disconnected = False

    async def step_damage(self, name: str) -> None:
        self.entries[name].sends_damaged_bundles = True

    async def step_outage(self, kind: str) -> None:
        self.store.set_faults(faults.FaultPlan(outage=faults.Outage(kind)))

    async def step_compact(self) -> None:
        self.store.compact()

    async def step_reset_root(self, version: str) -> None:
        """Restore an older root, as in a store that lost writes."""
        entry = await self.store.get(contents.ROOT_KEY)
        assert entry is not None
        root = contents.Root(int(version), 'unread', 'unread')
        data = contents.encode_value(root)
        await self.store.put(contents.ROOT_KEY, data, entry.revision)

    async def step_wait(self, delay_ms: str) -> None:
        for _ in range(int(delay_ms) // STEP_MS):
            await self.clock.advance(STEP_MS)

    async def step_show(self, name: str) -> None:
        if name in self.agents:
            version = self.agents[name].version
            self.lines.append(f'{name}: version {version}')
            return
        holder = self.entries[name].holder
        word = 'confirmed' if holder.is_confirmed() else 'unconfirmed'
        self.lines.append(f'{name}: version {holder.version} {word}')


@pytest.mark.parametrize('case', CASES, ids=text_cases.name_case)
def test_propagation_trace(case: text_cases.Case) -> None:
    """Guards against versions that decrease, are lost or stay unknown."""
    result = asyncio.run(TraceReplay().replay(case.inputs['trace']))
    assert result == case.expected


def test_holder_survives_a_failing_observer() -> None:
    """Guards against a failing observer that stops the other observers.

    It raises while the holder notifies the observers in turn.
    """
    holder = propagation.ConfigurationHolder(lambda: 0)
    seen = []

    def fail(configuration: objects.Configuration) -> None:
        raise RuntimeError

    holder.add_observer(fail)
    holder.add_observer(
        lambda configuration: seen.append(configuration.version)
    )
    assert holder.apply_if_newer(dataclasses.replace(SETS['ocre'], version=3))
    assert not holder.apply_if_newer(
        dataclasses.replace(SETS['colombo'], version=3)
    )
    assert not holder.apply_if_newer(
        dataclasses.replace(SETS['colombo'], version=2)
    )
    assert seen == [3]
    assert holder.configuration.jobs == SETS['ocre'].jobs


def test_late_observer_gets_the_version_in_force() -> None:
    """Guards against an observer without configuration until the next change.

    A component may start to observe after the version is in force.
    """
    holder = propagation.ConfigurationHolder(lambda: 0)
    holder.apply_if_newer(dataclasses.replace(SETS['ocre'], version=3))
    seen = []
    holder.add_observer(
        lambda configuration: seen.append(configuration.version)
    )
    assert seen == [3]


def test_part_of_a_target_is_small_and_complete() -> None:
    """Guards against a part that exceeds an agent's traffic of 14 KB/s."""
    holder = propagation.ConfigurationHolder(lambda: 0)
    holder.apply_if_newer(dataclasses.replace(SETS['colombo'], version=3))
    data = holder.encode_agent_part(['dispatch', 'absent'])
    assert len(data) < 2_000
    agent = propagation.ConfigurationHolder(lambda: 0)
    assert agent.apply_part_if_newer(data) and agent.version == 3
    assert agent.configuration.services == SETS['colombo'].services
    assert agent.configuration.limits == SETS['colombo'].limits
    with pytest.raises(errors.BorageshelfError, match='INTERNAL'):
        agent.apply_part_if_newer(data[:-1])
