"""A gang with three members on an executor that fails all that it runs."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import world  # noqa: E402

# Site `ocre-andino`: srv_grey how errors, share 0.085 (one of twelve), x 1.0
# (all that it starts), for_s 6.5.
EXECUTORS = 12
RACK = 3
GREY_S = 6.5
FAILS_AT_MS = 1_000
MAX_ATTEMPTS = 3
STEP = {
    'Count': 9,
    'Cpu': 4_000,
    'MemMb': 4_000,
    'EstimateMs': 4_000,
    'Gang': True,
    'RackLocal': True,
    'work_ms': 4_000,
}


class GreyExecutor(world.Executor):
    """An executor that may fail all that it runs, at good health."""

    is_grey = False

    def tick(self):
        """Let the runs fail that have worked for a while."""
        super().tick()
        if not self.is_grey:
            return
        for run in list(self.runs.values()):
            if run.works_ms and self.find_work_ms(run) >= FAILS_AT_MS:
                self.end(run, 'failed')


async def play():
    """Submit gangs; one executor fails its runs for a while."""
    here = world.World(
        FOLDER, labels=[['a', f'r1-{i // RACK}'] for i in range(EXECUTORS)]
    )
    here.executors = [
        GreyExecutor(here, number, each.labels)
        for number, each in enumerate(here.executors)
    ]
    try:
        await here.begin([world.make_route('train', MAX_ATTEMPTS)])
        job = await here.submit('/train/', [STEP])
        await asyncio.sleep(0.3)
        if here.trouble:
            grey = max(here.executors, key=lambda each: len(each.runs))
            here.note_trouble(
                'fails its runs', executor=grey.id, runs=len(grey.runs)
            )
            grey.is_grey = True
            here.spawn(recover(here, grey))
        state = None
        deadline_ms = here.elapsed_ms() + 60_000
        while here.elapsed_ms() < deadline_ms:
            await asyncio.sleep(0.5)
            state = await here.ask('/train/', job)
            if state in ('completed', 'failed', 'cancelled'):
                break
        return judge(here, state)
    finally:
        await here.finish()


async def recover(here, grey):
    """End the fault."""
    await asyncio.sleep(GREY_S)
    grey.is_grey = False
    here.note_trouble('fails no more', executor=grey.id)


def judge(here, state):
    """Return what was broken: failed before MaxAttempts runs have failed."""
    attempts = {}
    for _, what, fields in here.events:
        if what == 'failed':
            attempts.setdefault(fields['task'], set()).add(fields['attempt'])
    of_gang = set().union(*attempts.values()) if attempts else set()
    most = max(map(len, attempts.values()), default=0)
    here.note('JUDGED', state=state, runs_failed=sorted(of_gang), most=most)
    if state == 'failed' and len(of_gang) < MAX_ATTEMPTS:
        return (
            f'LOST: the job is shown as failed after {len(of_gang)} failed '
            f'run(s) of its gang, MaxAttempts is {MAX_ATTEMPTS}'
        )
    return ''


world.run_case(play)
