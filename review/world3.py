"""A small deployment on loopback for the scripts of the third review.

One process holds the platform's store, its list of machines, the executors
and the clients. They follow PROTOCOL.md and are sound: they answer at once,
keep what they acknowledge, and do what they are told. The project's two
programs run as processes of their own with the commands of the deploy file.
Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
SERVICE = 'svc0'
QUEUE_HOST = 'jobs.example'
PREFIX = '/work/'


def now_s():
    """Return the steady time in seconds."""
    return time.monotonic()


_taken = set()


def free_port():
    """Return a free loopback port that was not returned before.

    It is below those from which the kernel takes ports for connections.
    """
    while True:
        port = random.randint(12_000, 30_000)
        if port in _taken:
            continue
        _taken.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._begun_s = now_s()

    def __call__(self, what, **fields):
        at_s = now_s() - self._begun_s
        words = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at_s:8.3f} {what} {words}\n')

    def close(self):
        """Close the file."""
        self._file.close()


# HTTP, as far as the stand-ins need it.


async def serve_http(handle, port, writers=None):
    """Serve HTTP/1.1 with a coroutine (method, path, query, headers, body).

    :param writers: set in which the open connections are kept
    """

    async def serve(reader, writer):
        if writers is not None:
            writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                method, target, _ = lines[0].split(' ', 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(':')
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get('content-length', 0))
                )
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, answer = await handle(
                    method, url.path, query, headers, body
                )
                data = json.dumps(answer).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            # The client has gone, or the case ends.
            pass
        finally:
            if writers is not None:
                writers.discard(writer)
            writer.close()

    return await asyncio.start_server(serve, HOST, port, limit=2**22)


async def request(port, method, path, document=None, headers=(), timeout_s=3):
    """Send a request; return (status, document), or (0, cause)."""

    async def send():
        reader, writer = await asyncio.open_connection(HOST, port, limit=2**22)
        try:
            body = b'' if document is None else json.dumps(document).encode()
            lines = [
                f'{method} {path} HTTP/1.1',
                f'Content-Length: {len(body)}',
                'Content-Type: application/json',
                'Connection: close',
                *(f'{name}: {value}' for name, value in headers),
            ]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head = await reader.readuntil(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            length = 0
            for line in lines[1:]:
                name, _, value = line.partition(':')
                if name.lower() == 'content-length':
                    length = int(value)
            data = await reader.readexactly(length)
            return int(lines[0].split(' ')[1]), json.loads(data or b'{}')
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(send(), timeout_s)
    except (TimeoutError, asyncio.TimeoutError):
        return 0, 'no answer in time'
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__


class Links:
    """The connections of other machines to an entry's inner address.

    What one machine sends or receives there can be held back and delivered in
    order later, as by a partition. A machine is known by the name that it
    tells in its first message.
    """

    def __init__(self, target_port):
        self.port = free_port()
        self._target_port = target_port
        self._held_name = None
        self._released = asyncio.Event()
        self._released.set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def hold(self, name):
        """Hold back all bytes from and to a machine."""
        self._held_name = name.encode()
        self._released.clear()

    def release(self):
        """Deliver what was held back."""
        self._held_name = None
        self._released.set()

    async def _serve(self, reader, writer):
        names = bytearray()
        try:
            to_reader, to_writer = await asyncio.open_connection(
                HOST, self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._copy(reader, to_writer, names, True),
            self._copy(to_reader, writer, names, False),
            return_exceptions=True,
        )

    async def _copy(self, reader, writer, names, is_from_client):
        try:
            while data := await reader.read(65536):
                if is_from_client and len(names) < 2000:
                    names += data
                while self._held_name and self._held_name in names:
                    await self._released.wait()
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store:
    """The platform's metadata store: linearizable, loses nothing."""

    def __init__(self):
        self.port = free_port()
        self.revision = 100
        self.items = {}
        self._events = []
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()

    async def start(self):
        """Listen, and end leases in time."""
        self._server = await serve_http(self._handle, self.port)
        self._expiry = asyncio.ensure_future(self._expire())

    def write(self, key, document):
        """Write a key as the operator does."""
        self._apply([(key, json.dumps(document).encode(), 0)], [])

    def _apply(self, writes, removed):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items.get(key, {}).get('CreatedRev', self.revision)
            self.items[key] = {
                'Key': key,
                'Value': base64.b64encode(value).decode(),
                'Revision': self.revision,
                'CreatedRev': created,
                'Lease': lease,
            }
            self._events.append(dict(self.items[key]))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self._events.append(
                    {'Key': key, 'Revision': self.revision, 'Tombstone': True}
                )
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            ended = [
                lease
                for lease, (_, deadline_s) in self._leases.items()
                if now_s() > deadline_s
            ]
            for lease in ended:
                self._end_lease(lease)

    def _end_lease(self, lease):
        if self._leases.pop(lease, None) is None:
            return
        keys = [k for k, item in self.items.items() if item['Lease'] == lease]
        if keys:
            self._apply([], keys)

    async def _handle(self, method, path, query, headers, body):
        if path == '/-/kv-key':
            item = self.items.get(query['Key'])
            if item is None:
                return 404, {'AtRev': self.revision}
            return 200, {**item, 'AtRev': self.revision}
        if path == '/-/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['PathPrefix'])
                and key > query.get('After', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'HasMore': len(keys) > 500,
                'AtRev': self.revision,
            }
        if path == '/-/kv-watch':
            return await self._watch(query)
        if path == '/-/kv-txn':
            return self._commit(json.loads(body))
        if path == '/-/kv-lease':
            ttl_ms = max(json.loads(body)['TtlMs'], 1000)
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[lease] = (ttl_ms, now_s() + ttl_ms / 1000)
            return 200, {'Lease': lease, 'TtlMs': ttl_ms}
        lease = int(path.rpartition('/')[2])
        if lease not in self._leases:
            return 404, {}
        ttl_ms, _ = self._leases[lease]
        if path.startswith('/-/kv-keep/'):
            self._leases[lease] = (ttl_ms, now_s() + ttl_ms / 1000)
            return 200, {'Lease': lease, 'TtlMs': ttl_ms}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        deadline_s = now_s() + int(query['WaitMs']) / 1000
        while True:
            found = [
                event
                for event in self._events
                if event['Revision'] > int(query['After'])
                and event['Key'].startswith(query['PathPrefix'])
            ]
            left_s = deadline_s - now_s()
            if found or left_s <= 0:
                return 200, {'events': found, 'AtRev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except (TimeoutError, asyncio.TimeoutError):
                pass

    def _commit(self, document):
        rows = document['ExpectedRev']
        is_met = all(
            self.items.get(row['Key'], {}).get('Revision', 0)
            == row['Revision']
            for row in rows
        )
        if not is_met:
            found = [self.items.get(row['Key']) for row in rows]
            return 412, {'items': [item for item in found if item]}
        leases = [write.get('Lease', 0) for write in document['Writes']]
        if any(lease and lease not in self._leases for lease in leases):
            return 404, {}
        self._apply(
            [
                (
                    write['Key'],
                    base64.b64decode(write['Value']),
                    write.get('Lease', 0),
                )
                for write in document['Writes']
            ],
            document['Remove'],
        )
        return 200, {'Revision': self.revision}


class Executor:
    """An executor that doesn't guard its capacity, and its machine.

    The specification of a task is its run time in milliseconds, 0 for one
    that lasts. A slow executor works at a share of its speed. While its
    machine is suspended, it stands still, and so does its clock.
    """

    def __init__(self, world, number):
        self.world = world
        self.name = f'vm{number}'
        self.id = f'i-{number:08x}'
        self.port = free_port()
        self.registration_port = free_port()
        self.capacity = {'Cpu': 64000, 'MemMb': 256000, 'Gpu': 0}
        self.labels = ['a', f'r1-{number // 3}']
        self.state = 'ready'
        self.heartbeat_s = 1.1
        self.running = {}
        self.ended = []
        self.history = []
        self.ends = {}
        self.is_up = True
        self._suspended_at_s = None
        self._awake = asyncio.Event()
        self._awake.set()
        self._speed = 1.0
        self._writers = set()
        self._begin_life()

    def _begin_life(self):
        """Know and run nothing."""
        self._born = time.time_ns() // 1_000_000
        self._begun_s = now_s()
        self._stood_still_s = 0.0
        self.running = {}
        self.ended = []
        self._token = 0
        self._lease_ms = 0
        self._highest = {}
        self._worked_ms = 0.0
        self._worked_until_ms = 0
        self._end_number = 0
        self._sequence = 0
        self._changed = asyncio.Event()

    def crash(self):
        """End, and lose all that runs; connections are reset."""
        self.world.record('crash', executor=self.name, runs=len(self.running))
        for task, attempt in self.running:
            self._note('end', task, attempt, how='crashed')
            self.world.note_end(task, attempt, 'crashed')
        self.is_up = False
        self.running = {}
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self):
        """Start again under the same id."""
        self._begin_life()
        self._server = await serve_http(self._handle, self.port, self._writers)
        self.is_up = True
        self.world.record('up again', executor=self.name)

    def clock_ms(self):
        """Return the executor's steady clock."""
        end_s = self._suspended_at_s or now_s()
        return int((end_s - self._begun_s - self._stood_still_s) * 1000)

    def suspend(self):
        """Stand still with the machine."""
        self._suspended_at_s = now_s()
        self._awake.clear()

    def resume(self):
        """Go on."""
        self._stood_still_s += now_s() - self._suspended_at_s
        self._suspended_at_s = None
        self._awake.set()

    def set_speed(self, speed):
        """Let all tasks work at a share of their speed from now on."""
        self._read_work_ms()
        self._speed = speed
        self.world.record('speed', executor=self.name, speed=round(speed, 2))

    def _read_work_ms(self):
        """Return the time that a task would have worked since the start."""
        clock_ms = self.clock_ms()
        self._worked_ms += (clock_ms - self._worked_until_ms) * self._speed
        self._worked_until_ms = clock_ms
        return self._worked_ms

    async def start(self):
        """Listen, run tasks and send heartbeats."""
        self._server = await serve_http(self._handle, self.port, self._writers)
        self._tasks = [
            asyncio.ensure_future(self._work()),
            asyncio.ensure_future(self._beat()),
        ]

    def _note(self, what, task, attempt, **fields):
        self.history.append((now_s(), what, task, attempt))
        self.world.record(
            what, executor=self.name, task=task, attempt=attempt, **fields
        )

    async def _beat(self):
        while True:
            await self._awake.wait()
            if not self.is_up:
                await asyncio.sleep(0.02)
                continue
            self._sequence += 1
            document = {
                'Service': SERVICE,
                'Address': f'{HOST}:{self.port}',
                'Zone': 'zone-a',
                'Version': 'v1',
                'Slots': 8,
                'State': self.state,
                'ColdLeftMs': 0,
                'Capacity': self.capacity,
                'Labels': self.labels,
                'ClockMs': self.clock_ms(),
                'SeqNo': self._sequence,
                'born': self._born,
            }
            path = f'/-/Instances.Heartbeat/{self.id}'
            status, _ = await request(
                self.registration_port, 'POST', path, document, timeout_s=1
            )
            await asyncio.sleep(self.heartbeat_s if status == 200 else 0.2)

    async def _work(self):
        while True:
            await asyncio.sleep(0.02)
            await self._awake.wait()
            clock_ms, work_ms = self.clock_ms(), self._read_work_ms()
            for key, run in list(self.running.items()):
                if clock_ms > self._lease_ms:
                    self._end(key, 'lapsed')
                elif run['stop_ms'] and clock_ms >= run['stop_ms']:
                    self._end(key, 'stopped')
                elif run['gang']:
                    self._work_in_gang(key, run, work_ms)
                elif run['end_ms'] and work_ms >= run['end_ms']:
                    self._end(key, 'done')

    def _work_in_gang(self, key, run, work_ms):
        """Work only together with the other members."""
        gang = self.world.find_gang(*key)
        if gang['outcome']:
            self._end(key, gang['outcome'])
        elif len(gang['members']) < run['gang']:
            if work_ms - run['begun_ms'] > self.world.gang_wait_ms:
                self._end(key, 'alone')
        elif not run['end_ms']:
            run['begun_ms'] = work_ms
            run['end_ms'] = work_ms + run['needed_ms']
        elif work_ms >= run['end_ms']:
            gang['outcome'] = 'done'
            self._end(key, 'done')

    def _end(self, key, how):
        del self.running[key]
        self._end_number += 1
        self.ends[how] = self.ends.get(how, 0) + 1
        self.ended.append([self._end_number, *key, how, ''])
        self._note('end', *key, how=how)
        self.world.note_end(*key, how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, method, path, query, headers, body):
        await self._awake.wait()
        if headers.get('target-instance', self.id) != self.id:
            return 421, {}
        document = json.loads(body)
        token = document.get('FencingToken', 0)
        if token < self._token:
            return 409, {'ClockMs': self.clock_ms(), 'Reason': 'fence'}
        self._token = token
        if path == '/-/run-start':
            return self._start(document)
        if path == '/-/run-stop':
            return self._stop(document)
        if path == '/-/hold':
            return await self._hold(document)
        return 200, {'ClockMs': self.clock_ms()}

    def _extend(self, deadline_ms):
        latest_ms = self.clock_ms() + self.world.max_hold_ms
        self._lease_ms = max(self._lease_ms, min(deadline_ms, latest_ms))

    def _start(self, document):
        clock_ms = self.clock_ms()
        if document['DeadlineMs'] <= clock_ms:
            return 409, {'ClockMs': clock_ms, 'Reason': 'late'}
        self._extend(document['DeadlineMs'])
        task, attempt = document['Task'], document['Attempt']
        if (task, attempt) in self.running:
            return 200, {'ClockMs': clock_ms}
        if attempt <= self._highest.get(task, 0):
            return 409, {'ClockMs': clock_ms, 'Reason': 'old'}
        self._highest[task] = attempt
        needed_ms = self.world.find_work_ms(task, document['Spec'])
        work_ms = self._read_work_ms()
        gang_size = self.world.find_gang_size(task)
        if gang_size:
            self.world.find_gang(task, attempt)['members'].add(task)
        ends = needed_ms and not gang_size
        self.running[(task, attempt)] = {
            'begun_ms': work_ms,
            'end_ms': work_ms + needed_ms if ends else 0,
            'needed_ms': needed_ms,
            'gang': gang_size,
            'stop_ms': 0,
        }
        self._note('start', task, attempt)
        return 200, {'ClockMs': clock_ms}

    def _stop(self, document):
        task, attempt = document['Task'], document['Attempt']
        self._highest[task] = max(self._highest.get(task, 0), attempt)
        run = self.running.get((task, attempt))
        if run is not None and not run['stop_ms']:
            run['stop_ms'] = self.clock_ms() + 50
            self._note('stop', task, attempt)
        return 200, {'ClockMs': self.clock_ms()}

    async def _hold(self, document):
        seen = document['LastSeen']
        self.ended = [row for row in self.ended if row[0] > seen]
        self._extend(document.get('DeadlineMs', 0))
        deadline_ms = self.clock_ms() + min(document.get('WaitMs', 0), 2000)
        while not self.ended and self.clock_ms() < deadline_ms:
            left_s = (deadline_ms - self.clock_ms()) / 1000
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except (TimeoutError, asyncio.TimeoutError):
                pass
            await self._awake.wait()
        return 200, {
            'ClockMs': self.clock_ms(),
            'born': self._born,
            'Running': [
                [*key, '', self._percent(run), 1]
                for key, run in self.running.items()
            ],
            'EndedRuns': self.ended[:500],
        }

    def _percent(self, run):
        if not run['end_ms']:
            return 100
        done_ms = self._read_work_ms() - run['begun_ms']
        total_ms = run['end_ms'] - run['begun_ms']
        return min(int(100 * done_ms / max(total_ms, 1)), 99)


