"""Starts a complete deployment as local processes on loopback.

Used by the demo, the process tests and the measurements. Every process that
is started here is also ended here.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import os
import pathlib
import signal
import sys
import time
from typing import Any, Final

import aiohttp

from bench import free_ports

ROOT: Final = pathlib.Path(__file__).parents[1]
HOST: Final = free_ports.HOST
READY_TIMEOUT_S: Final = 60
STOP_TIMEOUT_S: Final = 60
ADMIN_TOKEN: Final = 'demonstration-token-of-the-bench'
OUTPUT_LINE_LIMIT: Final = 400


@dataclasses.dataclass(frozen=True)
class VmPlan:
    """A target VM of the deployment.

    :param service: service of the executor on the VM, or ''
    :param has_worker: whether the VM also runs batch tasks
    """

    name: str
    data_centre: str
    rack: str
    service: str = ''
    has_worker: bool = True
    millicores: int = 60_000
    memory_mb: int = 250_000
    accelerators: int = 0


@dataclasses.dataclass(frozen=True)
class FleetPlan:
    """A deployment to start.

    :param entry_data_centres: data centre of each entry; one entry is started
        for each item
    """

    name: str
    region: str
    entry_data_centres: tuple[str, ...]
    vms: tuple[VmPlan, ...]
    shard_count: int = 16
    grant_ms: int = 30_000
    drain_ms: int = 10_000


class Process:
    """A child process and the last lines of its output."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.lines: collections.deque[str] = collections.deque(
            maxlen=OUTPUT_LINE_LIMIT
        )
        self._output_changed = asyncio.Condition()
        self._reader = asyncio.ensure_future(self._read())

    @property
    def pid(self) -> int:
        """Process id."""
        return self.process.pid

    async def wait_for_line(self, text: str) -> str:
        """Wait for an output line that contains a text.

        :raises RuntimeError: if the process exits before that
        :raises TimeoutError: after ``READY_TIMEOUT_S``
        """
        async with asyncio.timeout(READY_TIMEOUT_S), self._output_changed:
            while True:
                for line in self.lines:
                    if text in line:
                        return line
                if self.process.returncode is not None:
                    raise RuntimeError(
                        f'{self.name} exited before it printed the awaited '
                        f'line: {list(self.lines)[-20:]}'
                    )
                await self._output_changed.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is still running."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the process to exit and return its exit status."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self.process.wait()

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.send_signal(signal.SIGKILL)
        await self.process.wait()
        await self._reader

    async def _read(self) -> None:
        assert self.process.stdout is not None
        async for line in self.process.stdout:
            async with self._output_changed:
                self.lines.append(line.decode(errors='replace').rstrip())
                self._output_changed.notify_all()
        await self.process.wait()
        async with self._output_changed:
            self._output_changed.notify_all()


@dataclasses.dataclass
class EntryHandle:
    """One entry process and its addresses."""

    entry_id: str
    data_centre: str
    caller_url: str
    inner_address: str
    admin_url: str
    process: Process


@dataclasses.dataclass
class VmHandle:
    """The processes of one target VM."""

    plan: VmPlan
    worker: Process | None
    worker_url: str
    executor: Process | None
    executor_url: str
    agent: Process


