"""Runs seeds of the soak: ``python -m tests.soak --seeds 50``."""

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
from tests.soak import leavers
from tests.soak import runner
from tests.soak import site_plans

SEED_LIMIT: Final = 5_000_000
# One in so many of the seeds that nobody names has the shape of a site.
SITE_INTERVAL: Final = 3


def main() -> int:
    """Run the seeds; return 1 if any run violated a guarantee."""
    parser = argparse.ArgumentParser(prog='python -m tests.soak')
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--first', type=int, help='the first seed')
    parser.add_argument('--load-s', type=int, default=0, help='on a site')
    parser.add_argument('--parallel', type=int, default=2)
    parser.add_argument('--without', choices=launcher.SAFEGUARDS, default='-')
    parser.add_argument('--folder', default='soak-logs')
    options = parser.parse_args()
    loop = http_server.install_reactor()
    return loop.run_until_complete(
        run_seeds(
            draw_seeds(options.first, options.seeds),
            options.load_s * 1_000,
            options.parallel,
            options.without,
            pathlib.Path(options.folder),
        )
    )


def draw_seeds(first: int | None, count: int) -> list[int]:
    """Return seeds from the first one on, or random ones of both shapes."""
    if first is not None:
        return list(range(first, first + count))
    small = random.randrange(
        leavers.FIRST_SMALL_SEED + count, site_plans.FIRST_SEED
    )
    site = random.randrange(leavers.FIRST_SITE_SEED, SEED_LIMIT)
    return [
        site + number if number % SITE_INTERVAL == 0 else small - number
        for number in range(count)
    ]


async def run_seeds(
    seeds: list[int],
    load_ms: int,
    parallel: int,
    without: str,
    folder: pathlib.Path,
) -> int:
    """Run seeds in parallel and return the exit status.

    The logs of runs without a violation are removed.

    :param load_ms: time for which there is load on a site; 0 for the default
    """
    failed_count = 0
    limit = asyncio.Semaphore(parallel)

    async def run_seed(seed: int) -> None:
        nonlocal failed_count
        async with limit:
            seed_folder = folder / str(seed)
            shutil.rmtree(seed_folder, ignore_errors=True)
            seed_folder.mkdir(parents=True)
            plan = site_plans.make_plan(seed, load_ms)
            try:
                violations = await runner.run_plan(plan, seed_folder, without)
            except (RuntimeError, OSError) as error:
                # The others are played all the same.
                violations = [f'run: {error!r}']
        if violations:
            failed_count += 1
            print(
                f'seed {seed}: {len(violations)} violations, '
                f'logs in {seed_folder}'
            )
            for line in violations[:6]:
                print(f'  {line}')
        else:
            print(f'seed {seed}: ok')
            with contextlib.suppress(OSError):
                shutil.rmtree(seed_folder)
        sys.stdout.flush()

    await asyncio.gather(*(run_seed(seed) for seed in seeds))
    print(f'{len(seeds)} seeds, {failed_count} with violations')
    return 1 if failed_count else 0


if __name__ == '__main__':
    sys.exit(main())
