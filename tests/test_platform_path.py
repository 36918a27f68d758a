"""End-to-end tests over the platform's interfaces with real processes."""

import asyncio
import collections
import signal
import time

import aiohttp
import pytest

from bench import local_fleet
from borageshelf.model import resources
from borageshelf.model import workflows
from borageshelf.workflows import journal
from borageshelf.workflows import records
from tests import platform_support

ID = '0123456789abcdef'
# The platform counts a request as lost if its connection ends without an
# answer after this time.
LOSS_SLACK_S = 0.2
ONE_STEP = {
    'Spec': '300',
    'Phases': [{'Count': 1, 'Cpu': 1000, 'MemMb': 500, 'EstimateMs': 300}],
}
TWO_STEPS = {
    'Spec': '300',
    'Phases': [
        {'Count': 4, 'Cpu': 1000, 'MemMb': 500, 'EstimateMs': 300},
        {
            'Count': 2,
            'Cpu': 1000,
            'MemMb': 500,
            'EstimateMs': 300,
            'After': [0],
        },
    ],
}


def check_runs_once(deployment: platform_support.Deployment) -> None:
    """Check that no task ran twice at a time or again after its end."""
    running: set[str] = set()
    done: set[str] = set()
    for event in deployment.list_history():
        if event.what == 'start':
            assert event.task not in running, f'{event.task} runs twice'
            assert event.task not in done, f'{event.task} starts again'
            running.add(event.task)
        else:
            running.discard(event.task)
            if event.what == 'done':
                done.add(event.task)


def test_workflow_is_accepted_run_and_shown() -> None:
    """Guards against a break anywhere between submission and final state.

    A task that is not run, runs twice or starts before the tasks that it
    depends on would show here.
    """

    async def check() -> None:
        async with platform_support.run_deployment() as deployment:
            await deployment.submit(ID, TWO_STEPS)
            await deployment.wait_for_state(ID, 'completed')
            check_runs_once(deployment)
            counts = collections.Counter(
                event.what for event in deployment.list_history()
            )
            assert counts == {'start': 6, 'done': 6}
            first_step_ends_ms = [
                event.at_ms
                for event in deployment.list_history()
                if event.what == 'done' and event.task.startswith(f'{ID}.0.0')
            ]
            second_step_starts_ms = [
                event.at_ms
                for event in deployment.list_history()
                if event.what == 'start' and event.task.startswith(f'{ID}.0.1')
            ]
            assert max(first_step_ends_ms) <= min(second_step_starts_ms)
            for entry in deployment.entries:
                status, answer = await deployment.request(
                    entry, 'GET', '/short/'
                )
                assert (status, answer) == (200, {'Pending': 0})
                status, _ = await deployment.request(entry, 'GET', '/other/')
                assert status == 404
                status, _ = await deployment.request(
                    entry, 'GET', '/short/feedfeedfeedfeed'
                )
                assert status == 410

    platform_support.run(check())


def test_bad_submissions_are_refused_clearly() -> None:
    """Guards against malformed bodies that crash an entry."""

    async def check() -> None:
        async with platform_support.run_deployment(1, 1) as deployment:
            entry = deployment.entries[0]
            cycle = {'Spec': '1', 'Phases': [{'Count': 1, 'After': [0]}]}
            documents: list[object] = [{}, [], 'x', cycle, {'Phases': []}]
            for document in documents:
                status, answer = await deployment.request(
                    entry, 'POST', f'/short/{ID}', document
                )
                assert status == 400, document
                assert answer['Error']
            status, _ = await deployment.request(
                entry, 'POST', '/short/not-an-id', TWO_STEPS
            )
            assert status == 404
            assert await deployment.is_ready(entry)

    platform_support.run(check())


def test_killed_owner_loses_nothing() -> None:
    """Guards against an accepted workflow that is lost with its owner."""

    async def check() -> None:
        async with platform_support.run_deployment() as deployment:
            long_workflow = {**TWO_STEPS, 'Spec': '1500'}
            await deployment.submit(ID, long_workflow)
            await asyncio.sleep(0.5)
            owner = await deployment.find_owner()
            await owner.end()
            await deployment.wait_for_state(ID, 'completed')
            check_runs_once(deployment)
            counts = collections.Counter(
                event.what for event in deployment.list_history()
            )
            # The runs continued under their lease while the owner changed.
            assert counts == {'start': 6, 'done': 6}

    platform_support.run(check())


def test_planned_stop_of_the_owner_refuses_nothing() -> None:
    """Guards against requests that fail during a planned stop."""

    async def check() -> None:
        async with platform_support.run_deployment() as deployment:
            await deployment.submit('f' * 16, TWO_STEPS)
            owner = await deployment.find_owner()
            stopping = asyncio.ensure_future(owner.end(signal.SIGTERM))
            answers = []
            for number in range(10):
                status, _ = await deployment.request(
                    owner, 'POST', f'/short/{number:016x}', TWO_STEPS
                )
                answers.append(status)
                await asyncio.sleep(0.02)
            assert answers == [200] * 10
            assert await stopping == 0
            for number in range(10):
                await deployment.wait_for_state(f'{number:016x}', 'completed')
            check_runs_once(deployment)

    platform_support.run(check())


