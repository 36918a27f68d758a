"""A job runs whose cancelling was acknowledged (see claim.txt)."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world3

JOB_ID = '00000000000000c1'
CUT_S = 2.0
# The client leaves this long after it has begun to send.
LEAVES_S = 0.9
CANCEL_S = 3.0
PLAY_S = 14.0


def make_job():
    """Two steps, each of four tasks of 3 s."""
    step = {'Count': 4, 'Cpu': 960, 'MemMb': 900, 'EstimateMs': 3000}
    return {'Spec': '3000', 'Phases': [step, {**step, 'After': [0]}]}


async def main(folder, is_troubled):
    """Play the case; return what was broken, or None."""
    async with world3.World(folder, 2, 3) as world:
        if not await world.wait_until_ready():
            return None
        owner = world.find_owner()
        other = 1 - owner
        world.record('owner', entry=owner)
        if is_troubled:
            world.record('cut begins', between=f'front-{other},front-{owner}')
            world.links[owner].hold(f'front-{other}')
        await asyncio.sleep(0.05)
        begun_s = world3.now_s()
        # The client would wait for 3 s, but leaves before.
        status, _ = await world.call(
            other,
            'POST',
            JOB_ID,
            make_job(),
            timeout_s=LEAVES_S,
            deadline_ms=3000,
        )
        print('answer to the submission:', status or 'none, the client left')
        was_accepted = 200 <= status < 300
        await asyncio.sleep(0.1)
        status, _ = await world.call(owner, 'DELETE', JOB_ID)
        acknowledged_s = world3.now_s()
        print('answer to the cancelling:', status)
        if not (status == 410 or 200 <= status < 300):
            return None
        await asyncio.sleep(max(begun_s + CUT_S - world3.now_s(), 0))
        world.links[owner].release()
        if is_troubled:
            world.record('cut ends')
        await asyncio.sleep(PLAY_S)
        late = [
            (round(at_s - acknowledged_s, 1), executor.name, task)
            for executor in world.executors
            for at_s, what, task, _ in executor.history
            if what == 'start' and at_s > acknowledged_s + CANCEL_S
        ]
        begun = sum(
            what == 'start'
            for executor in world.executors
            for _, what, _, _ in executor.history
        )
        status, answer = await world.call(owner, 'GET', JOB_ID)
        print(
            f'accepted before the cancelling: {was_accepted}; {begun} starts,'
            f' {len(late)} of them more than {CANCEL_S} s after the'
            f' acknowledgement; state in the end: {status} {answer}'
        )
        if late:
            return [
                f'UNASKED: {len(late)} tasks of the job were started later'
                f' than cancel_ms after its cancelling was acknowledged: {late}'
            ]
        return []


world3.run_case(main)
