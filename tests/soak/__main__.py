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
from tests.soak import plans
from tests.soak import runner

SEED_LIMIT: Final = 3_000_000


def main() -> int:
    """Run the seeds; return 1 if any run violated a guarantee."""
    parser = argparse.ArgumentParser(prog='python -m tests.soak')
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--first', type=int, help='the first seed')
    parser.add_argument('--parallel', type=int, default=2)
    parser.add_argument('--without', choices=launcher.SAFEGUARDS, default='-')
    parser.add_argument('--folder', default='soak-logs')
    options = parser.parse_args()
    first = options.first
    if first is None:
        first = random.randrange(plans.FIRST_SEED_WITH_SUSPENSIONS, SEED_LIMIT)
    loop = http_server.install_reactor()
    return loop.run_until_complete(
        run_seeds(
            list(range(first, first + options.seeds)),
            options.parallel,
            options.without,
            pathlib.Path(options.folder),
        )
    )


async def run_seeds(
    seeds: list[int], parallel: int, without: str, folder: pathlib.Path
) -> int:
    """Run seeds in parallel and return the exit status.

    The logs of runs without a violation are removed.
    """
    failed_count = 0
    limit = asyncio.Semaphore(parallel)

    async def run_seed(seed: int) -> None:
        nonlocal failed_count
        async with limit:
            seed_folder = folder / str(seed)
            shutil.rmtree(seed_folder, ignore_errors=True)
            seed_folder.mkdir(parents=True)
            violations = await runner.run_plan(
                plans.make_plan(seed), seed_folder, without
            )
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
