"""Plays seeds of the soak: ``python -m tests.soak --seeds 50``."""

import argparse
import asyncio
import contextlib
import pathlib
import random
import shutil
import sys
from typing import Final

from standins import http_server
from tests.soak import launcher
from tests.soak import plans
from tests.soak import runner

SEED_LIMIT: Final = 1_000_000


def main() -> int:
    """Play the seeds; return 1 if any of them broke a promise."""
    parser = argparse.ArgumentParser(prog='python -m tests.soak')
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--first', type=int, help='the first seed')
    parser.add_argument('--parallel', type=int, default=2)
    parser.add_argument('--without', choices=launcher.SAFEGUARDS, default='-')
    parser.add_argument('--folder', default='soak-logs')
    options = parser.parse_args()
    first = options.first
    if first is None:
        first = random.randrange(SEED_LIMIT)
    loop = http_server.install_reactor()
    return loop.run_until_complete(
        play_all(
            list(range(first, first + options.seeds)),
            options.parallel,
            options.without,
            pathlib.Path(options.folder),
        )
    )


async def play_all(
    seeds: list[int], parallel: int, without: str, folder: pathlib.Path
) -> int:
    """Play seeds side by side; logs of those without a finding are removed."""
    failed = 0
    bound = asyncio.Semaphore(parallel)

    async def play(seed: int) -> None:
        nonlocal failed
        async with bound:
            own = folder / str(seed)
            shutil.rmtree(own, ignore_errors=True)
            own.mkdir(parents=True)
            found = await runner.play(plans.make_plan(seed), own, without)
        if found:
            failed += 1
            print(f'seed {seed}: {len(found)} broken, logs in {own}')
            for line in found[:6]:
                print(f'  {line}')
        else:
            print(f'seed {seed}: ok')
            with contextlib.suppress(OSError):
                shutil.rmtree(own)
        sys.stdout.flush()

    await asyncio.gather(*(play(seed) for seed in seeds))
    print(f'{len(seeds)} seeds, {failed} with findings')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
