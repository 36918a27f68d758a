"""Runs entries and agents of the workflow scheduler for tests.

The entries and agents are real processes and speak the users' protocols; the
store and the executors are stand-ins in the test's own process.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import json
import pathlib
import signal
import sys
import tempfile
from typing import Any

import aiohttp

from bench import free_ports
from bench import local_fleet
from borageshelf.workflows import journal
from borageshelf.workflows import records
from standins import http_server
from standins import memory_store
from standins import platform_executor
from standins import platform_store
from tests import loopback

HOST = '127.0.0.1'
HOST_HEADER = 'jobs.example'
SERVICE = 'pigment'
ROUTE = {
    'Name': 'short',
    'Host': HOST_HEADER,
    'PathPrefix': '/short/',
    'Kind': 'unsafe',
    'TimeoutMs': 3000,
    'TargetLatencyMs': 1000,
    'Priority': 0,
    'Service': SERVICE,
    'MaxAttempts': 3,
    'SlackFactor': 2.0,
}
CONFIGURATION = {
    'Version': 3,
    'Routes': [ROUTE],
    'Services': [{'Name': SERVICE, 'EnforcesCapacity': False}],
    'Limits': {'MaxBodyBytes': 262144, 'IdleTimeoutMs': 15000},
}
ROOT = pathlib.Path(__file__).parents[1]


@dataclasses.dataclass
class Node:
    """A process and the settings in its file."""

    name: str
    command: str
    file: pathlib.Path
    settings: dict[str, Any]
    process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; its log is written beside its settings file."""
        self.file.write_text(json.dumps(self.settings))
        with self.file.with_suffix('.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'borageshelf.main',
                self.command,
                '--node-file',
                str(self.file),
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    async def end(self, number: int = signal.SIGKILL) -> int:
        """Send a signal, wait for the end, and return the exit status."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)
        return await self.process.wait()

    def read_log(self) -> list[dict[str, Any]]:
        """Return the records of the log."""
        lines = self.file.with_suffix('.log').read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]


class Deployment:
    """Entries, agents, and the stand-ins of executors and store."""

    def __init__(self, folder: pathlib.Path, store_url: str) -> None:
        self.folder = folder
        self.store_address = store_url.removeprefix('http://')
        self.entries: list[Node] = []
        self.agents: list[Node] = []
        self.executors: list[platform_executor.PlatformExecutor] = []
        self.store: memory_store.MemoryStore
        self.store_handlers: platform_store.PlatformStoreHandlers
        self.http: aiohttp.ClientSession

    def add_entry(self, number: int) -> None:
        """Add the settings of an entry; the process is not started."""
        ports = free_ports.find_free_ports(4)
        name = f'entry-{number}'
        self.entries.append(
            Node(
                name,
                'workflow-entry',
                self.folder / f'{name}.json',
                {
                    'node_id': name,
                    'data_centre': 'tajo-norte',
                    'host': HOST,
                    'store_address': self.store_address,
                    'caller_address': f'{HOST}:{ports[0]}',
                    'ready_address': f'{HOST}:{ports[1]}',
                    'inner_address': f'{HOST}:{ports[2]}',
                    'metrics_port': ports[3],
                    'grace_s': 2.0,
                },
            )
        )

    def add_agent(self, number: int, executor_url: str, port: int) -> None:
        """Add the settings of an agent; the process is not started.

        :param port: port at which the agent takes the executor's heartbeats
        """
        name = f'agent-{number}'
        self.agents.append(
            Node(
                name,
                'workflow-agent',
                self.folder / f'{name}.json',
                {
                    'node_id': name,
                    'data_centre': 'tajo-norte',
                    'host': HOST,
                    'store_address': self.store_address,
                    'registration_address': f'{HOST}:{port}',
                    'executor_address': executor_url.removeprefix('http://'),
                    'service': SERVICE,
                    'seeds': [
                        entry.settings['inner_address']
                        for entry in self.entries
                    ],
                    'metrics_port': free_ports.find_free_ports(1)[0],
                },
            )
        )

    async def request(
        self, entry: Node, method: str, path: str, document: Any = None
    ) -> tuple[int, dict[str, Any]]:
        """Send a caller's request; return status and document.

        Status 0 means that no answer arrived.
        """
        url = f'http://{entry.settings["caller_address"]}{path}'
        headers = {'Host': HOST_HEADER, 'Deadline-Ms': '3000'}
        try:
            async with self.http.request(
                method, url, json=document, headers=headers
            ) as answer:
                body = await answer.read()
                return answer.status, json.loads(body) if body else {}
        except aiohttp.ClientError:
            return 0, {}

    async def is_ready(self, entry: Node) -> bool:
        """Tell whether an entry reports that it is ready."""
        url = f'http://{entry.settings["ready_address"]}/-/ready'
        try:
            async with self.http.get(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def submit(self, workflow_id: str, document: Any) -> None:
        """Submit a workflow to all entries in turn until one accepts it."""

        async def is_accepted() -> bool:
            for entry in self.entries:
                status, _ = await self.request(
                    entry, 'POST', f'/short/{workflow_id}', document
                )
                if status == 200:
                    return True
            return False

        await local_fleet.wait_until(
            is_accepted, f'acceptance of {workflow_id}'
        )

    async def wait_for_state(self, workflow_id: str, state: str) -> None:
        """Wait until any entry reports a state of a workflow."""

        async def has_state() -> bool:
            for entry in self.entries:
                status, found = await self.request(
                    entry, 'GET', f'/short/{workflow_id}'
                )
                if status == 200 and found.get('State') == state:
                    return True
            return False

        await local_fleet.wait_until(has_state, f'{workflow_id} {state}')

    async def find_owner(self) -> Node:
        """Return the entry that the store names as the owner."""
        stored = await self.store.get(records.OWNER_KEY)
        assert stored is not None
        owner = journal.decode(stored.value, records.OwnerRecord)
        return next(
            entry for entry in self.entries if entry.name == owner.entry_id
        )

    def print_logs(self) -> None:
        """Print the logs of the processes and the events of the executors."""
        for node in (*self.entries, *self.agents):
            print(f'--- {node.name}')
            print(node.file.with_suffix('.log').read_text())
        for event in self.list_history():
            print(event)

    def list_history(self) -> list[platform_executor.Event]:
        """Return the events of all executors in the order of their times."""
        events = [
            event for executor in self.executors for event in executor.history
        ]
        return sorted(events, key=lambda event: event.at_ms)


@contextlib.asynccontextmanager
async def run_deployment(
    entries: int = 2,
    targets: int = 2,
    processor_shares: abc.Sequence[float] = (),
    settings: abc.Mapping[str, Any] | None = None,
) -> abc.AsyncIterator[Deployment]:
    """Start a deployment and wait until all entries are ready.

    :param processor_shares: settings of the entries; the default without any
    :param settings: further settings of all processes
    """
    store = memory_store.MemoryStore()
    handlers = platform_store.PlatformStoreHandlers(store)
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        store_url = await stack.enter_async_context(
            loopback.serve(handlers.make_site())
        )
        deployment = Deployment(pathlib.Path(folder), store_url)
        deployment.store = store
        deployment.store_handlers = handlers
        deployment.http = await stack.enter_async_context(
            aiohttp.ClientSession()
        )
        await store.put('op/config', json.dumps(CONFIGURATION).encode(), 0)
        for number in range(entries):
            deployment.add_entry(number)
        for entry, share in zip(
            deployment.entries, processor_shares, strict=False
        ):
            entry.settings['processor_share'] = share
        for number in range(targets):
            port = free_ports.find_free_ports(1)[0]
            executor = platform_executor.PlatformExecutor(
                f'i-{number}', SERVICE, f'http://{HOST}:{port}'
            )
            url = await stack.enter_async_context(
                loopback.serve(executor.make_site())
            )
            deployment.add_agent(number, url, port)
            deployment.executors.append(executor)
            executor.start()
            stack.push_async_callback(executor.stop)
        for node in (*deployment.entries, *deployment.agents):
            node.settings.update(settings or {})
            await node.start()
            stack.push_async_callback(node.end)

        async def is_ready() -> bool:
            # All entries: an owner that leaves needs another one to take over.
            found = [
                await deployment.is_ready(entry)
                for entry in deployment.entries
            ]
            return all(found)

        try:
            await local_fleet.wait_until(is_ready, 'readiness')
            yield deployment
        except BaseException:
            # pytest shows this output with the failed test.
            deployment.print_logs()
            raise


# The stand-ins run on the loop of ``loopback``.
run = loopback.run
assert http_server.LISTEN_ADDRESS == HOST
