"""Plays one seed: real processes, traffic and faults, then the checks."""

import asyncio
from collections import abc
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import signal
import sys
import time
from typing import Any, Final

import aiohttp

from bench import local_fleet
from borageshelf import errors
from standins import faults as standin_faults
from standins import memory_store
from standins import platform_executor
from standins import platform_store
from tests import loopback
from tests import platform_support
from tests.soak import checks
from tests.soak import plan as plan_module
from tests.soak import proxy as proxy_module

HOST: Final = '127.0.0.1'
# Everything that was accepted has to end this long after the last fault: a
# grant and its proof (8.4 s), a takeover, and the longest workflow.
FINISH_MS: Final = 30_000
POLL_MS: Final = 600
PROBE_MS: Final = 300
CALL_LIMIT_S: Final = 6.0
TRIES: Final = 10
NO_ANSWER: Final = 0
ACTIVE_STATES: Final = ('', 'queued', 'running')


def read_ms() -> int:
    """Return the steady clock, which the executors' histories use too."""
    return time.monotonic_ns() // 1_000_000


class Node:
    """One process behind proxies; ``life`` counts its starts."""

    def __init__(self, node: platform_support.Node, safeguard: str) -> None:
        self.node = node
        self.shift_file = node.file.with_suffix('.shift')
        self.shift_file.write_text('0')
        self.log_file = node.file.with_suffix('.log')
        self._log_offset = 0
        self._safeguard = safeguard
        self.process: asyncio.subprocess.Process | None = None
        self.life = 0
        self.is_expected_to_end = False

    async def start(self) -> None:
        """Start the program through the launcher."""
        self.life += 1
        self.node.file.write_text(json.dumps(self.node.settings))
        with self.log_file.open('ab') as log:
            self._log_offset = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'tests.soak.launcher',
                str(self.shift_file),
                self._safeguard,
                self.node.command,
                '--node-file',
                str(self.node.file),
                cwd=platform_support.ROOT,
                stdout=log,
                stderr=log,
            )
        # Only now, since until here the former process is seen as ended.
        self.is_expected_to_end = False

    def has_started(self) -> bool:
        """Tell whether this process has said that it runs."""
        lines = self.log_file.read_bytes()[self._log_offset :]
        return b'started"' in lines

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals) -> int:
        """Send a signal and wait for the end; return the exit status."""
        assert self.process is not None
        self.is_expected_to_end = True
        self.send(number)
        return await self.process.wait()


@dataclasses.dataclass
class Rig:
    """Everything that one run uses."""

    plan: plan_module.Plan
    store: memory_store.MemoryStore
    http: aiohttp.ClientSession
    entries: list[Node]
    agents: list[Node]
    executors: list[platform_executor.PlatformExecutor]
    proxies: list[proxy_module.Proxy]
    history: checks.History
    version: int = 3
    versions: list[int] = dataclasses.field(default_factory=list)
    names: abc.Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )

    async def call(
        self,
        number: int,
        method: str,
        path: str,
        document: Any = None,
    ) -> tuple[int, int, int, dict[str, Any]]:
        """Send a request; return both times, status and document."""
        entry = self.entries[number]
        url = f'http://{entry.node.settings["caller_address"]}{path}'
        headers = {
            'Host': platform_support.HOST_HEADER,
            'Deadline-Ms': '3000',
        }
        sent_ms = read_ms()
        status = NO_ANSWER
        found: dict[str, Any] = {}
        try:
            async with self.http.request(
                method, url, json=document, headers=headers
            ) as answer:
                body = await answer.read()
                found = json.loads(body) if body else {}
                status = answer.status
        except (aiohttp.ClientError, TimeoutError):
            # Status 0 says so; the checks know what it may mean.
            status = NO_ANSWER
        return sent_ms, read_ms(), status, found

    async def call_workflow(
        self, number: int, method: str, workflow_id: str, document: Any = None
    ) -> int:
        """Send a request about a workflow and remember the answer."""
        life = self.entries[number].life
        sent_ms, answered_ms, status, found = await self.call(
            number, method, f'/short/{workflow_id}', document
        )
        self.history.calls.append(
            checks.Call(
                sent_ms,
                answered_ms,
                method,
                number,
                life,
                workflow_id,
                status,
                str(found.get('State', '')),
            )
        )
        return status

    async def publish(self) -> None:
        """Put the next version of the configuration into the store."""
        self.version += 1
        self.versions.append(self.version)
        first: dict[str, Any] = {**platform_support.ROUTE}
        routes = [first]
        routes += [
            {
                **first,
                'Name': f'added-{version}',
                'PathPrefix': f'/added-{version}/',
            }
            for version in self.versions
        ]
        document = {
            **platform_support.CONFIGURATION,
            'Version': self.version,
            'Routes': routes,
        }
        body = json.dumps(document).encode()
        with contextlib.suppress(errors.BorageshelfError):
            # The operator tries again until the store takes it.
            await self.write_configuration(body)

    async def write_configuration(self, body: bytes) -> None:
        """Replace the document of the operators."""
        entry = self.store._entries.get('op/config')
        revision = entry.revision if entry else 0
        self.store._put('op/config', body, revision, '')


