"""Stand-ins and process control for the script cases of the review.

Only the standard library is used. All sockets are on loopback. The store, the
executors and the clients follow the users' PROTOCOL.md.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = '127.0.0.1'
HOST_HEADER = 'jobs.example'
SERVICE = 'patio-ocre'
QUEUE = '/kiln/'
HEARTBEAT_MS = 1_100
STOP_MS = 200
CHECKPOINT_MS = 1_000
GANG_WAIT_MS = 3_000
RESTORE_MS = 100
MAX_HOLD_MS = 6_000
STORE_ANSWER_S = 0.004
LIMIT_S = 110
DROP = object()
# Closed at the end of a case, while the event loop still runs.
open_writers = []


def now_ms():
    """Return the steady time of the test."""
    return time.monotonic_ns() // 1_000_000


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'record.txt'
        self.file = self.path.open('w')
        self.begun_ms = now_ms()

    def write(self, text):
        """Write one line."""
        at_s = (now_ms() - self.begun_ms) / 1000
        line = f'{at_s:8.3f} {text}'
        self.file.write(line + '\n')
        self.file.flush()
        print(line, flush=True)


def find_ports(count):
    """Return free ports below those that connections are given."""
    sockets = []
    while len(sockets) < count:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, random.randrange(15_000, 32_000)))
        except OSError:
            sock.close()
            continue
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


async def read_message(reader):
    """Return the first line, headers and body of an HTTP message."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get('content-length', 0))
    body = await reader.readexactly(length) if length else b''
    return lines[0], headers, body