@pytest.mark.parametrize('pause_s', [0.1, 0.55])
def test_leaving_entry_listens_while_requests_arrive(pause_s: float) -> None:
    """Guards against listeners that close before the balancer has noticed.

    They closed after half of the grace period of 2 s, whatever still arrived,
    and then 0.3 s after the last answer, where a busy client paused longer.
    """

    async def check() -> None:
        async with platform_support.run_deployment() as deployment:
            await deployment.submit('f' * 16, TWO_STEPS)
            owner = await deployment.find_owner()
            stopping = asyncio.ensure_future(owner.end(signal.SIGTERM))
            answers: list[int] = []
            begun_s = time.monotonic()
            while time.monotonic() - begun_s < 1.3:
                status, _ = await deployment.request(
                    owner, 'POST', f'/short/{len(answers):016x}', TWO_STEPS
                )
                answers.append(status)
                await asyncio.sleep(pause_s)
            assert answers == [200] * len(answers)
            assert await stopping == 0

    platform_support.run(check())


def test_leaving_entry_cuts_off_no_request() -> None:
    """Guards against connections that end without an answer at a drain.

    Found by a hunt (further/, silent-connections-and-slow-nodes.toml, seed
    807281864468): a request that arrived late in the grace period, while no
    owner was known, was cut off. Here no other entry can take over.
    """

    async def check() -> None:
        async with platform_support.run_deployment(1, 1) as deployment:
            entry = deployment.entries[0]
            stopping = asyncio.ensure_future(entry.end(signal.SIGTERM))
            sent: list[asyncio.Task[str]] = []
            while not stopping.done():
                path = f'/short/{len(sent):016x}'
                sent.append(asyncio.ensure_future(post(entry, path)))
                await asyncio.sleep(0.03)
            assert await stopping == 0
            results = collections.Counter(await asyncio.gather(*sent))
            assert not results['cut off'], results
            assert results['answered'] > 10

    async def post(entry: platform_support.Node, path: str) -> str:
        url = f'http://{entry.settings["caller_address"]}{path}'
        headers = {
            'Host': platform_support.HOST_HEADER,
            'Deadline-Ms': '3000',
            'Connection': 'close',
        }
        begun_s = time.monotonic()
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as http:
            try:
                async with http.post(
                    url, json=ONE_STEP, headers=headers
                ) as answer:
                    await answer.read()
            except aiohttp.ClientError:
                # A connection that the process has not accepted before it
                # closes its listener is reset at once.
                was_taken = time.monotonic() - begun_s > LOSS_SLACK_S
                return 'cut off' if was_taken else 'refused'
        return 'answered'

    platform_support.run(check())


def test_unreadable_records_stop_nobody() -> None:
    """Guards against one bad value in the store that takes every owner down.

    Loading failed as a whole and was tried again without end.
    """

    async def check() -> None:
        bad_ids = ('a' * 16, 'b' * 16, 'c' * 16)
        async with platform_support.run_deployment(2, 1) as deployment:
            spec = records.make_spec_key(bad_ids[2])
            state = records.StateRecord(
                records.Phase.ACTIVE,
                tasks=(records.TaskRecord(7, False, 1, 0, '', ()),),
            )
            good = workflows.Workflow(
                bad_ids[2],
                '',
                (workflows.Step(1, resources.Resources(1, 1), 100),),
            )
            terms = records.Terms('short', 'pigment', 0, 1, 1.0, 0, 0)
            for key, value in {
                records.make_state_key(bad_ids[0]): b'\xc1 no msgpack',
                records.make_spec_key(bad_ids[1]): b'',
                records.make_state_key(bad_ids[1]): journal.encode(
                    records.StateRecord()
                ),
                records.make_state_key(bad_ids[2]): journal.encode(state),
                spec: journal.encode(records.SpecRecord(good, terms)),
            }.items():
                await deployment.store.put(key, value, 0)
            owner = await deployment.find_owner()
            await owner.end()
            other = next(e for e in deployment.entries if e is not owner)
            await deployment.submit(ID, TWO_STEPS)
            await deployment.wait_for_state(ID, 'completed')
            shown = []
            for workflow_id in bad_ids:
                path = f'/short/{workflow_id}'
                status, _ = await deployment.request(
                    other, 'POST', path, TWO_STEPS
                )
                # Nobody knows what has become of it.
                assert status == 504
                shown.append(await deployment.request(other, 'GET', path))
            assert shown[0][0] == 504
            # The last committed states are still true.
            assert shown[1:] == [
                (200, {'State': 'queued'}),
                (200, {'State': 'running'}),
            ]

    platform_support.run(check())