# The workload.


async def submit_and_follow(
    rig: Rig, submission: plan_module.Submission, draw: random.Random
) -> None:
    """Play one caller."""
    await asyncio.sleep(submission.at_ms / 1000)
    for _ in range(TRIES):
        number = draw.randrange(len(rig.entries))
        status = await rig.call_workflow(
            number, 'POST', submission.workflow_id, submission.document
        )
        if status == 200:
            break
        await asyncio.sleep(draw.uniform(0.3, 1.2))
    else:
        return
    if submission.cancel_after_ms:
        await asyncio.sleep(submission.cancel_after_ms / 1000)
        for _ in range(TRIES):
            number = draw.randrange(len(rig.entries))
            status = await rig.call_workflow(
                number, 'DELETE', submission.workflow_id
            )
            if status in (200, 410):
                break
            await asyncio.sleep(draw.uniform(0.3, 1.2))
    limit_ms = rig.history.begun_ms + plan_module.LENGTH_MS
    while read_ms() < limit_ms:
        await asyncio.sleep(POLL_MS / 1000)
        number = draw.randrange(len(rig.entries))
        await rig.call_workflow(number, 'GET', submission.workflow_id)


async def probe_versions(rig: Rig, draw: random.Random) -> None:
    """Ask entries for routes of the configuration, until cancelled."""
    while True:
        await asyncio.sleep(PROBE_MS / 1000)
        if not rig.versions:
            continue
        number = draw.randrange(len(rig.entries))
        version = draw.choice(rig.versions[-2:])
        life = rig.entries[number].life
        sent_ms, answered_ms, status, _ = await rig.call(
            number, 'GET', f'/added-{version}/'
        )
        if status in (200, 404) and rig.entries[number].life == life:
            rig.history.probes.append(
                checks.Probe(
                    sent_ms, answered_ms, number, life, version, status == 200
                )
            )


async def watch_processes(rig: Rig) -> None:
    """Start processes that ended by themselves, and report them."""
    while True:
        await asyncio.sleep(0.1)
        for node in (*rig.entries, *rig.agents):
            process = node.process
            if process is None or process.returncode is None:
                continue
            if node.is_expected_to_end:
                continue
            rig.history.problems.append(
                f'exit: {node.node.name} ended with {process.returncode}'
            )
            await node.start()


# Faults.


async def strike(rig: Rig, fault: plan_module.Fault) -> None:
    """Carry out one fault and take it back."""
    await asyncio.sleep(fault.at_ms / 1000)
    for_s = fault.for_ms / 1000
    if fault.subject == 'entry':
        node = rig.entries[fault.index % len(rig.entries)]
        await strike_node(rig, node, fault.kind, for_s)
    elif fault.subject == 'agent':
        node = rig.agents[fault.index % len(rig.agents)]
        await strike_node(rig, node, fault.kind, for_s)
    elif fault.subject == 'link':
        link = rig.proxies[fault.index % len(rig.proxies)]
        await strike_link(link, fault.kind, for_s)
    elif fault.subject == 'store':
        await strike_store(rig.store, fault.kind, for_s)
    elif fault.subject == 'executor':
        executor = rig.executors[fault.index % len(rig.executors)]
        await strike_executor(rig, executor, fault.kind, for_s)
    elif fault.subject == 'configuration':
        for _ in range(1 + fault.index % 3):
            await rig.publish()
            await asyncio.sleep(0.15)
    else:
        nodes = {
            'kill-entries': rig.entries,
            'kill-agents': rig.agents,
            'kill-all': [*rig.entries, *rig.agents],
        }[fault.kind]
        await asyncio.gather(
            *(strike_node(rig, node, 'kill', for_s) for node in nodes)
        )


