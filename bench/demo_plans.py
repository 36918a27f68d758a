"""The two deployments of the demo, scaled down to one machine."""

import dataclasses
import json
import pathlib
import sys
from typing import Final

from bench import local_fleet

EXAMPLES: Final = local_fleet.ROOT / 'examples'


@dataclasses.dataclass(frozen=True)
class JobLoad:
    """How often a job is submitted and what its task does.

    :param interval_s: time between two submissions
    :param arguments: execution plan for the worker stand-in, as JSON
    """

    job: str
    interval_s: float
    arguments: str


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A fleet, its configuration and its load.

    :param calls_per_s: mean rate of calls over all entries
    :param call_run_ms: run time of a call on an idle executor
    :param target_p99_ms: the service's ``target_p99`` in the configuration
    """

    plan: local_fleet.FleetPlan
    folder: pathlib.Path
    service: str
    calls_per_s: float
    call_run_ms: int
    target_p99_ms: int
    jobs: tuple[JobLoad, ...]
    once_jobs: tuple[str, ...]


def _make_arguments(run_ms: int, **plan: object) -> str:
    return json.dumps({'run_ms': run_ms, 'result': 'done', **plan})


DEPLOYMENTS: Final = (
    Deployment(
        local_fleet.FleetPlan(
            name='ocre',
            region='sierra-centro',
            entry_data_centres=('tajo-norte', 'tajo-sur', 'molino-alto'),
            vms=(
                local_fleet.VmPlan(
                    'ocre-vm-1', 'tajo-norte', 'norte-1', 'pigment'
                ),
                local_fleet.VmPlan(
                    'ocre-vm-2', 'tajo-sur', 'sur-1', 'pigment'
                ),
                local_fleet.VmPlan(
                    'ocre-vm-3', 'molino-alto', 'molino-1', 'pigment'
                ),
                local_fleet.VmPlan(
                    'ocre-vm-4', 'tajo-norte', 'norte-2', 'pigment'
                ),
            ),
        ),
        EXAMPLES / 'ocre',
        'pigment',
        30.0,
        20,
        150,
        (
            JobLoad('ledgers', 0.4, _make_arguments(3000, noise=0.05)),
            JobLoad('assay-batch', 0.8, _make_arguments(1500)),
            JobLoad('kiln-blend-plan', 2.0, _make_arguments(1000)),
            JobLoad('grade-certificate', 0.7, _make_arguments(400)),
        ),
        ('kiln-blend-plan',),
    ),
    Deployment(
        local_fleet.FleetPlan(
            name='colombo',
            region='western-province',
            entry_data_centres=(
                'colombo-north',
                'colombo-south',
                'dehiwala',
                'kotte',
            ),
            vms=(
                local_fleet.VmPlan(
                    'colombo-vm-1', 'colombo-north', 'north-1', 'dispatch'
                ),
                local_fleet.VmPlan(
                    'colombo-vm-2', 'colombo-south', 'south-1', 'dispatch'
                ),
                local_fleet.VmPlan(
                    'colombo-vm-3', 'dehiwala', 'dehiwala-1', 'dispatch'
                ),
                local_fleet.VmPlan(
                    'colombo-vm-4', 'kotte', 'kotte-1', 'dispatch'
                ),
            ),
        ),
        EXAMPLES / 'colombo',
        'dispatch',
        40.0,
        15,
        80,
        (
            JobLoad('route-plan', 0.6, _make_arguments(1500)),
            JobLoad('inspection-report', 0.9, _make_arguments(800)),
            JobLoad('billing-run', 2.0, _make_arguments(1200)),
        ),
        ('billing-run',),
    ),
)


async def publish(
    fleet: local_fleet.Fleet, folder: pathlib.Path, base_version: int = 0
) -> None:
    """Publish a configuration folder and wait until all entries apply it.

    :raises RuntimeError: if the publication fails
    """
    admin_urls = ','.join(entry.admin_url for entry in fleet.entries)
    process = await local_fleet.start_process(
        f'{fleet.plan.name} publish',
        'borageshelf.main',
        'publish',
        str(folder),
        f'--store-url={fleet.store_url}',
        f'--admin-urls={admin_urls}',
        '--author=demo',
        '--reason=first version',
        f'--base-version={base_version}',
        '--wait',
        environment={'BORAGESHELF_ADMIN_TOKEN': local_fleet.ADMIN_TOKEN},
    )
    status = await process.wait()
    if status != 0:
        raise RuntimeError(
            f'publish failed with status {status}: {list(process.lines)}'
        )
    sys.stdout.flush()