def test_small_owner_hands_over_to_a_larger_entry() -> None:
    """Guards against an owner with too little processor time for its fleet.

    With 160 targets an entry with half a core could become the owner beside
    others with two, and would start everything late.
    """

    async def check() -> None:
        shares = (0.01, 1.0)
        async with platform_support.run_deployment(2, 2, shares) as deployment:
            _, large = deployment.entries
            submitted = 0
            begun_s = time.monotonic()
            while time.monotonic() - begun_s < 4:
                status, _ = await deployment.request(
                    deployment.entries[submitted % 2],
                    'POST',
                    f'/short/{submitted:016x}',
                    TWO_STEPS,
                )
                assert status == 200
                submitted += 1
                await asyncio.sleep(0.2)
            assert await deployment.find_owner() is large
            for number in range(submitted):
                await deployment.wait_for_state(f'{number:016x}', 'completed')
            check_runs_once(deployment)
            # The small entry is still good enough if there is no other.
            await large.end()
            await deployment.submit('f' * 16, TWO_STEPS)
            await deployment.wait_for_state('f' * 16, 'completed')

    platform_support.run(check())


def test_restarted_agent_adopts_its_runs() -> None:
    """Guards against runs that are lost with an agent's process."""

    async def check() -> None:
        async with platform_support.run_deployment(1, 1) as deployment:
            long_workflow = {**TWO_STEPS, 'Spec': '2500'}
            await deployment.submit(ID, long_workflow)
            await asyncio.sleep(0.5)
            await deployment.agents[0].end()
            await deployment.agents[0].start()
            await deployment.wait_for_state(ID, 'completed')
            counts = collections.Counter(
                event.what for event in deployment.list_history()
            )
            assert counts == {'start': 6, 'done': 6}

    platform_support.run(check())


def test_lost_answer_to_a_start_runs_once() -> None:
    """Guards against a second run if the answer to a start is lost."""

    async def check() -> None:
        async with platform_support.run_deployment(1, 1) as deployment:
            deployment.executors[0].faults.lost_answers = 3
            await deployment.submit(ID, TWO_STEPS)
            await deployment.wait_for_state(ID, 'completed')
            check_runs_once(deployment)

    platform_support.run(check())


def test_workflow_refused_in_a_store_outage_never_starts() -> None:
    """Guards against accepting a workflow that is not stored."""

    async def check() -> None:
        async with platform_support.run_deployment(1, 1) as deployment:
            await deployment.submit('f' * 16, TWO_STEPS)
            deployment.store_handlers.is_refusing = True
            status, _ = await deployment.request(
                deployment.entries[0], 'POST', f'/short/{ID}', TWO_STEPS
            )
            assert status == 503
            await asyncio.sleep(1)
            deployment.store_handlers.is_refusing = False
            await deployment.wait_for_state('f' * 16, 'completed')

            async def is_unknown() -> bool:
                status, _ = await deployment.request(
                    deployment.entries[0], 'GET', f'/short/{ID}'
                )
                return status == 410

            await local_fleet.wait_until(is_unknown, 'the refused workflow')
            started = {event.task[:16] for event in deployment.list_history()}
            assert started == {'f' * 16}

    platform_support.run(check())


def test_reload_of_a_malformed_file_keeps_the_settings() -> None:
    """Guards against a truncated settings file that is put in force."""

    async def check() -> None:
        async with platform_support.run_deployment(1, 1) as deployment:
            entry = deployment.entries[0]
            entry.file.write_text('{"node_id": "entr')
            assert entry.process is not None
            entry.process.send_signal(signal.SIGHUP)

            async def is_logged() -> bool:
                return any(
                    line['event'] == 'settings not reloaded'
                    for line in entry.read_log()
                )

            await local_fleet.wait_until(is_logged, 'the log line')
            await deployment.submit(ID, TWO_STEPS)
            await deployment.wait_for_state(ID, 'completed')

    platform_support.run(check())


def test_paused_owner_does_not_call_its_agents_silent() -> None:
    """Guards against an owner that takes its own pause for their silence.

    Their reports wait in its sockets. The pause is shorter than the lease of
    the owner's key, so nobody takes over.
    """

    async def check() -> None:
        async with platform_support.run_deployment(1, 4) as deployment:
            await deployment.submit(ID, TWO_STEPS)
            await deployment.wait_for_state(ID, 'completed')
            owner = deployment.entries[0]
            assert owner.process is not None
            for _ in range(3):
                owner.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(1.9)
                owner.process.send_signal(signal.SIGCONT)
                await asyncio.sleep(1.2)
            silent = [
                line
                for line in owner.read_log()
                if line['event'] == 'agent silent'
            ]
            assert not silent

    platform_support.run(check())
