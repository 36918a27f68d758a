"""The owner's machine is lost for good while the configuration changes."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world  # noqa: E402

# Site `ocre-andino`: big_config, 350 routes; config_storm, a change each
# 0.33 s for 4 s.
ROUTES = 350
STORM_S = 4.0
GAP_S = 0.33
# The machine is lost right after the first change of the storm was
# acknowledged.
LOST_AFTER_S = 0.004
FINISH_S = 14
# Rule LOST: 3 s without a run, the 3 s and the 4 s before them calm; for a
# task that lasts from 6 s after its last run.
CALM_MS = 7_000
WAIT_MS = 9_000
WATCH = {
    'Count': 2,
    'Cpu': 4_000,
    'MemMb': 4_000,
    'EstimateMs': 1_000,
    'LongRunning': True,
}
BLEND = {
    'Count': 2,
    'Cpu': 4_000,
    'MemMb': 4_000,
    'EstimateMs': 4_400,
    'work_ms': 4_400,
}


def make_more_route(number):
    """Return a route of another team, with names of a usual length."""
    team = f'team-{number:03d}'
    return {
        **world.make_route(f'{team}-recurring-reports'),
        'Host': f'{team}.scheduling.sierra-centro.ocre-andino.example',
        'PathPrefix': f'/{team}/recurring-reports/',
    }


async def storm(here, routes):
    """Change the configuration again and again."""
    version = 20
    end_ms = here.elapsed_ms() + STORM_S * 1000
    while here.elapsed_ms() < end_ms:
        version += 2
        routes[-1]['TimeoutMs'] += 10
        here.publish(version, routes)
        await asyncio.sleep(GAP_S)


async def play():
    """Lose the owner's machine in a storm; the other entry has to take over."""
    here = world.World(
        FOLDER, labels=[['a', f'r1-{i // 3}'] for i in range(4)]
    )
    try:
        await here.add_links()
        routes = [world.make_route('kiln')]
        await here.begin(routes)
        watch = await here.submit('/kiln/', [WATCH])
        blend = await here.submit('/kiln/', [BLEND, {**BLEND, 'After': [0]}])
        await asyncio.sleep(3)
        # The first change of the storm brings the many routes.
        routes += [make_more_route(i) for i in range(ROUTES)]
        here.spawn(storm(here, routes))
        await asyncio.sleep(LOST_AFTER_S)
        if here.trouble:
            owner = here.find_owner()
            here.note_trouble('machine lost for good', ip=owner)
            here.links[owner].go_dark()
            here.signal(owner, 9)
        await asyncio.sleep(0.5)
        broken = ''
        lost_ms = here.elapsed_ms()
        while here.elapsed_ms() < lost_ms + 60_000 and not broken:
            await asyncio.sleep(1)
            state = await here.ask('/kiln/', blend)
            if state == 'completed' and here.elapsed_ms() > lost_ms + 20_000:
                break
            broken = judge(here, watch)
        here.note('JUDGED', broken=broken or 'no', blend=state)
        if broken:
            answer = await probe(here)
            here.note('new job at the entry that is left', answer=answer)
        return broken
    finally:
        await here.finish()


async def probe(here):
    """Return what the sound entry answers to a new job."""
    answer = await world.call(
        here.pick_entry(),
        world.FRONT,
        'POST',
        '/kiln/00000000000000aa',
        {'Spec': 'x', 'Phases': [{'Count': 1, 'Cpu': 100, 'MemMb': 10}]},
        {'Deadline-Ms': '3000'},
        timeout=4.0,
    )
    return answer


def judge(here, watch):
    """Return what was broken: a task that lasts is without a run too long."""
    now_ms = here.elapsed_ms()
    if here.last_trouble_ms is None:
        calm = True
    else:
        calm = now_ms - here.last_trouble_ms >= CALM_MS + world.CONTACT_MS
    running = {
        run.task for each in here.executors for run in each.runs.values()
    }
    for index in range(WATCH['Count']):
        task = f'{watch}.0.0.{index}'
        if task in running or not calm:
            continue
        ends = [
            at_ms
            for at_ms, what, fields in here.events
            if fields.get('task') == task and what != 'start'
        ]
        if ends and now_ms - max(ends) >= WAIT_MS:
            return (
                f'LOST: the lasting task {task} has had no run for '
                f'{now_ms - max(ends)} ms, with room on all executors'
            )
    return ''


world.run_case(play)
