"""Builds the processes with the adapters of the platform."""

from collections import abc

from borageshelf.agent.workflows import process as agent_process
from borageshelf.entry.workflows import process as entry_process
from borageshelf import events as events_module
from borageshelf import loop as loop_module
from borageshelf import node_settings
from borageshelf.platform import caller_site
from borageshelf.platform import documents
from borageshelf.platform import executor
from borageshelf.platform import registration
from borageshelf.platform import store

Reload = abc.Callable[[], node_settings.NodeSettings]


def run_entry(settings: node_settings.NodeSettings, reload: Reload) -> int:
    """Run an entry until it is stopped; return its exit status."""
    loop = loop_module.install()
    events = events_module.EventLog('entry', settings.node_id)

    async def main() -> int:
        return await entry_process.Entry(
            settings,
            store.PlatformStore(settings.store_address),
            documents.CONFIGURATION_KEY,
            documents.decode_configuration,
            caller_site.PlatformSite,
            reload,
            events,
        ).run()

    return loop_module.run(loop, main)


def run_agent(settings: node_settings.NodeSettings, reload: Reload) -> int:
    """Run an agent until it is stopped; return its exit status."""
    loop = loop_module.install()
    events = events_module.EventLog('agent', settings.node_id)

    async def main() -> int:
        return await agent_process.Agent(
            settings,
            store.PlatformStore(settings.store_address),
            executor.PlatformExecutor(settings.executor_address),
            registration.PlatformRegistration,
            reload,
            events,
        ).run()

    return loop_module.run(loop, main)
