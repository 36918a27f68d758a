"""Single mutations of a valid set, each with the fault that it must cause.

A mutation changes the plain content of a document in place. It draws from a
random generator which object and field it changes.
"""

from collections import abc
import dataclasses
import random
from typing import Any

from borageshelf.configuration import faults
from borageshelf.configuration import fields
from borageshelf.configuration import values

Sections = dict[str, Any]


@dataclasses.dataclass(frozen=True)
class Mutation:
    """A mutation.

    :param code: fault that must be found
    :param follow_ups: other faults that may follow from the same mutation
    """

    code: faults.FaultCode
    change: abc.Callable[[Sections, random.Random], None]
    follow_ups: tuple[faults.FaultCode, ...] = ()


def list_places(
    sections: Sections, kinds: tuple[type, ...] = ()
) -> list[tuple[dict[str, Any], fields.Field]]:
    """Return every given field of some value types with its mapping."""
    places: list[tuple[dict[str, Any], fields.Field]] = []
    for section, content in sections.items():
        table = fields.SECTIONS[section]
        for item in content.values() if table.is_named else [content]:
            places.extend(_list_fields(table, item))
    return [
        (item, field)
        for item, field in places
        if not kinds or isinstance(field.type, kinds)
    ]


def _list_fields(
    table: fields.Table, item: dict[str, Any]
) -> abc.Iterator[tuple[dict[str, Any], fields.Field]]:
    for field in table.fields:
        if field.name not in item:
            continue
        yield item, field
        if isinstance(field.type, values.Nested):
            nested = fields.TABLES[field.type.table]
            yield from _list_fields(nested, item[field.name])


def set_field(
    kinds: tuple[type, ...], value: Any
) -> abc.Callable[[Sections, random.Random], None]:
    """Return a mutation that sets a field of one of some types."""

    def change(sections: Sections, rng: random.Random) -> None:
        item, field = rng.choice(list_places(sections, kinds))
        item[field.name] = value

    return change


def drop_field(sections: Sections, rng: random.Random) -> None:
    places = list_places(sections)
    required = [place for place in places if place[1].is_required]
    item, field = rng.choice(required)
    del item[field.name]


def add_field(sections: Sections, rng: random.Random) -> None:
    item, _field = rng.choice(list_places(sections))
    item['colour'] = 'ochre'


def exceed_range(sections: Sections, rng: random.Random) -> None:
    kinds = (values.Integer, values.Number)
    item, field = rng.choice(list_places(sections, kinds))
    assert isinstance(field.type, values.Integer | values.Number)
    item[field.name] = rng.choice(
        [field.type.maximum + 1, field.type.minimum - 1]
    )


def rename_object(sections: Sections, rng: random.Random) -> None:
    section = rng.choice(['services', 'jobs'])
    name = rng.choice(list(sections[section]))
    sections[section][name.upper()] = sections[section].pop(name)


def repeat_reference(sections: Sections, rng: random.Random) -> None:
    places = list_places(sections, (values.References,))
    item, field = rng.choice(
        [place for place in places if place[0]['data_centres']]
    )
    item[field.name] = [*item[field.name], rng.choice(item[field.name])]


def dangle_in_list(sections: Sections, rng: random.Random) -> None:
    item, field = rng.choice(list_places(sections, (values.References,)))
    item[field.name] = [*item[field.name], 'absent']


def close_cycle(sections: Sections, rng: random.Random) -> None:
    teams = sections['teams']
    child = rng.choice(
        [name for name, team in teams.items() if 'parent' in team]
    )
    teams[teams[child]['parent']]['parent'] = rng.choice(
        [child, teams[child]['parent']]
    )


def exceed_shares(sections: Sections, rng: random.Random) -> None:
    shares = sections['teams'].values()
    largest = max(team['calls_share'] for team in shares)
    others = [team for team in shares if team['calls_share'] != largest]
    rng.choice(others)['calls_share'] = 1


def exceed_minimum_shares(sections: Sections, rng: random.Random) -> None:
    sections['limits']['batch_minimum_share'] = 0.9


def undercut_share(sections: Sections, rng: random.Random) -> None:
    teams = [
        item for item in sections['teams'].values() if item['batch_share']
    ]
    rng.choice(teams)['quota']['processor'] = '999 millicores'


def exceed_capacity(sections: Sections, rng: random.Random) -> None:
    team = rng.choice(list(sections['teams'].values()))
    team['quota']['memory'] = '2.501 TB'


def exceed_parent(sections: Sections, rng: random.Random) -> None:
    teams = [team for team in sections['teams'].values() if 'parent' in team]
    team = rng.choice(teams)
    parent = sections['teams'][team['parent']]
    accelerators = parent['quota']['accelerators'] + 1
    team['quota']['accelerators'] = accelerators


