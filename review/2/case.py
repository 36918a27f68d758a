"""A task runs twice at a time: its machine was suspended, then cut off."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

ID = 'be8bf81ef09dde38'
PATH = f'{standin.QUEUE}{ID}'
SUSPEND_S = 4.0
CUT_S = 5.5
JOB = {
    'Spec': json.dumps({'ms': [5_500]}),
    'Phases': [{'Count': 3, 'Cpu': 7000, 'MemMb': 13000, 'EstimateMs': 5_500}],
}


def find_double_runs(history):
    """Return the tasks of which two runs existed at the same time."""
    running = {}
    found = []
    for at_ms, task, attempt, what, executor in history:
        runs = running.setdefault(task, {})
        if what != 'start':
            runs.pop(attempt, None)
            continue
        found += [
            f'{task}: run {attempt} starts on {executor} while run {other}'
            f' runs on {place}'
            for other, place in runs.items()
        ]
        runs[attempt] = executor
    return found


async def run(deployment, record, has_trouble):
    """Suspend the machine of a run, and cut it off as it goes on."""
    await deployment.start(entries=2, executors=3)
    client = deployment.client(0)
    if not await deployment.submit(PATH, JOB):
        return 2
    await asyncio.sleep(2)
    if has_trouble:
        deployment.suspend(0)
        await asyncio.sleep(SUSPEND_S - 0.5)
        deployment.cut_agent(0)
        record.write('agent-0 is cut off')
        await asyncio.sleep(0.5)
        deployment.resume(0)
        await asyncio.sleep(CUT_S - 0.5)
        deployment.heal_agent(0)
        record.write('the cut has ended')
    state = ''
    for _ in range(30):
        await asyncio.sleep(1)
        client.close()
        _, answer = await client.send('GET', PATH)
        state = answer.get('State')
        if state in ('completed', 'failed'):
            break
    history = deployment.history()
    double = find_double_runs(history)
    for line in double:
        record.write(line)
    done = [task for _, task, _, what, _ in history if what == 'done']
    record.write(
        f'shown as {state}; {len(done)} runs of {len(set(done))} tasks'
        f' ended done; {len(double)} times two runs of a task at once'
    )
    return int(bool(double))


standin.main(FOLDER, run)