class World:
    """The deployment and what runs in it."""

    max_hold_ms = 6000
    gang_wait_ms = 3000

    def __init__(self, folder, entries, executors):
        self._gang_sizes = {}
        self._gangs = {}
        self.folder = pathlib.Path(folder)
        self.record = Record(pathlib.Path(os.environ['CASE']) / 'record.txt')
        self.store = Store()
        self.executors = [Executor(self, n) for n in range(executors)]
        self.entries = [
            {
                'front': free_port(),
                'ready': free_port(),
                'inner': free_port(),
                'metrics': free_port(),
            }
            for _ in range(entries)
        ]
        self.links = [Links(ports['inner']) for ports in self.entries]
        self.processes = {}
        self._machines_port = free_port()

    async def __aenter__(self):
        self.store.write(
            'op/config',
            {
                'Version': 3,
                'Routes': [
                    {
                        'Name': 'q0',
                        'Host': QUEUE_HOST,
                        'PathPrefix': PREFIX,
                        'Service': SERVICE,
                        'TimeoutMs': 3000,
                        'TargetLatencyMs': 1000,
                        'Priority': 0,
                        'MaxAttempts': 3,
                        'SlackFactor': 4.0,
                    }
                ],
                'Services': [{'Name': SERVICE, 'EnforcesCapacity': False}],
                'Limits': {'MaxBodyBytes': 262144, 'IdleTimeoutMs': 15000},
            },
        )
        await self.store.start()
        self._machines = await serve_http(self._list, self._machines_port)
        for links in self.links:
            await links.start()
        for executor in self.executors:
            await executor.start()
        for number in range(len(self.entries)):
            await self.start_entry(number)
        for number in range(len(self.executors)):
            await self.start_agent(number)
        return self

    async def __aexit__(self, *_):
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        self.record.close()

    async def _list(self, method, path, query, headers, body):
        return 200, {
            'Machines': [
                {
                    'Machine': executor.name,
                    'Pool': SERVICE,
                    'State': 'up' if executor.is_up else 'down',
                    'Zone': 'zone-a',
                    'Labels': executor.labels,
                    'Capacity': executor.capacity,
                    'Id': executor.id,
                }
                for executor in self.executors
            ],
            'NextToken': '',
        }

    def _settings(self, **fields):
        return {
            'data_centre': 'zone-a',
            'host': HOST,
            'store_address': f'{HOST}:{self.store.port}',
            'inventory_address': f'{HOST}:{self._machines_port}',
            'processor_share': 0.537,
            'processor_speed': 2,
            'seeds': [f'{HOST}:{links.port}' for links in self.links[:3]],
            'executor_lease_limit_ms': self.max_hold_ms,
            'grace_s': 6.0,
            'status_retention_s': 120.0,
            'remote_factor': 1.5,
            **fields,
        }

    async def start_entry(self, number):
        """Start an entry, also again."""
        ports = self.entries[number]
        await self._run(
            f'entry{number}',
            'workflow-entry',
            self._settings(
                node_id=f'front-{number}',
                caller_address=f'{HOST}:{ports["front"]}',
                ready_address=f'{HOST}:{ports["ready"]}',
                inner_address=f'{HOST}:{ports["inner"]}',
                inner_advertised_address=f'{HOST}:{self.links[number].port}',
                metrics_port=ports['metrics'],
            ),
        )

    async def start_agent(self, number):
        """Start an agent, also again."""
        executor = self.executors[number]
        await self._run(
            f'agent{number}',
            'workflow-agent',
            self._settings(
                node_id=executor.name,
                registration_address=f'{HOST}:{executor.registration_port}',
                executor_address=f'{HOST}:{executor.port}',
                service=SERVICE,
                metrics_port=free_port(),
            ),
        )

    async def _run(self, name, program, settings):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        log = open(self.folder / f'{name}.log', 'ab')
        self.processes[name] = await asyncio.create_subprocess_exec(
            'python3',
            '-m',
            'borageshelf.main',
            program,
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'BORAGESHELF_NODE_FILE': str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record('process started', name=name)

    async def wait_until_ready(self, limit_s=25):
        """Wait until all entries are ready and all executors were told."""
        deadline_s = now_s() + limit_s
        while now_s() < deadline_s:
            answers = [
                await request(ports['ready'], 'GET', '/-/ready', timeout_s=1)
                for ports in self.entries
            ]
            if all(status == 200 for status, _ in answers):
                # Agents find the owner within about a second.
                await asyncio.sleep(3)
                return True
            await asyncio.sleep(0.2)
        return False

    def find_work_ms(self, task, spec):
        """Return how long a task works; 0 if it lasts."""
        return int(spec)

    def find_gang_size(self, task):
        """Return how many members the gang of a task has; 0 for no gang."""
        job_id, _, step, _ = task.split('.')
        return self._gang_sizes.get((job_id, int(step)), 0)

    def find_gang(self, task, attempt):
        """Return the members that run in one attempt of a gang."""
        key = (task.rpartition('.')[0], attempt)
        return self._gangs.setdefault(key, {'members': set(), 'outcome': ''})

    def note_end(self, task, attempt, how):
        """Let the other members of a gang end with one that ends."""
        if self.find_gang_size(task):
            gang = self.find_gang(task, attempt)
            gang['outcome'] = gang['outcome'] or 'broken'
            gang['members'].discard(task)

    def find_longest_gap(self, task, from_s, until_s):
        """Return the longest time for which a task has no run."""
        marks = sorted(
            (at_s, 1 if what == 'start' else -1)
            for executor in self.executors
            for at_s, what, name, _ in executor.history
            if name == task and what in ('start', 'end')
        )
        runs, free_since_s, longest_s = 0, from_s, 0.0
        for at_s, change in [*marks, (until_s, 1)]:
            if runs == 0 and change == 1:
                longest_s = max(longest_s, at_s - max(free_since_s, from_s))
            runs += change
            if runs == 0:
                free_since_s = at_s
        return longest_s

    def find_owner(self):
        """Return the number of the entry that owns the workflows."""
        value = base64.b64decode(
            self.store.items['borageshelf/owner']['Value']
        )
        return next(
            number
            for number in range(len(self.entries))
            if f'front-{number}'.encode() in value
        )

    async def call(
        self,
        entry,
        method,
        path,
        document=None,
        timeout_s=3,
        deadline_ms=None,
    ):
        """Send a client's request to an entry and record both sides."""
        self.record('request', entry=entry, method=method, path=path)
        status, answer = await request(
            self.entries[entry]['front'],
            method,
            PREFIX + path,
            document,
            (
                ('Host', QUEUE_HOST),
                ('Deadline-Ms', deadline_ms or int(timeout_s * 1000)),
            ),
            timeout_s,
        )
        self.record(
            'answer',
            entry=entry,
            method=method,
            path=path,
            status=status,
            body=json.dumps(answer)[:80].replace(' ', ''),
        )
        return status, answer

    async def submit(self, job_id, document, tries=5):
        """Hand a job in as a client does, with retries at other entries."""
        for step, phase in enumerate(document['Phases']):
            if phase.get('Gang'):
                self._gang_sizes[(job_id, step)] = phase['Count']
        for number in range(tries):
            status, _ = await self.call(
                number % len(self.entries), 'POST', job_id, document
            )
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.5)
        return False


def run_case(main):
    """Run a case; its coroutine returns the broken rules as texts."""
    import tempfile

    is_troubled = os.environ.get('TROUBLE', '1') != '0'

    async def bounded():
        with tempfile.TemporaryDirectory() as folder:
            return await asyncio.wait_for(main(folder, is_troubled), 110)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        print('could not run:', repr(error))
        sys.exit(2)
    if broken is None:
        print('could not run: the deployment did not become ready')
        sys.exit(2)
    for text in broken:
        print('broken:', text)
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)