def choose_job(sections: Sections, rng: random.Random, **kept: Any) -> Any:
    return rng.choice(
        [
            job
            for job in sections['jobs'].values()
            if all(job[name] == value for name, value in kept.items())
        ]
    )


def enlarge_job(sections: Sections, rng: random.Random) -> None:
    job = choose_job(sections, rng)
    job['declared']['processor'] = '60001 millicores'


def multiply_job(sections: Sections, rng: random.Random) -> None:
    job = choose_job(sections, rng)
    job['replicas'] = 100
    job['declared']['memory'] = '200 GB'


def empty_job(sections: Sections, rng: random.Random) -> None:
    name, unit = rng.choice([('processor', 'cores'), ('memory', 'GB')])
    choose_job(sections, rng)['declared'][name] = f'0 {unit}'


def repeat_effects(sections: Sections, rng: random.Random) -> None:
    choose_job(sections, rng, idempotent=True)['idempotent'] = False


def spread_too_far(sections: Sections, rng: random.Random) -> None:
    job = choose_job(sections, rng)
    sections['placements'][job['placement']]['spread'] = 'data_centre'
    job['replicas'] = 5


def shorten_timeout(sections: Sections, rng: random.Random) -> None:
    service = rng.choice(list(sections['services'].values()))
    service['call_timeout'] = '1 ms'


def drop_weights(sections: Sections, rng: random.Random) -> None:
    for name in ('tail_latency', 'batch_throughput', 'evictions'):
        sections['objective'][name] = 0


def add_section(sections: Sections, rng: random.Random) -> None:
    sections['jobz'] = {}


MUTATIONS = (
    Mutation(faults.UNKNOWN_SECTION, add_section),
    Mutation(faults.UNKNOWN_FIELD, add_field),
    Mutation(faults.MISSING_FIELD, drop_field),
    Mutation(
        faults.WRONG_TYPE,
        set_field(
            (
                values.Integer,
                values.Number,
                values.Boolean,
                values.Text,
                values.Choice,
                values.Quantity,
                values.References,
                values.Nested,
            ),
            None,
        ),
    ),
    Mutation(faults.WRONG_UNIT, set_field((values.Quantity,), '5 parsecs')),
    Mutation(faults.WRONG_UNIT, set_field((values.Quantity,), 5)),
    Mutation(faults.OUT_OF_RANGE, exceed_range),
    Mutation(faults.OUT_OF_RANGE, set_field((values.Text,), '')),
    Mutation(faults.UNKNOWN_CHOICE, set_field((values.Choice,), 'some')),
    Mutation(faults.WRONG_NAME, rename_object),
    Mutation(
        faults.WRONG_NAME,
        set_field((values.Name, values.Reference), 'No Name'),
    ),
    Mutation(
        faults.DANGLING_REFERENCE,
        set_field((values.Reference,), 'absent'),
        # Without its shape, a data centre may be too small for a job.
        (faults.JOB_TOO_LARGE,),
    ),
    Mutation(
        faults.DANGLING_REFERENCE,
        dangle_in_list,
        # An empty list allows all data centres, one name only that one.
        (faults.JOB_TOO_LARGE, faults.SPREAD_IMPOSSIBLE),
    ),
    Mutation(faults.CYCLE, close_cycle, (faults.QUOTA_ABOVE_PARENT,)),
    Mutation(faults.REPEATED_REFERENCE, repeat_reference),
    Mutation(faults.SHARES_ABOVE_ONE, exceed_shares),
    Mutation(faults.SHARES_ABOVE_ONE, exceed_minimum_shares),
    Mutation(
        faults.LIMIT_BELOW_SHARE,
        undercut_share,
        (faults.JOB_ABOVE_QUOTA, faults.QUOTA_ABOVE_PARENT),
    ),
    Mutation(
        faults.QUOTA_ABOVE_CAPACITY,
        exceed_capacity,
        (faults.QUOTA_ABOVE_PARENT,),
    ),
    Mutation(
        faults.QUOTA_ABOVE_PARENT,
        exceed_parent,
        (faults.QUOTA_ABOVE_CAPACITY,),
    ),
    Mutation(faults.JOB_TOO_LARGE, enlarge_job, (faults.JOB_ABOVE_QUOTA,)),
    Mutation(
        faults.JOB_ABOVE_QUOTA, multiply_job, (faults.SPREAD_IMPOSSIBLE,)
    ),
    Mutation(faults.JOB_WITHOUT_SIZE, empty_job),
    Mutation(faults.RETRIES_NOT_IDEMPOTENT, repeat_effects),
    Mutation(
        faults.SPREAD_IMPOSSIBLE, spread_too_far, (faults.JOB_ABOVE_QUOTA,)
    ),
    Mutation(faults.TIMEOUT_BELOW_TARGET, shorten_timeout),
    Mutation(faults.NO_OBJECTIVE, drop_weights),
)