async def strike_node(rig: Rig, node: Node, kind: str, for_s: float) -> None:
    """Signal a process, or shift its clock."""
    if kind == 'hup':
        node.send(signal.SIGHUP)
    elif kind == 'clock':
        node.shift_file.write_text(str(random.choice((-4_000, 4_000))))
        await asyncio.sleep(for_s)
        node.shift_file.write_text('0')
    elif kind == 'pause':
        node.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        node.send(signal.SIGCONT)
    elif not node.is_expected_to_end:
        number = signal.SIGTERM if kind == 'term' else signal.SIGKILL
        status = await node.end(number)
        if status == -signal.SIGTERM and not node.has_started():
            # It was still being loaded, and nothing handles signals then.
            status = 0
        if kind == 'term' and status not in (0, -signal.SIGKILL):
            rig.history.problems.append(
                f'exit: {node.node.name} ended with {status} after SIGTERM'
            )
        await asyncio.sleep(for_s)
        await node.start()


async def strike_link(
    link: proxy_module.Proxy, kind: str, for_s: float
) -> None:
    """Harm the connections through a proxy."""
    if kind == 'reset':
        link.reset()
    elif kind == 'silent-open':
        link.silence_open()
    elif kind == 'delay':
        link.delay_ms = 150
        await asyncio.sleep(for_s)
        link.delay_ms = 0
    else:
        link.mode = {
            'silent': proxy_module.Mode.SILENT,
            'no-answers': proxy_module.Mode.NO_ANSWERS,
            'refusing': proxy_module.Mode.REFUSING,
        }[kind]
        if kind == 'refusing':
            link.reset()
        await asyncio.sleep(for_s)
        link.mode = proxy_module.Mode.OPEN


async def strike_store(
    store: memory_store.MemoryStore, kind: str, for_s: float
) -> None:
    """Let the store misbehave."""
    fault_plan = standin_faults.FaultPlan
    every = standin_faults.EVERY_CALL
    if kind == 'compact':
        store.compact()
        return
    if kind == 'lapse':
        for lease_id in list(store._leases):
            store._end_lease(lease_id)
        return
    store.set_faults(
        {
            'refuse': fault_plan(outage=standin_faults.Outage.REFUSING),
            'hang': fault_plan(outage=standin_faults.Outage.SILENT),
            'slow': fault_plan(delay_ms=200),
            'lose-answers': fault_plan(lost_answers=every, probability=0.4),
            'late-writes': fault_plan(
                late_writes=every, late_ms=2_000, probability=0.3
            ),
        }[kind]
    )
    await asyncio.sleep(for_s)
    store.set_faults(fault_plan())


async def strike_executor(
    rig: Rig,
    executor: platform_executor.PlatformExecutor,
    kind: str,
    for_s: float,
) -> None:
    """Crash an executor, or let it misbehave."""
    if executor.is_down:
        return
    if kind == 'late-orders':
        executor.faults.late_share = 0.4
        await asyncio.sleep(for_s)
        executor.faults.late_share = 0.0
    elif kind == 'fail-all':
        executor.faults.fails_all = True
        await asyncio.sleep(for_s)
        executor.faults.fails_all = False
    elif kind == 'leave':
        executor.state = 'draining'
        rig.history.drains.append((executor.instance_id, read_ms()))
        await asyncio.sleep(for_s + 2)
        await executor.leave()
        await asyncio.sleep(0.5)
        executor.restart(f'i-new-{next(rig.names)}')
    else:
        instance_id = executor.instance_id
        if kind == 'crash':
            instance_id = f'i-new-{next(rig.names)}'
        executor.crash()
        await asyncio.sleep(for_s)
        executor.restart(instance_id)


# The run.


async def wait_for_the_end(rig: Rig) -> None:
    """Wait until everything has ended; report what has not."""
    limit_ms = read_ms() + FINISH_MS
    accepted = {
        call.workflow_id
        for call in rig.history.calls
        if call.method == 'POST' and call.status == 200
    }
    cancelled = {
        call.workflow_id
        for call in rig.history.calls
        if call.method == 'DELETE' and call.status == 200
    }
    asked = {
        call.workflow_id
        for call in rig.history.calls
        if call.method == 'DELETE'
    }
    for submission in rig.plan.submissions:
        workflow_id = submission.workflow_id
        if workflow_id not in accepted:
            continue
        lasts = submission.lasts and workflow_id not in asked
        while True:
            states = set()
            for number in range(len(rig.entries)):
                await rig.call_workflow(number, 'GET', workflow_id)
                states.add(rig.history.calls[-1].state)
            running = {
                name
                for executor in rig.executors
                for name in executor.running
                if name.startswith(workflow_id)
            }
            if lasts:
                total = submission.document['Phases'][0]['Count']
                is_over = len(running) == total and states == {'running'}
            elif submission.lasts and workflow_id not in cancelled:
                # Nobody knows whether the cancel was carried out.
                is_over = len(states) == 1
            else:
                is_over = not (states & set(ACTIVE_STATES) or running)
            if is_over:
                break
            if read_ms() > limit_ms:
                rig.history.problems.append(
                    f'lost: {workflow_id} is {sorted(states)} with '
                    f'{sorted(running)} at work at the end'
                )
                break
            await asyncio.sleep(0.2)
        if submission.fails and 'completed' in states:
            rig.history.problems.append(f'mixed: {workflow_id} can only fail')
    for number in range(len(rig.entries)):
        for version in rig.versions:
            *_, status, _ = await rig.call(number, 'GET', f'/added-{version}/')
            if status != 200:
                rig.history.problems.append(
                    f'configuration: entry {number} lacks version {version}'
                )


