"""Stand-ins and process control that the scripts of review 2 share.

A world is a small deployment on loopback: each machine has an address in
127.0.0.0/8, with the ports of the platform's settings. The store, the
executors, the list of machines and the clients are stand-ins that follow the
users' pages; entries and agents are the project's own programs, started with
the commands of the deploy file. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
FRONT, CONTROL, READY, APP, STORE, LIST = 8161, 8166, 8167, 8170, 8169, 8171
SERVICE = 'pigment'
HOST = 'jobs.example'
BEAT_S = 1.1
# Bounds of the site `ocre-andino`.
CONTACT_MS = 3_000
MAX_HOLD_MS = 6_000
STOP_MS = 200
GANG_WAIT_MS = 3_000
CHECKPOINT_MS = 1_000
RESTORE_MS = 100
GRACE_S = 6
STATUS_S = 120
NO_ANSWER = object()
# A case ends its processes before the limit of 120 s.
LIMIT_S = 110


def now_ms():
    """Return the steady clock of this machine."""
    return time.monotonic_ns() // 1_000_000


# HTTP.


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        row = (await reader.readline()).decode('latin-1').strip()
        if not row:
            break
        name, _, value = row.partition(':')
        headers[name.strip().lower()] = value.strip()
    return line.decode('latin-1').split(' ', 2), headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while size := int((await reader.readline()).split(b';')[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Server:
    """An HTTP server whose handler returns (status, document).

    ``NO_ANSWER`` in place of a result leaves the connection open and silent;
    None closes it.
    """

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None

    async def start(self, ip, port):
        """Listen."""
        self.server = await asyncio.start_server(self.serve, ip, port)

    def stop(self):
        """Close the listener and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                (method, target, _), headers = head
                body = await read_body(reader, headers)
                path, _, query = target.partition('?')
                result = await self.handle(
                    method,
                    path,
                    dict(urllib.parse.parse_qsl(query)),
                    headers,
                    body,
                )
                if result is NO_ANSWER:
                    await asyncio.sleep(3600)
                if result is None:
                    return
                status, document = result
                text = json.dumps(document).encode()
                writer.write(
                    b'HTTP/1.1 %d x\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(text)) + text
                )
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # The world ends.
            return
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(ip, port, method, path, document=None, headers=(), timeout=3.0):
    """Send one request; return (status, document) or None without answer."""
    body = b'' if document is None else json.dumps(document).encode()
    rows = {'Host': HOST, 'Connection': 'close', **dict(headers)}
    if body:
        rows['Content-Type'] = 'application/json'
    rows['Content-Length'] = str(len(body))
    text = f'{method} {path} HTTP/1.1\r\n' + ''.join(
        f'{name}: {value}\r\n' for name, value in rows.items()
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(text.encode() + b'\r\n' + body)
            head = await read_head(reader)
            if head is None:
                return None
            (_, status, _), answered = head
            data = await read_body(reader, answered)
            return int(status), json.loads(data or b'null')
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Proxy:
    """The link to one port of a machine, which may fall silent.

    The proxy has the segment size and the small windows of a network between
    machines, which loopback lacks. Once it is dark it takes nothing and
    answers nothing, as a machine without power does.
    """

    SEGMENT_BYTES = 1_448
    WINDOW_BYTES = 2_048

    def __init__(self, ip, port, target_ip, target_port):
        self.address = (ip, port)
        self.target = (target_ip, target_port)
        self.is_dark = False
        self.tasks = set()
        self.streams = set()
        self.server = None

    async def start(self):
        """Listen."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.SEGMENT_BYTES
        )
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self.WINDOW_BYTES
        )
        listener.bind(self.address)
        self.server = await asyncio.start_server(
            self.serve, sock=listener, limit=4_096
        )

    def go_dark(self):
        """Take and answer nothing from now on."""
        self.is_dark = True
        for task in self.tasks:
            task.cancel()

    def stop(self):
        """End all connections."""
        self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in self.streams:
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Connect a client with the machine."""
        self.streams.add(writer)
        if self.is_dark:
            writer.transport.pause_reading()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self.streams.add(far_writer)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.ensure_future(self.copy(source, sink))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def copy(self, source, sink):
        """Copy one direction until its end."""
        try:
            while data := await source.read(4_096):
                sink.write(data)
                await sink.drain()
        except asyncio.CancelledError:
            # Dark: nothing more is read, and the end is not passed on.
            return
        except OSError:
            pass
        if not self.is_dark:
            sink.close()


# The platform's store.


class Store:
    """The platform's key-value store, as PROTOCOL.md describes it."""

    def __init__(self, ip):
        self.ip = ip
        self.revision = 10
        self.items = {}
        self.log = []
        self.leases = {}
        self.lease_ids = itertools.count(1)
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, key, value, lease=0):
        """Write a key at the present revision."""
        former = self.items.get(key)
        created = former['CreatedRev'] if former else self.revision
        item = {
            'Key': key,
            'Value': value,
            'Revision': self.revision,
            'CreatedRev': created,
            'Lease': lease,
        }
        self.items[key] = item
        self.log.append(item)

    def remove(self, key):
        """Remove a key at the present revision."""
        if self.items.pop(key, None):
            self.log.append(
                {'Key': key, 'Revision': self.revision, 'Tombstone': True}
            )

    def publish(self, key, document):
        """Write as the operator does."""
        self.revision += 1
        text = base64.b64encode(json.dumps(document).encode()).decode()
        self.put(key, text)
        self.wake()

    def wake(self):
        """Wake the waiting watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        """End leases whose time is over."""
        while True:
            await asyncio.sleep(0.02)
            for lease, (deadline, _) in list(self.leases.items()):
                if now_ms() > deadline:
                    self.end_lease(lease)

    def end_lease(self, lease):
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, item in self.items.items() if item['Lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.wake()
        return True

    async def handle(self, method, path, query, headers, body):
        """Answer a call after 4 ms."""
        await asyncio.sleep(0.004)
        prefix = query.get('PathPrefix', '')
        if path == '/-/kv-key':
            item = self.items.get(query['Key'])
            if item is None:
                return 404, {'AtRev': self.revision}
            return 200, {**item, 'AtRev': self.revision}
        if path == '/-/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > query.get('After', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'HasMore': len(keys) > 500,
                'AtRev': self.revision,
            }
        if path == '/-/kv-watch':
            return await self.watch(prefix, query)
        document = json.loads(body or b'{}')
        if path == '/-/kv-txn':
            return self.commit(document)
        if path == '/-/kv-lease':
            lease = next(self.lease_ids)
            ttl = max(document['TtlMs'], 1_000)
            self.leases[lease] = (now_ms() + ttl, ttl)
            return 200, {'Lease': lease, 'TtlMs': ttl}
        lease = int(path.rpartition('/')[2])
        if path.startswith('/-/kv-keep/'):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now_ms() + ttl, ttl)
            return 200, {'Lease': lease, 'TtlMs': ttl}
        return (200 if self.end_lease(lease) else 404), {}

    async def watch(self, prefix, query):
        """Wait for a change under a prefix."""
        after = int(query['After'])
        deadline = now_ms() + int(query['WaitMs'])
        while True:
            changed = self.changed
            events = [
                item
                for item in self.log
                if item['Revision'] > after and item['Key'].startswith(prefix)
            ]
            left = deadline - now_ms()
            if events or left <= 0:
                return 200, {'events': events, 'AtRev': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left / 1000):
                    await changed.wait()

    def commit(self, document):
        """Apply a transaction, all or nothing."""
        expected = document.get('ExpectedRev') or []
        for row in expected:
            item = self.items.get(row['Key'])
            if (item['Revision'] if item else 0) != row['Revision']:
                found = [self.items.get(each['Key']) for each in expected]
                return 412, {'items': [each for each in found if each]}
        writes = document.get('Writes') or []
        if any(
            write.get('Lease', 0) and write['Lease'] not in self.leases
            for write in writes
        ):
            return 404, {}
        self.revision += 1
        for write in writes:
            self.put(write['Key'], write['Value'], write.get('Lease', 0))
        for key in document.get('Remove') or []:
            self.remove(key)
        self.wake()
        return 200, {'Revision': self.revision}


# Executors.


class Run:
    """A run on an executor."""

    def __init__(self, task, attempt, checkpoint, step, at_ms):
        self.task = task
        self.attempt = attempt
        self.checkpoint = checkpoint
        self.step = step
        self.present_ms = at_ms
        # When it began to work, on the executor's clock; None before.
        self.works_ms = None
        saved = checkpoint.rpartition(':')[2]
        self.saved_ms = int(saved) if saved else 0

    @property
    def group(self):
        """Name of the step in one occurrence, whose tasks are a gang."""
        return self.task.rpartition('.')[0]


class Executor:
    """An executor with its heartbeats, leases and numbered ends."""

    def __init__(self, world, number, labels):
        self.world = world
        self.ip = world.make_ip(100 + number)
        self.machine = f'machine-{number}'
        self.labels = labels
        self.capacity = {'Cpu': 64_000, 'MemMb': 250_000, 'Gpu': 0}
        self.lives = 0
        self.is_up = False
        self.server = None
        self.runs = {}

    async def start(self):
        """Begin a new life, which knows nothing of the former ones."""
        self.lives += 1
        self.id = (
            f'i-{self.machine}-{self.lives}-{random.randrange(1 << 32):x}'
        )
        self.born = time.time_ns() // 1_000_000
        self.origin_ms = now_ms()
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.stopped = {}
        self.ended = []
        self.last_end = 0
        self.beats = 0
        self.server = Server(self.handle)
        await self.server.start(self.ip, APP)
        self.is_up = True
        self.world.note('executor up', executor=self.id, machine=self.machine)

    def crash(self):
        """End at once, with all that runs."""
        if not self.is_up:
            return
        self.is_up = False
        self.server.stop()
        for run in list(self.runs.values()):
            self.world.note_run('died', self, run)
        self.runs = {}
        self.world.note('executor crashed', executor=self.id)

    def clock_ms(self):
        """Return the steady clock, which begins with each life."""
        return now_ms() - self.origin_ms + 1

    async def beat(self):
        """Send heartbeats to the address of the own machine."""
        while True:
            if self.is_up:
                self.beats += 1
                document = {
                    'Service': SERVICE,
                    'Address': f'{self.ip}:{APP}',
                    'Zone': 'zone-1',
                    'Version': 'v1',
                    'Slots': 8,
                    'State': 'ready',
                    'ColdLeftMs': 0,
                    'Capacity': self.capacity,
                    'Labels': self.labels,
                    'ClockMs': self.clock_ms(),
                    'SeqNo': self.beats,
                    'born': self.born,
                }
                answer = await call(
                    self.ip,
                    CONTROL,
                    'POST',
                    f'/-/Instances.Heartbeat/{self.id}',
                    document,
                    timeout=1.0,
                )
                if answer is None:
                    await asyncio.sleep(0.2)
                    continue
            await asyncio.sleep(BEAT_S if self.is_up else 0.02)

    async def handle(self, method, path, query, headers, body):
        """Carry out an order of the agent on the same machine."""
        document = json.loads(body or b'{}')
        if headers.get('target-instance', self.id) != self.id:
            return 421, {}
        token = document.get('FencingToken', 0)
        if token < self.token:
            return self.refuse('fence')
        self.token = token
        if path == '/-/run-start':
            return self.handle_start(document)
        if path == '/-/run-stop':
            return await self.handle_stop(document)
        if path == '/-/hold':
            return await self.handle_hold(document)
        if path == '/-/pace':
            return 200, {'ClockMs': self.clock_ms()}
        return 404, {}

    def refuse(self, reason):
        """Return a refusal."""
        return 409, {'ClockMs': self.clock_ms(), 'Reason': reason}

    def extend(self, deadline_ms):
        """Extend the lease, at most to its limit; it never shortens."""
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    def handle_start(self, document):
        """Start a run."""
        task, attempt = document['Task'], document['Attempt']
        if document['DeadlineMs'] <= self.clock_ms():
            return self.refuse('late')
        self.extend(document['DeadlineMs'])
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            return 200, {'ClockMs': self.clock_ms()}
        if attempt <= self.stopped.get(task, 0) or run is not None:
            return self.refuse('old')
        checkpoint = document.get('Checkpoint', '')
        step = self.world.find_step(task)
        run = Run(task, attempt, checkpoint, step, self.clock_ms())
        self.runs[task] = run
        self.world.note_run('start', self, run, checkpoint=checkpoint)
        if not step.get('Gang'):
            run.works_ms = self.clock_ms()
        return 200, {'ClockMs': self.clock_ms()}

    async def handle_stop(self, document):
        """Stop a run, or reject it if it comes later."""
        task, attempt = document['Task'], document['Attempt']
        self.stopped[task] = max(self.stopped.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt == attempt:
            self.end(run, 'stopped')
        return 200, {'ClockMs': self.clock_ms()}

    async def handle_hold(self, document):
        """List what runs and what has ended."""
        seen = document['LastSeen']
        self.ended = [row for row in self.ended if row[0] > seen]
        self.extend(document.get('DeadlineMs', 0))
        life = self.lives
        deadline = now_ms() + document.get('WaitMs', 0)
        while not self.ended and now_ms() < deadline:
            await asyncio.sleep(0.01)
            if not self.is_up or self.lives != life:
                return None
        return 200, {
            'ClockMs': self.clock_ms(),
            'born': self.born,
            'Running': [
                [
                    run.task,
                    run.attempt,
                    self.find_saved(run),
                    self.find_percent(run),
                    run.step.get('Cpu', 0),
                ]
                for run in self.runs.values()
            ],
            'EndedRuns': self.ended[:500],
        }

    def find_work_ms(self, run):
        """Return the work that a run has done, with what it resumed from."""
        if run.works_ms is None:
            return run.saved_ms
        worked_ms = self.clock_ms() - run.works_ms
        if run.checkpoint:
            worked_ms = max(worked_ms - RESTORE_MS, 0)
        return run.saved_ms + worked_ms

    def find_saved(self, run):
        """Return the newest checkpoint of a run."""
        if not run.step.get('Checkpointing'):
            return ''
        work_ms = self.find_work_ms(run)
        work_ms -= work_ms % CHECKPOINT_MS
        if work_ms <= run.saved_ms:
            return run.checkpoint
        name = run.group if run.step.get('Gang') else run.task
        return f'{name}:{work_ms}'

    def find_percent(self, run):
        """Return the progress of a run."""
        if run.step.get('LongRunning'):
            return 100 if run.works_ms is not None else 0
        return min(100, 100 * self.find_work_ms(run) // run.step['work_ms'])

    def end(self, run, how):
        """End a run and list its end."""
        saved = self.find_saved(run)
        del self.runs[run.task]
        self.stopped[run.task] = max(
            self.stopped.get(run.task, 0), run.attempt
        )
        self.last_end += 1
        row = [self.last_end, run.task, run.attempt, how, saved]
        self.ended.append(row)
        self.world.note_run(how, self, run, saved=saved)

    def tick(self):
        """Let leases lapse and tasks finish."""
        for run in list(self.runs.values()):
            if self.clock_ms() > self.lease_ms:
                self.end(run, 'lapsed')
            elif run.step.get('Gang') or run.step.get('LongRunning'):
                continue
            elif self.find_work_ms(run) >= run.step['work_ms']:
                self.end(run, 'done')


class World:
    """A deployment with its processes and the record of what happened.

    :param name: folder of the case
    """

    def __init__(self, folder, entries=2, labels=()):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = (self.folder / 'record.txt').open('w')
        self.origin_ms = now_ms()
        self.network = self.find_network()
        self.temporary = pathlib.Path(tempfile.mkdtemp())
        self.steps = {}
        self.events = []
        self.store = Store(self.make_ip(1))
        self.list_ip = self.make_ip(2)
        self.entries = [self.make_ip(10 + i) for i in range(entries)]
        self.executors = [
            Executor(self, number, list(each))
            for number, each in enumerate(labels)
        ]
        self.processes = {}
        self.last_trouble_ms = None
        self.turns = itertools.count()
        self.lister = Server(self.list_machines)
        self.background = []
        # Links to the inner port of each entry, if they go through proxies.
        self.links = {}

    @staticmethod
    def find_network():
        """Return two free bytes of loopback addresses."""
        while True:
            first, second = random.randrange(10, 250), random.randrange(250)
            try:
                for port in (FRONT, CONTROL, READY, APP, STORE, LIST, 9464):
                    with socket.socket() as probe:
                        probe.bind((f'127.{first}.{second}.1', port))
                return f'127.{first}.{second}'
            except OSError:
                continue

    def make_ip(self, number):
        """Return the address of a machine."""
        return f'{self.network}.{number}'

    def note(self, what, **fields):
        """Write a line of the record."""
        at_ms = now_ms() - self.origin_ms
        row = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.record.write(f'{at_ms:7d} {what} {row}\n')
        self.record.flush()
        self.events.append((at_ms, what, fields))

    def note_run(self, what, executor, run, **fields):
        """Write a line about a run."""
        self.note(
            what,
            task=run.task,
            attempt=run.attempt,
            executor=executor.id,
            **fields,
        )

    def note_trouble(self, what, **fields):
        """Write a line about a disruption."""
        self.last_trouble_ms = now_ms() - self.origin_ms
        self.note('TROUBLE ' + what, **fields)

    def elapsed_ms(self):
        """Return the time of the record."""
        return now_ms() - self.origin_ms

    async def list_machines(self, method, path, query, headers, body):
        """Answer a reading of the list of machines."""
        return 200, {
            'Machines': [
                {
                    'Machine': each.machine,
                    'Pool': SERVICE,
                    'State': 'up' if each.is_up else 'down',
                    'Zone': 'zone-1',
                    'Labels': each.labels,
                    'Capacity': each.capacity,
                    'Id': each.id if each.is_up else '',
                }
                for each in self.executors
            ],
            'NextToken': '',
        }

    # Processes.

    async def add_links(self):
        """Let all connections between processes go through proxies."""
        for number, ip in enumerate(self.entries):
            proxy = Proxy(self.make_ip(50 + number), CONTROL, ip, CONTROL)
            await proxy.start()
            self.links[ip] = proxy

    def inner(self, ip):
        """Return the address at which other processes reach an entry."""
        if ip in self.links:
            ip = self.links[ip].address[0]
        return f'{ip}:{CONTROL}'

    def find_owner(self):
        """Return the address of the entry that owns the workflows."""
        item = self.store.items.get('borageshelf/owner')
        if item is None:
            return None
        value = base64.b64decode(item['Value'])
        return next(
            (ip for ip in self.entries if f'entry-{ip}'.encode() in value),
            None,
        )

    def settings(self, ip, role):
        """Return the settings that the template yields for a machine."""
        document = {
            'node_id': f'{role}-{ip}',
            'data_centre': 'zone-1',
            'host': ip,
            'store_address': f'{self.store.ip}:{STORE}',
            'inventory_address': f'{self.list_ip}:{LIST}',
            'processor_share': 0.645,
            'processor_speed': 1,
            'seeds': [self.inner(each) for each in self.entries[:3]],
            'executor_lease_limit_ms': MAX_HOLD_MS,
            'grace_s': GRACE_S,
            'status_retention_s': STATUS_S,
            'metrics_port': 9464,
        }
        if role == 'entry':
            document['caller_address'] = f'{ip}:{FRONT}'
            document['ready_address'] = f'{ip}:{READY}'
            document['inner_address'] = f'{ip}:{CONTROL}'
            if ip in self.links:
                document['inner_advertised_address'] = self.inner(ip)
        else:
            document['registration_address'] = f'{ip}:{CONTROL}'
            document['executor_address'] = f'{ip}:{APP}'
            document['service'] = SERVICE
        return document

    async def start_process(self, ip, role):
        """Start an entry or an agent as the deploy file does."""
        file = self.temporary / f'{role}-{ip}.json'
        file.write_text(json.dumps(self.settings(ip, role)))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BORAGESHELF_NODE_FILE'] = str(file)
        with file.with_suffix('.log').open('ab') as log:
            self.processes[ip] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'borageshelf.main',
                f'workflow-{role}',
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.note('process started', role=role, ip=ip)

    def signal(self, ip, number):
        """Send a signal to a process of this world."""
        process = self.processes[ip]
        if process.returncode is None:
            process.send_signal(number)

    def spawn(self, coroutine):
        """Run something in the background."""
        self.background.append(asyncio.ensure_future(coroutine))

    async def begin(self, routes):
        """Start everything and wait until all entries are ready."""
        await self.store.server.start(self.store.ip, STORE)
        await self.lister.start(self.list_ip, LIST)
        self.publish(3, routes)
        self.spawn(self.store.expire())
        self.spawn(self.tick())
        for ip in self.entries:
            await self.start_process(ip, 'entry')
        for executor in self.executors:
            await executor.start()
            await self.start_process(executor.ip, 'agent')
            self.spawn(executor.beat())
        deadline = now_ms() + 25_000
        for ip in self.entries:
            while True:
                answer = await call(ip, READY, 'GET', '/-/ready')
                if answer is not None and answer[0] == 200:
                    break
                if now_ms() > deadline:
                    raise TimeoutError('the entries are not ready')
                await asyncio.sleep(0.1)
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(4)
        self.note('ready')

    def publish(self, version, routes):
        """Write a version of the configuration."""
        document = {
            'Version': version,
            'Routes': routes,
            'Services': [{'Name': SERVICE, 'EnforcesCapacity': False}],
            'Limits': {'MaxBodyBytes': 262_144, 'IdleTimeoutMs': 15_000},
        }
        self.store.publish('op/config', document)
        size = len(json.dumps(document))
        self.note('configuration', version=version, bytes=size)

    async def tick(self):
        """Let tasks and gangs go on."""
        while True:
            await asyncio.sleep(0.01)
            for executor in self.executors:
                if executor.is_up:
                    executor.tick()
            self.tick_gangs()

    def tick_gangs(self):
        """Let gangs work once all members of one run are present.

        All members must carry the same checkpoint. They end together.
        """
        gangs = {}
        for executor in self.executors:
            for run in executor.runs.values():
                if run.step.get('Gang'):
                    members = gangs.setdefault((run.group, run.attempt), [])
                    members.append((executor, run))
        for members in gangs.values():
            step = members[0][1].step
            is_whole = len(members) == step['Count']
            is_same = len({run.checkpoint for _, run in members}) == 1
            is_working = any(run.works_ms is not None for _, run in members)
            if is_working and not is_whole:
                for executor, run in members:
                    executor.end(run, 'broken')
            elif is_whole and is_same and not is_working:
                for executor, run in members:
                    run.works_ms = executor.clock_ms()
            elif is_working:
                if all(
                    e.find_work_ms(r) >= step['work_ms'] for e, r in members
                ):
                    for executor, run in members:
                        executor.end(run, 'done')
            else:
                for executor, run in members:
                    if executor.clock_ms() - run.present_ms > GANG_WAIT_MS:
                        executor.end(run, 'alone')

    async def finish(self):
        """End all processes and servers."""
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes.values():
            await process.wait()
        for proxy in self.links.values():
            proxy.stop()
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)
        if keep := os.environ.get('KEEP_LOGS'):
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)

    # Clients.

    def find_step(self, task):
        """Return the step of a task, with its true work."""
        job, _, step, _ = task.split('.')
        return self.steps[job][int(step)]

    def pick_entry(self):
        """Return the next entry that runs, as the balancer does."""
        live = [
            ip for ip in self.entries if self.processes[ip].returncode is None
        ]
        return live[next(self.turns) % len(live)]

    async def submit(self, prefix, phases, spec='work', **fields):
        """Submit a job until it is accepted; return its id.

        :param phases: steps; ``work_ms`` is their true run time, which only
            the stand-ins know
        """
        job = f'{random.getrandbits(64):016x}'
        self.steps[job] = phases
        document = {
            'Spec': spec,
            'Phases': [
                {k: v for k, v in phase.items() if k != 'work_ms'}
                for phase in phases
            ],
            **fields,
        }
        for _ in range(10):
            answer = await call(
                self.pick_entry(),
                FRONT,
                'POST',
                prefix + job,
                document,
                {'Deadline-Ms': '3000'},
            )
            self.note('submit', job=job, answer=answer and answer[0])
            if answer is not None and answer[0] == 200:
                return job
            await asyncio.sleep(1)
        raise TimeoutError('the job is not accepted')

    async def ask(self, prefix, job):
        """Return the state of a job; None without a usable answer."""
        answer = await call(
            self.pick_entry(),
            FRONT,
            'GET',
            prefix + job,
            None,
            {'Deadline-Ms': '3000'},
        )
        self.note('state', job=job, answer=answer)
        if answer is None:
            return None
        if answer[0] == 200:
            return answer[1]['State']
        return 'absent' if answer[0] == 410 else None


def make_route(name, attempts=3):
    """Return a route of the configuration."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Kind': 'unsafe',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1000,
        'Priority': 0,
        'Service': SERVICE,
        'MaxAttempts': attempts,
        'SlackFactor': 2.0,
    }


def run_case(main):
    """Run a case; exit with 1 if the rule was broken, 2 if it couldn't run.

    :param main: coroutine function that returns what was broken, '' if
        nothing
    """

    async def run_in_time():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await main()

    try:
        broken = asyncio.run(run_in_time())
    except (Exception, asyncio.CancelledError) as error:
        print(f'the case could not run: {error!r}')
        sys.exit(2)
    print(f'BROKEN: {broken}' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