async def start_process(
    name: str, *arguments: str, environment: dict[str, str] | None = None
) -> Process:
    """Run a Python module of this repository in a process."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        *arguments,
        cwd=ROOT,
        env={**os.environ, **(environment or {})},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    return Process(name, process)


async def start_standin(name: str, *arguments: str) -> tuple[Process, str]:
    """Start a stand-in on a free port; return its process and URL."""
    process = await start_process(
        name, *arguments, '--port', '0', '--lifetime-s', '900'
    )
    line = await process.wait_for_line('listening on ')
    return process, 'http://' + line.split('listening on ')[1].strip()


class Fleet:
    """A running deployment, used as an asynchronous context manager."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.entries: list[EntryHandle] = []
        self.vms: dict[str, VmHandle] = {}
        self.store_url = ''
        self._store: Process | None = None
        self._processes: list[Process] = []
        self._session: aiohttp.ClientSession | None = None

    @property
    def http(self) -> aiohttp.ClientSession:
        """HTTP client session for requests to the deployment."""
        assert self._session is not None
        return self._session

    async def __aenter__(self) -> 'Fleet':
        connector = aiohttp.TCPConnector(limit=0)
        self._session = aiohttp.ClientSession(connector=connector)
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(item.kill() for item in self._processes))
        assert self._session is not None
        await self._session.close()

    async def _start(self) -> None:
        self._store, self.store_url = await start_standin(
            f'{self.plan.name} store', 'standins.store'
        )
        self._processes.append(self._store)
        await asyncio.gather(
            *(
                self.start_entry(
                    f'{self.plan.name}-entry-{number}', data_centre
                )
                for number, data_centre in enumerate(
                    self.plan.entry_data_centres
                )
            )
        )
        await asyncio.gather(*(self._start_vm(vm) for vm in self.plan.vms))

    async def start_entry(
        self, entry_id: str, data_centre: str
    ) -> EntryHandle:
        """Start an entry and wait until it accepts connections."""
        caller, inner, admin = free_ports.find_free_ports(3)
        process = await start_process(
            entry_id,
            'borageshelf.main',
            'entry',
            f'--entry-id={entry_id}',
            f'--region={self.plan.region}',
            f'--data-centre={data_centre}',
            f'--caller-address={HOST}:{caller}',
            f'--inner-address={HOST}:{inner}',
            f'--admin-address={HOST}:{admin}',
            f'--store-url={self.store_url}',
            f'--shards={self.plan.shard_count}',
            f'--grant-ms={self.plan.grant_ms}',
            f'--drain-ms={self.plan.drain_ms}',
            environment={'BORAGESHELF_ADMIN_TOKEN': ADMIN_TOKEN},
        )
        self._processes.append(process)
        await process.wait_for_line('entry started')
        handle = EntryHandle(
            entry_id,
            data_centre,
            f'http://{HOST}:{caller}',
            f'{HOST}:{inner}',
            f'http://{HOST}:{admin}',
            process,
        )
        self.entries.append(handle)
        return handle

    async def _start_vm(self, plan: VmPlan) -> None:
        worker: Process | None = None
        worker_url = ''
        if plan.has_worker:
            worker, worker_url = await start_standin(
                f'{plan.name} worker',
                'standins.worker',
                f'--name={plan.name}',
                f'--rack={plan.rack}',
                f'--millicores={plan.millicores}',
                f'--memory-mb={plan.memory_mb}',
                f'--accelerators={plan.accelerators}',
            )
            self._processes.append(worker)
        executor: Process | None = None
        executor_url = ''
        if plan.service:
            flags = [f'--worker-url={worker_url}'] if worker_url else []
            executor, executor_url = await start_standin(
                f'{plan.name} executor',
                'standins.executor',
                f'--service={plan.service}',
                *flags,
            )
            self._processes.append(executor)
        agent = await self.start_agent(plan, worker_url, executor_url)
        self.vms[plan.name] = VmHandle(
            plan, worker, worker_url, executor, executor_url, agent
        )

    async def start_agent(
        self, plan: VmPlan, worker_url: str, executor_url: str
    ) -> Process:
        """Start an agent and wait until it has read its target's state."""
        flags = []
        if worker_url:
            flags.append(f'--worker-url={worker_url}')
        if executor_url:
            flags.append(f'--executor-url={executor_url}')
        seeds = ','.join(entry.inner_address for entry in self.entries)
        agent = await start_process(
            f'{plan.name} agent',
            'borageshelf.main',
            'agent',
            f'--target-id={plan.name}',
            f'--data-centre={plan.data_centre}',
            f'--rack={plan.rack}',
            f'--seeds={seeds}',
            f'--drain-ms={self.plan.drain_ms}',
            *flags,
        )
        self._processes.append(agent)
        await agent.wait_for_line('agent started')
        return agent

    # Requests to the deployment.

    async def request(
        self, method: str, url: str, **options: Any
    ) -> tuple[int, Any]:
        """Send a request; return the HTTP status and the JSON document."""
        async with self.http.request(method, url, **options) as answer:
            return answer.status, await answer.json(content_type=None)

    async def submit(
        self, entry: EntryHandle, job: str, arguments: str, key: str = ''
    ) -> tuple[int, Any]:
        """Submit a job; return the HTTP status and the answer."""
        return await self.request(
            'POST',
            f'{entry.caller_url}/v1/jobs',
            json={'job': job, 'key': key, 'arguments': arguments},
        )

    async def read_job(
        self, entry: EntryHandle, job_id: str
    ) -> tuple[int, Any]:
        """Read a job; return the HTTP status and the state of the job."""
        return await self.request(
            'GET', f'{entry.caller_url}/v1/jobs/{job_id}'
        )

    async def read_store_counters(self) -> dict[str, Any]:
        """Return the call counters of the store stand-in."""
        _, counters = await self.request(
            'GET', f'{self.store_url}/control/counters'
        )
        document: dict[str, Any] = counters
        return document

    async def set_store_faults(self, **faults: Any) -> None:
        """Set the faults of the store stand-in; no argument clears them.

        :raises RuntimeError: if the stand-in rejects the faults
        """
        status, answer = await self.request(
            'POST', f'{self.store_url}/control/faults', json=faults
        )
        if status != 200:
            raise RuntimeError(f'store stand-in rejected the faults: {answer}')


async def wait_until(
    condition: abc.Callable[[], abc.Awaitable[bool]],
    description: str,
    limit_s: float = READY_TIMEOUT_S,
    pause_s: float = 0.1,
) -> float:
    """Poll a condition until it holds; return the seconds that it took.

    :raises RuntimeError: if it does not hold within the limit
    """
    started = time.monotonic()
    while not await condition():
        if time.monotonic() - started > limit_s:
            raise RuntimeError(f'not reached in {limit_s} s: {description}')
        await asyncio.sleep(pause_s)
    return time.monotonic() - started
