"""Runs the workflow scheduler's processes with the platform's adapters."""

from collections import abc

from borageshelf.agent.workflows import process as agent_process
from borageshelf.entry.workflows import process as entry_process
from borageshelf import events
from borageshelf import loop
from borageshelf import node_settings
from borageshelf.platform import caller_site
from borageshelf.platform import documents
from borageshelf.platform import executor
from borageshelf.platform import inventory
from borageshelf.platform import registration
from borageshelf.platform import store

Reload = abc.Callable[[], node_settings.NodeSettings]


def run_entry(settings: node_settings.NodeSettings, reload: Reload) -> int:
    """Run an entry until it is stopped; return its exit status."""
    event_loop = loop.install()
    event_log = events.EventLog('entry', settings.node_id)

    async def main() -> int:
        listing = None
        if settings.inventory_address:
            listing = inventory.PlatformInventory(settings.inventory_address)
        return await entry_process.Entry(
            settings,
            store.PlatformStore(settings.store_address),
            entry_process.OperatorKeys(
                documents.CONFIGURATION_KEY,
                documents.OPERATORS_PREFIX,
                documents.EVACUATION_PREFIX,
            ),
            documents.decode_configuration,
            caller_site.PlatformSite,
            reload,
            event_log,
            listing,
        ).run()

    return loop.run(event_loop, main)


def run_agent(settings: node_settings.NodeSettings, reload: Reload) -> int:
    """Run an agent until it is stopped; return its exit status."""
    event_loop = loop.install()
    event_log = events.EventLog('agent', settings.node_id)

    async def main() -> int:
        return await agent_process.Agent(
            settings,
            store.PlatformStore(settings.store_address),
            executor.PlatformExecutor(settings.executor_address),
            registration.PlatformRegistration,
            reload,
            event_log,
        ).run()

    return loop.run(event_loop, main)