async def play(
    plan: plan_module.Plan, folder: pathlib.Path, safeguard: str = '-'
) -> list[str]:
    """Play a plan; return what was broken. The folder keeps the logs."""
    async with contextlib.AsyncExitStack() as stack:
        rig = await build(plan, folder, stack, safeguard)
        draw = random.Random(plan.seed)
        watching = [
            asyncio.ensure_future(watch_processes(rig)),
            asyncio.ensure_future(probe_versions(rig, draw)),
        ]
        rig.history.begun_ms = read_ms()
        try:
            await asyncio.gather(
                *(strike(rig, fault) for fault in plan.faults),
                *(
                    submit_and_follow(rig, submission, draw)
                    for submission in plan.submissions
                ),
            )
            await wait_for_the_end(rig)
        finally:
            for task in watching:
                task.cancel()
            await asyncio.gather(*watching, return_exceptions=True)
        for executor in rig.executors:
            rig.history.events += executor.history
            rig.history.acknowledged |= set(executor.acknowledged)
    for node in (*rig.entries, *rig.agents):
        log = node.log_file.read_text()
        if 'unexpected error' in log or 'Traceback' in log:
            rig.history.problems.append(
                f'error: in the log of {node.node.name}'
            )
    (folder / 'history.json').write_text(
        json.dumps(checks.describe(rig.history), indent=1)
    )
    return sorted(set(checks.find_violations(plan, rig.history)))


async def build(
    plan: plan_module.Plan,
    folder: pathlib.Path,
    stack: contextlib.AsyncExitStack,
    safeguard: str,
) -> Rig:
    """Start stand-ins, proxies and processes; wait until they are ready."""
    store = memory_store.MemoryStore(seed=plan.seed)
    handlers = platform_store.PlatformStoreHandlers(store)
    store_url = await stack.enter_async_context(
        loopback.serve(handlers.make_site())
    )
    deployment = platform_support.Deployment(folder, store_url)
    http = await stack.enter_async_context(
        aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(CALL_LIMIT_S),
            connector=aiohttp.TCPConnector(limit=0),
        )
    )
    rig = Rig(plan, store, http, [], [], [], [], checks.History())

    async def make_proxy(address: str) -> str:
        found = proxy_module.Proxy(address)
        rig.proxies.append(found)
        proxied = await found.start()
        stack.push_async_callback(found.stop)
        return proxied

    await store.put(
        'op/config', json.dumps(platform_support.CONFIGURATION).encode(), 0
    )
    for number in range(plan.entries):
        deployment.add_entry(number)
        settings = deployment.entries[number].settings
        settings['store_address'] = await make_proxy(settings['store_address'])
        settings['inner_advertised_address'] = await make_proxy(
            settings['inner_address']
        )
    for number in range(plan.targets):
        port = local_fleet.find_free_ports(1)[0]
        executor = platform_executor.PlatformExecutor(
            f'i-{number}',
            platform_support.SERVICE,
            f'http://{HOST}:{port}',
            clock_rate=(1.0, 0.985, 1.0)[number],
            seed=plan.seed + number,
        )
        url = await stack.enter_async_context(
            loopback.serve(executor.make_site())
        )
        address = await make_proxy(url.removeprefix('http://'))
        deployment.add_agent(number, f'http://{address}', port)
        settings = deployment.agents[number].settings
        settings['store_address'] = await make_proxy(settings['store_address'])
        settings['seeds'] = [
            entry.settings['inner_advertised_address']
            for entry in deployment.entries
        ]
        rig.executors.append(executor)
        executor.begin()
        stack.push_async_callback(executor.stop)
    rig.entries = [Node(node, safeguard) for node in deployment.entries]
    rig.agents = [Node(node, safeguard) for node in deployment.agents]
    for node in (*rig.entries, *rig.agents):
        await node.start()
        stack.push_async_callback(node.end, signal.SIGKILL)
    deployment.http = http
    for entry in deployment.entries:

        async def is_ready(entry: platform_support.Node = entry) -> bool:
            return await deployment.is_ready(entry)

        await local_fleet.wait_until(is_ready, f'readiness of {entry.name}')
    return rig