class HttpServer:
    """A small HTTP/1.1 server with kept connections."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        """Listen on loopback."""
        self.server = await asyncio.start_server(
            self._serve, HOST, port, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """Close the listener and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        open_writers.append(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(' ', 2)
                path, _, query = target.partition('?')
                arguments = dict(
                    urllib.parse.parse_qsl(query, keep_blank_values=True)
                )
                answer = await self.handle(
                    method, path, arguments, headers, body
                )
                if answer is DROP:
                    writer.transport.abort()
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    b'HTTP/1.1 %d x\r\ncontent-type: application/json\r\n'
                    b'content-length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Proxy:
    """A TCP proxy that holds back what passes while it is cut.

    It can be cut for one process only, which it knows by the name in the
    first message of a connection.
    """

    def __init__(self, target_port, names=()):
        self.target_port = target_port
        self.port = 0
        self.names = tuple(names)
        self.gates = {name: asyncio.Event() for name in ('', *names)}
        for gate in self.gates.values():
            gate.set()

    async def start(self):
        """Listen on loopback."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def cut(self, name=''):
        """Hold back all bytes, or those of one process."""
        self.gates[name].clear()

    def heal(self, name=''):
        """Pass on what was held back, and everything else."""
        self.gates[name].set()

    async def _serve(self, reader, writer):
        await self.gates[''].wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                HOST, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        open_writers.extend((writer, far_writer))
        peer = ['']
        await asyncio.gather(
            self._pass(reader, far_writer, peer, True),
            self._pass(far_reader, writer, peer, False),
        )

    async def _pass(self, reader, writer, peer, is_from_client):
        try:
            while data := await reader.read(65536):
                if is_from_client and not peer[0]:
                    found = [n for n in self.names if n.encode() in data]
                    peer[0] = found[0] if found else ''
                await self._wait(peer)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            await self._wait(peer)
            writer.close()

    async def _wait(self, peer):
        await self.gates[''].wait()
        await self.gates[peer[0]].wait()


@dataclasses.dataclass
class Item:
    """A key of the store."""

    key: str
    value: str
    revision: int
    created: int
    lease: int

    def describe(self):
        """Return the item as on the wire."""
        return {
            'Key': self.key,
            'Value': self.value,
            'Revision': self.revision,
            'CreatedRev': self.created,
            'Lease': self.lease,
        }


class Store:
    """The platform's metadata store; loses nothing, answers in 4 ms."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1_000
        self.leases = {}
        self.changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    async def start(self):
        """Listen, and end leases in time."""
        await self.server.start()
        self.expiry = asyncio.ensure_future(self._expire())
        return self

    def put(self, key, document):
        """Write a key as the operator does."""
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._set(key, value, 0)
        self._wake()

    def _set(self, key, value, lease):
        old = self.items.get(key)
        created = old.created if old else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self.events.append((self.revision, key, item.describe()))

    def _drop(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append(
                (
                    self.revision,
                    key,
                    {
                        'Key': key,
                        'Revision': self.revision,
                        'Tombstone': True,
                    },
                )
            )

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, end_ms) in list(self.leases.items()):
                if now_ms() > end_ms:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, item in self.items.items() if item.lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._drop(key)
            self._wake()
        return True

    async def _handle(self, method, path, arguments, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        document = json.loads(body) if body else {}
        if path == '/-/kv-key':
            item = self.items.get(arguments['Key'])
            if item is None:
                return 404, {'AtRev': self.revision}
            return 200, {**item.describe(), 'AtRev': self.revision}
        if path == '/-/kv-range':
            prefix, after = arguments['PathPrefix'], arguments.get('After', '')
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            return 200, {
                'items': [self.items[k].describe() for k in keys[:500]],
                'HasMore': len(keys) > 500,
                'AtRev': self.revision,
            }
        if path == '/-/kv-watch':
            return await self._watch(arguments)
        if path == '/-/kv-txn':
            return self._commit(document)
        if path == '/-/kv-lease':
            lease = 70_000 + self.revision * 100 + random.randrange(100)
            ttl_ms = document['TtlMs']
            self.leases[lease] = (ttl_ms, now_ms() + ttl_ms)
            return 200, {'Lease': lease, 'TtlMs': ttl_ms}
        name, _, number = path.rpartition('/')
        lease = int(number)
        if name == '/-/kv-keep':
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, now_ms() + ttl_ms)
            return 200, {'TtlMs': ttl_ms}
        return (200 if self._end_lease(lease) else 404), {}

    async def _watch(self, arguments):
        prefix, after = arguments['PathPrefix'], int(arguments['After'])
        end_ms = now_ms() + int(arguments['WaitMs'])
        while True:
            found = [
                event
                for revision, key, event in self.events
                if revision > after and key.startswith(prefix)
            ]
            left_s = (end_ms - now_ms()) / 1000
            if found or left_s <= 0:
                return 200, {'events': found, 'AtRev': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()

    def _commit(self, document):
        rows = document.get('ExpectedRev', [])
        for row in rows:
            item = self.items.get(row['Key'])
            if (item.revision if item else 0) != row['Revision']:
                items = [
                    self.items[r['Key']].describe()
                    for r in rows
                    if r['Key'] in self.items
                ]
                return 412, {'items': items}
        for write in document.get('Writes', []):
            lease = write.get('Lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
        self.revision += 1
        for write in document.get('Writes', []):
            self._set(write['Key'], write['Value'], write.get('Lease', 0))
        for key in document.get('Remove', []):
            self._drop(key)
        self._wake()
        return 200, {'Revision': self.revision}


@dataclasses.dataclass
class Run:
    """A run in progress; ``work_ms`` is None if it lasts."""

    task: str
    attempt: int
    work_ms: float | None
    done_ms: float
    fails: bool
    begun_ms: int
    last_ms: int
    saves: bool = False
    gang: int = 0
    stop_at_ms: int = 0
    percent: int = 100
    started_from: str = ''
    has_worked: bool = False

    def gang_key(self):
        """Return what all members of one attempt of a gang share."""
        return self.task.rpartition('.')[0], self.attempt

    def saved(self):
        """Return the newest checkpoint; '' if the task saves none."""
        if not self.saves:
            return ''
        whole = int(self.done_ms // CHECKPOINT_MS) * CHECKPOINT_MS
        return f'{whole:08x}{self.task[:8]}' if whole else ''


class Executor:
    """An executor of about 64 cores and 250 GB.

    The text of a job says what its tasks do: a document with ``ms``, the work
    of a task of each step (null for tasks that last), and, where it is true,
    ``saves`` (its tasks checkpoint), ``fails`` (none of them ends done) or
    ``gang`` (how many tasks work only together).

    :cvar gangs: members that run, by step and attempt, on all executors
    """

    gangs = {}

    def __init__(self, record, name, rack, agent_port):
        self.record = record
        self.name = name
        self.rack = rack
        self.kind = 'a'
        self.is_busy = False
        self.suspended_at_ms = 0
        self.awake = asyncio.Event()
        self.awake.set()
        self.agent_port = agent_port
        self.history = []
        self.starts = []
        self.is_down = False
        self.state = 'ready'
        self.begun = asyncio.Event()
        self.server = None
        self.port = 0
        self._reset()

    def _reset(self):
        self.born = time.time_ns() // 1_000_000
        self.clock_zero_ms = now_ms() - random.randrange(400_000, 500_000)
        self.sequence = 0
        self.token = 0
        self.lease_end_ms = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_number = 0
        self.changed = asyncio.Event()

    def clock_ms(self):
        """Return the executor's own steady clock.

        It doesn't count the time in which the machine is suspended.
        """
        at_ms = self.suspended_at_ms or now_ms()
        return at_ms - self.clock_zero_ms

    def suspend(self):
        """Stand still with the machine."""
        self.suspended_at_ms = now_ms()
        self.awake.clear()
        self.record.write(f'the machine of {self.name} is suspended')

    def resume(self):
        """Go on; the steady clock goes on where it stood."""
        paused_ms = now_ms() - self.suspended_at_ms
        self.clock_zero_ms += paused_ms
        for run in self.runs.values():
            run.last_ms = now_ms()
        self.suspended_at_ms = 0
        self.awake.set()
        self.record.write(
            f'the machine of {self.name} goes on after {paused_ms} ms'
        )

    async def start(self):
        """Listen, work and send heartbeats."""
        self.port = find_ports(1)[0]
        self.server = await HttpServer(self._handle).start(self.port)
        self.tasks = [
            asyncio.ensure_future(self._work()),
            asyncio.ensure_future(self._beat()),
        ]
        return self

    def crash(self):
        """End at once: nothing listens, and nothing runs any more."""
        self.record.write(f'{self.name} crashes with {list(self.runs)}')
        runs = list(self.runs.values())
        self.runs.clear()
        self.is_down = True
        self.server.stop()
        for run in runs:
            self._note(run, 'crashed')
            if not run.gang:
                continue
            others = self.gangs.get(run.gang_key(), {})
            others.pop(run.task, None)
            for other, other_run in list(others.values()):
                if other.runs.get(other_run.task) is other_run:
                    other._end(other_run, 'broken')

    async def restart(self):
        """Start again under the same id, knowing nothing of before."""
        self._reset()
        self.is_down = False
        await self.server.start(self.port)
        self.begun.set()
        self.record.write(f'{self.name} is up again')

    def fail(self, task):
        """Let the run of a task fail by its own fault."""
        self._end(self.runs[task], 'failed')

    def _note(self, run, what):
        self.history.append((now_ms(), run.task, run.attempt, what))
        detail = f' after {run.done_ms / 1000:.1f} s of work'
        if what == 'start':
            detail = f' from {run.started_from}' if run.started_from else ''
        self.record.write(
            f'{self.name}: {run.task} run {run.attempt} {what}{detail}'
        )

    async def _work(self):
        while True:
            await asyncio.sleep(0.01)
            await self.awake.wait()
            at_ms = now_ms()
            lapsed = self.clock_ms() > self.lease_end_ms
            for run in list(self.runs.values()):
                if self.runs.get(run.task) is not run:
                    continue
                if run.gang and not run.has_worked:
                    members = self.gangs[run.gang_key()]
                    run.has_worked = len(members) == run.gang
                    run.last_ms = at_ms
                    if at_ms > run.begun_ms + GANG_WAIT_MS:
                        self._end(run, 'alone')
                        continue
                run.done_ms += (at_ms - run.last_ms) * run.percent / 100
                run.last_ms = at_ms
                if lapsed:
                    self._end(run, 'lapsed')
                elif run.stop_at_ms and at_ms >= run.stop_at_ms:
                    self._end(run, 'stopped')
                elif run.work_ms is not None and run.done_ms >= run.work_ms:
                    self._end(run, 'failed' if run.fails else 'done')

    def _end(self, run, how):
        del self.runs[run.task]
        others = self.gangs.get(run.gang_key(), {}) if run.gang else {}
        others.pop(run.task, None)
        self.end_number += 1
        self.ends.append(
            [self.end_number, run.task, run.attempt, how, run.saved()]
        )
        self._note(run, how)
        self.changed.set()
        self.changed = asyncio.Event()
        for other, other_run in list(others.values()):
            # Members end `done` together; otherwise the others are broken.
            if other.runs.get(other_run.task) is other_run:
                other._end(other_run, 'done' if how == 'done' else 'broken')

    async def _beat(self):
        client = Client(None, self.agent_port)
        while True:
            await self.awake.wait()
            if not self.is_down:
                self.sequence += 1
                beat = {
                    'Service': SERVICE,
                    'Address': f'{HOST}:{self.port}',
                    'Zone': 'tajo-norte',
                    'Version': 'v1',
                    'Slots': 8,
                    'State': self.state,
                    'ColdLeftMs': 0,
                    'Capacity': {'Cpu': 64_000, 'MemMb': 256_000, 'Gpu': 0},
                    'Labels': [self.kind, self.rack],
                    'ClockMs': self.clock_ms(),
                    'SeqNo': self.sequence,
                    'born': self.born,
                }
                path = f'/-/Instances.Heartbeat/{self.name}'
                await client.send('POST', path, beat, 1.0)
            self.begun.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_MS / 1000):
                    await self.begun.wait()

    async def _handle(self, method, path, arguments, headers, body):
        await self.awake.wait()
        if self.is_down:
            return DROP
        if headers.get('target-instance', self.name) != self.name:
            return 421, {}
        document = json.loads(body) if body else {}
        token = document.get('FencingToken', 0)
        if token < self.token:
            return self._refuse('fence')
        self.token = token
        if path == '/-/run-start':
            if self.is_busy:
                self.record.write(
                    f'{self.name}: start of {document["Task"]} refused (503)'
                )
                return 503, {'ClockMs': self.clock_ms()}
            return self._start_run(document)
        if path == '/-/run-stop':
            return self._stop_run(document)
        if path == '/-/hold':
            return await self._hold(document)
        if path == '/-/pace':
            run = self.runs.get(document['Task'])
            if run is not None and run.attempt == document['Attempt']:
                run.percent = document['Percent']
            return 200, {'ClockMs': self.clock_ms()}
        return 404, {}

    def _refuse(self, reason):
        return 409, {'ClockMs': self.clock_ms(), 'Reason': reason}

    def _extend(self, deadline_ms):
        deadline_ms = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_end_ms = max(self.lease_end_ms, deadline_ms)

    def _start_run(self, document):
        if document['DeadlineMs'] <= self.clock_ms():
            return self._refuse('late')
        self._extend(document['DeadlineMs'])
        task, attempt = document['Task'], document['Attempt']
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            return 200, {'ClockMs': self.clock_ms()}
        if attempt <= self.highest.get(task, 0):
            return self._refuse('old')
        self.highest[task] = attempt
        text = json.loads(document['Spec'])
        work_ms = text['ms'][int(task.split('.')[2])]
        checkpoint = document.get('Checkpoint', '')
        done_ms = int(checkpoint[:8], 16) if checkpoint else 0
        run = Run(
            task,
            attempt,
            work_ms,
            done_ms,
            bool(text.get('fails')),
            now_ms(),
            now_ms() + (RESTORE_MS if checkpoint else 0),
            bool(text.get('saves')),
            text.get('gang', 0),
        )
        run.started_from = checkpoint
        self.starts.append((task, attempt, checkpoint))
        self.runs[task] = run
        if run.gang:
            members = self.gangs.setdefault(run.gang_key(), {})
            members[task] = (self, run)
        self._note(run, 'start')
        return 200, {'ClockMs': self.clock_ms()}

    def _stop_run(self, document):
        task, attempt = document['Task'], document['Attempt']
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt and not run.stop_at_ms:
            run.stop_at_ms = now_ms() + STOP_MS // 2
            self.record.write(f'{self.name}: told to stop {task} {attempt}')
        return 200, {'ClockMs': self.clock_ms()}

    async def _hold(self, document):
        last_seen = document['LastSeen']
        self.ends = [row for row in self.ends if row[0] > last_seen]
        if document.get('DeadlineMs'):
            self._extend(document['DeadlineMs'])
        end_ms = now_ms() + document.get('WaitMs', 0)
        born = self.born
        while not self.ends and now_ms() < end_ms:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout((end_ms - now_ms()) / 1000):
                    await self.changed.wait()
            await self.awake.wait()
            if self.is_down or self.born != born:
                return DROP
        rows = []
        for run in self.runs.values():
            percent = 100
            if run.work_ms is not None:
                percent = min(int(100 * run.done_ms / run.work_ms), 99)
            rows.append([run.task, run.attempt, run.saved(), percent, 900])
        return 200, {
            'ClockMs': self.clock_ms(),
            'Running': rows,
            'EndedRuns': self.ends[:500],
            'born': self.born,
        }


class Client:
    """A client with one kept connection to one node."""

    def __init__(self, record, port, name=''):
        self.record = record
        self.port = port
        self.name = name
        self.reader = self.writer = None

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def connect(self):
        """Open the connection if it isn't open."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                HOST, self.port
            )
            open_writers.append(self.writer)

    async def send(self, method, path, document=None, timeout_s=3.0):
        """Send a request; return status and document, or 0 and {}."""
        sent_ms = now_ms()
        if self.record is not None:
            self.record.write(f'client to {self.name}: {method} {path}')
        status, answer = 0, {}
        try:
            async with asyncio.timeout(timeout_s):
                status, answer = await self._exchange(method, path, document)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            self.close()
        if self.record is not None:
            self.record.write(
                f'client from {self.name}: {method} {path} -> '
                f'{status or "no answer"} {answer or ""}'
                f' ({now_ms() - sent_ms} ms)'
            )
        return status, answer

    async def _exchange(self, method, path, document):
        await self.connect()
        body = b'' if document is None else json.dumps(document).encode()
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {HOST_HEADER}\r\n'
            f'Deadline-Ms: 3000\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self.writer.write(head.encode() + body)
        first, headers, data = await read_message(self.reader)
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return int(first.split(' ')[1]), json.loads(data) if data else {}


class Node:
    """A process of the project."""

    def __init__(self, deployment, name, run, settings):
        self.deployment = deployment
        self.name = name
        self.run = run
        self.settings = settings
        self.process = None

    async def start(self):
        """Start it with the command of the deploy file."""
        folder = self.deployment.folder
        path = folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['BORAGESHELF_NODE_FILE'] = str(path)
        with (folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self.run),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def read_log(self):
        """Return the lines of its log that are documents."""
        path = self.deployment.folder / f'{self.name}.log'
        found = []
        for line in path.read_text(errors='replace').splitlines():
            if line.startswith('{'):
                with contextlib.suppress(ValueError):
                    found.append(json.loads(line))
        return found


def read_commands():
    """Return the commands of the deploy file by role."""
    import tomllib

    document = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    return {
        name: role['run'].replace('python3', sys.executable, 1)
        for name, role in document['roles'].items()
    }


class Deployment:
    """Entries, agents, executors and the store of a small deployment."""

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.entries = []
        self.agents = []
        self.executors = []
        self.store_proxies = []
        self.agent_store_proxies = []
        self.inner_proxies = []

    async def start(self, entries=3, executors=3, kinds='aaa'):
        """Start all and wait until the system serves."""
        commands = read_commands()
        self.store = await Store().start()
        self.store.put('op/config', make_configuration())
        for number in range(entries):
            store_proxy = await Proxy(self.store.server.port).start()
            caller, ready, inner, metrics = find_ports(4)
            names = [f'agent-{number}' for number in range(executors)]
            inner_proxy = await Proxy(inner, names).start()
            self.store_proxies.append(store_proxy)
            self.inner_proxies.append(inner_proxy)
            settings = {
                'node_id': f'entry-{number}',
                'data_centre': 'tajo-norte',
                'host': HOST,
                'store_address': f'{HOST}:{store_proxy.port}',
                'caller_address': f'{HOST}:{caller}',
                'ready_address': f'{HOST}:{ready}',
                'inner_address': f'{HOST}:{inner}',
                'inner_advertised_address': f'{HOST}:{inner_proxy.port}',
                'metrics_port': metrics,
                'processor_share': 0.537,
                'processor_speed': 2,
                'executor_lease_limit_ms': MAX_HOLD_MS,
                'grace_s': 6,
                'status_retention_s': 120,
            }
            self.entries.append(
                Node(self, f'entry-{number}', commands['entry'], settings)
            )
        for number in range(executors):
            control, metrics = find_ports(2)
            store_proxy = await Proxy(self.store.server.port).start()
            self.agent_store_proxies.append(store_proxy)
            executor = Executor(
                self.record, f'i-{number}', f'r1-{number}', control
            )
            executor.kind = kinds[number]
            await executor.start()
            self.executors.append(executor)
            settings = {
                'node_id': f'agent-{number}',
                'data_centre': 'tajo-norte',
                'host': HOST,
                'store_address': f'{HOST}:{store_proxy.port}',
                'registration_address': f'{HOST}:{control}',
                'executor_address': f'{HOST}:{executor.port}',
                'service': SERVICE,
                'seeds': [
                    f'{HOST}:{proxy.port}' for proxy in self.inner_proxies
                ],
                'metrics_port': metrics,
                'processor_share': 0.645,
                'processor_speed': 1,
                'executor_lease_limit_ms': MAX_HOLD_MS,
            }
            self.agents.append(
                Node(self, f'agent-{number}', commands['agent'], settings)
            )
        for node in (*self.entries, *self.agents):
            await node.start()
        await self._wait_until_ready()
        self.record.write(
            f'{entries} entries and {executors} executors are up'
        )

    async def _wait_until_ready(self):
        end_ms = now_ms() + 40_000
        while now_ms() < end_ms:
            await asyncio.sleep(0.3)
            ready = [await self.is_ready(entry) for entry in self.entries]
            if all(ready) and self.count_attached() == len(self.agents):
                await asyncio.sleep(1.5)
                return
        raise NotStarted

    def cut_agent(self, number):
        """Cut an agent off from the store and all other processes."""
        self.agent_store_proxies[number].cut()
        for proxy in self.inner_proxies:
            proxy.cut(f'agent-{number}')

    def heal_agent(self, number):
        """End the cut."""
        self.agent_store_proxies[number].heal()
        for proxy in self.inner_proxies:
            proxy.heal(f'agent-{number}')

    def suspend(self, number):
        """Suspend the machine of an agent and its executor."""
        self.agents[number].signal(signal.SIGSTOP)
        self.executors[number].suspend()

    def resume(self, number):
        """Let the machine go on."""
        self.executors[number].resume()
        self.agents[number].signal(signal.SIGCONT)

    def count_attached(self):
        """Return how many executors have seen a session."""
        return sum(executor.token > 0 for executor in self.executors)

    async def is_ready(self, entry):
        """Return whether the platform would send clients to an entry."""
        port = int(entry.settings['ready_address'].rpartition(':')[2])
        client = Client(None, port)
        status, _ = await client.send('GET', '/-/ready', None, 1.0)
        client.close()
        return status == 200

    def client(self, number):
        """Return a client that is connected to an entry."""
        entry = self.entries[number]
        port = int(entry.settings['caller_address'].rpartition(':')[2])
        return Client(self.record, port, entry.name)

    async def submit(self, path, job):
        """Hand a job in as a sound client does, with retries elsewhere.

        Return whether it was accepted.
        """
        for attempt in range(8):
            client = self.client(attempt % len(self.entries))
            status, _ = await client.send('POST', path, job)
            client.close()
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    def find_owner(self):
        """Return the number of the entry that holds the owner's key."""
        item = self.store.items.get('borageshelf/owner')
        if item is None:
            return None
        value = base64.b64decode(item.value)
        for number, entry in enumerate(self.entries):
            if entry.name.encode() in value:
                return number
        return None

    def history(self):
        """Return what ran on all executors, in order."""
        return sorted(
            (at_ms, task, attempt, what, executor.name)
            for executor in self.executors
            for at_ms, task, attempt, what in executor.history
        )

    def list_starts(self):
        """Return task, attempt and checkpoint of each start."""
        return [
            start for executor in self.executors for start in executor.starts
        ]

    async def stop(self):
        """End all processes and remove the folder."""
        await asyncio.gather(
            *(node.kill() for node in (*self.entries, *self.agents))
        )
        if os.environ.get('KEEP_LOGS'):
            shutil.copytree(
                self.folder, os.environ['KEEP_LOGS'], dirs_exist_ok=True
            )
        shutil.rmtree(self.folder, ignore_errors=True)


def make_configuration():
    """Return the operator's configuration."""
    route = {
        'Name': 'kiln',
        'Host': HOST_HEADER,
        'PathPrefix': QUEUE,
        'Kind': 'unsafe',
        'Service': SERVICE,
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1000,
        'Priority': 2,
        'MaxAttempts': 2,
        'SlackFactor': 3.0,
    }
    return {
        'Version': 3,
        'Routes': [route],
        'Services': [{'Name': SERVICE, 'EnforcesCapacity': False}],
        'Limits': {'MaxBodyBytes': 262144, 'IdleTimeoutMs': 15000},
    }


class NotStarted(Exception):
    """The deployment didn't start in time."""


def main(folder, case):
    """Run a case and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(folder)
    status = 2

    async def run():
        nonlocal status
        deployment = Deployment(record)
        # All processes are ended also if the script is told to stop.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            async with asyncio.timeout(LIMIT_S):
                status = await case(deployment, record, has_trouble)
        except TimeoutError:
            record.write('not finished in time')
        except NotStarted:
            record.write('the deployment did not start')
        except asyncio.CancelledError:
            record.write('told to stop')
        finally:
            await deployment.stop()
            for writer in open_writers:
                writer.transport.abort()
            await asyncio.sleep(0.1)

    asyncio.run(run())
    verdict = ('the rule held', 'THE RULE WAS BROKEN', 'could not run')
    record.write(verdict[status])
    sys.exit(status)
