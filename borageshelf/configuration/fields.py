"""Tables of the sections and fields of configuration documents.

Conversion, rendering, reference checks and the JSON schema all follow these
tables. Defaults are those of the classes in ``borageshelf.model.objects``.
"""

import dataclasses
from typing import Any, Final

from borageshelf.configuration import values
from borageshelf.model import objects
from borageshelf.model import resources

PROCESSOR: Final = values.Quantity(
    {'millicores': 1, 'cores': 1000}, 0, 100_000_000
)
MEMORY: Final = values.Quantity(
    {'MB': 1, 'GB': 1000, 'TB': 1_000_000}, 0, 10_000_000_000
)
# Calls are limited to one day; work that may take longer belongs in a job.
DURATION: Final = values.Quantity(
    {'ms': 1, 's': 1000, 'min': 60_000}, 1, 86_400_000
)
SHARE: Final = values.Number(0, 1)
WEIGHT: Final = values.Number(0, 1000)


@dataclasses.dataclass(frozen=True)
class Field:
    """One field of a mapping in a document.

    :param name: name of the field in documents
    :param attribute: attribute of the configuration object that it sets
    """

    name: str
    attribute: str
    type: values.ValueType
    description: str
    is_required: bool = False


@dataclasses.dataclass(frozen=True)
class Table:
    """The fields of one kind of mapping.

    :param value_class: class of the configuration object
    :param is_named: whether objects have a name, which is their key in the
        section
    """

    name: str
    value_class: type[Any]
    description: str
    fields: tuple[Field, ...]
    is_named: bool = True


RESOURCES: Final = Table(
    'resources',
    resources.Resources,
    'An amount of each resource.',
    (
        Field(
            'processor',
            'processor_millicores',
            PROCESSOR,
            'Processor time.',
            True,
        ),
        Field('memory', 'memory_mb', MEMORY, 'Memory.', True),
        Field(
            'accelerators',
            'accelerators',
            values.Integer(0, 100_000),
            'Whole accelerators.',
        ),
    ),
    is_named=False,
)
DATA_CENTRES: Final = Table(
    'data_centres',
    objects.DataCentre,
    'The data centres of the deployment.',
    (Field('region', 'region', values.Name(), 'Region.', True),),
)
WORKER_SHAPES: Final = Table(
    'worker_shapes',
    objects.WorkerShape,
    'Sizes of the workers that are expected; promises are checked against '
    'them.',
    (
        Field(
            'data_centre',
            'data_centre',
            values.Reference('data_centres'),
            'Data centre of the workers.',
            True,
        ),
        Field('count', 'count', values.Integer(1, 10_000), 'Workers.', True),
        Field(
            'capacity',
            'capacity',
            values.Nested('resources'),
            'Capacity of one worker.',
            True,
        ),
    ),
)
TEAMS: Final = Table(
    'teams',
    objects.Team,
    'Teams with their quotas.',
    (
        Field(
            'quota',
            'quota',
            values.Nested('resources'),
            'Most resources that running tasks of the team hold together.',
            True,
        ),
        Field(
            'calls_share',
            'calls_share',
            SHARE,
            'Guaranteed share of call capacity.',
        ),
        Field(
            'batch_share',
            'batch_share',
            SHARE,
            'Guaranteed share of batch capacity.',
        ),
        Field(
            'parent',
            'parent',
            values.Reference('teams'),
            'Team whose quota this one may not exceed.',
        ),
    ),
)
PLACEMENTS: Final = Table(
    'placements',
    objects.Placement,
    'Constraints on where tasks run.',
    (
        Field(
            'data_centres',
            'data_centres',
            values.References('data_centres'),
            'Allowed data centres; none allows all.',
        ),
        Field(
            'spread',
            'spread',
            values.Choice(words=('none', 'rack', 'data_centre')),
            'What replicas of one job must not share.',
        ),
    ),
)
SERVICES: Final = Table(
    'services',
    objects.Service,
    'Latency-critical services.',
    (
        Field('team', 'team', values.Reference('teams'), 'Owning team.', True),
        Field(
            'target_p99',
            'target_p99_ms',
            DURATION,
            'Goal for the 99th percentile of latency.',
            True,
        ),
        Field(
            'idempotent',
            'idempotent',
            values.Boolean(),
            'Whether calls may be repeated by default.',
        ),
        Field(
            'queue_limit',
            'queue_limit',
            values.Integer(1, 100_000),
            'Most calls that wait in one entry.',
        ),
        Field(
            'call_timeout',
            'call_timeout_ms',
            DURATION,
            'Time limit of a call that names none.',
        ),
    ),
)
JOBS: Final = Table(
    'jobs',
    objects.Job,
    'Families of batch jobs and monitors.',
    (
        Field('team', 'team', values.Reference('teams'), 'Owning team.', True),
        Field(
            'placement',
            'placement',
            values.Reference('placements'),
            'Where the tasks run.',
            True,
        ),
        Field(
            'declared',
            'declared',
            values.Nested('resources'),
            'Declared size of one task.',
            True,
        ),
        Field(
            'idempotent',
            'idempotent',
            values.Boolean(),
            'Whether a task whose effect is unknown may start again.',
        ),
        Field(
            'class',
            'work_class',
            values.Choice(objects.WorkClass),
            'Batch work or a monitor.',
        ),
        Field(
            'urgency',
            'urgency',
            values.Integer(0, 9),
            'From 0, least urgent, to 9.',
        ),
        Field(
            'attempts',
            'attempts',
            values.Integer(1, 100),
            'Most attempts; 1 by default if the job is not idempotent.',
        ),
        Field(
            'replicas',
            'replicas',
            values.Integer(1, 100),
            'Tasks that run side by side.',
        ),
    ),
)
LIMITS: Final = Table(
    'limits',
    objects.Limits,
    'Bounds of the whole deployment.',
    (
        Field(
            'batch_minimum_share',
            'batch_minimum_share',
            SHARE,
            'Share kept for batch work during a surge of calls.',
        ),
        Field(
            'calls_minimum_share',
            'calls_minimum_share',
            SHARE,
            'Share kept for calls during a surge of batch work.',
        ),
        Field(
            'jobs_queued',
            'jobs_queued',
            values.Integer(1, 1_000_000),
            'Most jobs that wait in one shard.',
        ),
    ),
    is_named=False,
)
OBJECTIVE: Final = Table(
    'objective',
    objects.Objective,
    'Weights of the measures; each needs a reason.',
    tuple(
        field
        for name, measure in (
            ('tail_latency', 'tail latency of services'),
            ('batch_throughput', 'finished batch work'),
            ('evictions', 'avoided evictions'),
        )
        for field in (
            Field(name, name, WEIGHT, f'Weight of {measure}.', True),
            Field(
                f'{name}_reason',
                f'{name}_reason',
                values.Text(),
                'Reason for the weight.',
                True,
            ),
        )
    ),
    is_named=False,
)

SECTIONS: Final[dict[str, Table]] = {
    table.name: table
    for table in (
        DATA_CENTRES,
        WORKER_SHAPES,
        TEAMS,
        PLACEMENTS,
        SERVICES,
        JOBS,
        LIMITS,
        OBJECTIVE,
    )
}

TABLES: Final[dict[str, Table]] = {**SECTIONS, RESOURCES.name: RESOURCES}
