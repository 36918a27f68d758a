"""Single mutations of a valid set, each with the fault that it must cause.

A mutation changes the plain content of a document in place. A random
generator chooses the object and the field.
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
    """A mutation and the faults that it causes.

    :param code: fault that the checks must report
    :param change: applies the mutation
    :param follow_ups: other faults that the same mutation may cause
    """

    code: faults.FaultCode
    change: abc.Callable[[Sections, random.Random], None]
    follow_ups: tuple[faults.FaultCode, ...] = ()


def list_field_places(
    sections: Sections, kinds: tuple[type, ...] = ()
) -> list[tuple[dict[str, Any], fields.Field]]:
    """Return each present field of the given value types with its mapping.

    :param kinds: value types; all if empty
    """
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
    """Return a mutation that sets a random field of the given types."""

    def change(sections: Sections, rng: random.Random) -> None:
        item, field = rng.choice(list_field_places(sections, kinds))
        item[field.name] = value

    return change


def drop_required_field(sections: Sections, rng: random.Random) -> None:
    places = list_field_places(sections)
    required = [place for place in places if place[1].is_required]
    item, field = rng.choice(required)
    del item[field.name]


def add_unknown_field(sections: Sections, rng: random.Random) -> None:
    item, _field = rng.choice(list_field_places(sections))
    item['colour'] = 'ochre'


def exceed_range(sections: Sections, rng: random.Random) -> None:
    kinds = (values.Integer, values.Number)
    item, field = rng.choice(list_field_places(sections, kinds))
    assert isinstance(field.type, values.Integer | values.Number)
    item[field.name] = rng.choice(
        [field.type.maximum + 1, field.type.minimum - 1]
    )


def capitalize_object_name(sections: Sections, rng: random.Random) -> None:
    section = rng.choice(['services', 'jobs'])
    name = rng.choice(list(sections[section]))
    sections[section][name.upper()] = sections[section].pop(name)


def repeat_reference(sections: Sections, rng: random.Random) -> None:
    places = list_field_places(sections, (values.References,))
    item, field = rng.choice(
        [place for place in places if place[0]['data_centres']]
    )
    item[field.name] = [*item[field.name], rng.choice(item[field.name])]


def append_missing_reference(sections: Sections, rng: random.Random) -> None:
    item, field = rng.choice(list_field_places(sections, (values.References,)))
    item[field.name] = [*item[field.name], 'absent']


def close_parent_cycle(sections: Sections, rng: random.Random) -> None:
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


def set_quota_below_share(sections: Sections, rng: random.Random) -> None:
    teams = [
        item for item in sections['teams'].values() if item['batch_share']
    ]
    rng.choice(teams)['quota']['processor'] = '999 millicores'


def set_quota_above_capacity(sections: Sections, rng: random.Random) -> None:
    team = rng.choice(list(sections['teams'].values()))
    team['quota']['memory'] = '2.501 TB'


def set_quota_above_parent(sections: Sections, rng: random.Random) -> None:
    teams = [team for team in sections['teams'].values() if 'parent' in team]
    team = rng.choice(teams)
    parent = sections['teams'][team['parent']]
    accelerators = parent['quota']['accelerators'] + 1
    team['quota']['accelerators'] = accelerators


def choose_job(sections: Sections, rng: random.Random, **required: Any) -> Any:
    return rng.choice(
        [
            job
            for job in sections['jobs'].values()
            if all(job[name] == value for name, value in required.items())
        ]
    )


def exceed_worker_size(sections: Sections, rng: random.Random) -> None:
    job = choose_job(sections, rng)
    job['declared']['processor'] = '60001 millicores'


def exceed_team_quota(sections: Sections, rng: random.Random) -> None:
    job = choose_job(sections, rng)
    job['replicas'] = 100
    job['declared']['memory'] = '200 GB'


def clear_declared_size(sections: Sections, rng: random.Random) -> None:
    name, unit = rng.choice([('processor', 'cores'), ('memory', 'GB')])
    choose_job(sections, rng)['declared'][name] = f'0 {unit}'


def clear_idempotence(sections: Sections, rng: random.Random) -> None:
    choose_job(sections, rng, idempotent=True)['idempotent'] = False


def exceed_data_centres(sections: Sections, rng: random.Random) -> None:
    job = choose_job(sections, rng)
    sections['placements'][job['placement']]['spread'] = 'data_centre'
    job['replicas'] = 5


def set_timeout_below_target(sections: Sections, rng: random.Random) -> None:
    service = rng.choice(list(sections['services'].values()))
    service['call_timeout'] = '1 ms'


def clear_weights(sections: Sections, rng: random.Random) -> None:
    for name in ('tail_latency', 'batch_throughput', 'evictions'):
        sections['objective'][name] = 0


def add_unknown_section(sections: Sections, rng: random.Random) -> None:
    sections['jobz'] = {}


MUTATIONS = (
    Mutation(faults.UNKNOWN_SECTION, add_unknown_section),
    Mutation(faults.UNKNOWN_FIELD, add_unknown_field),
    Mutation(faults.MISSING_FIELD, drop_required_field),
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
    Mutation(faults.WRONG_NAME, capitalize_object_name),
    Mutation(
        faults.WRONG_NAME,
        set_field((values.Name, values.Reference), 'No Name'),
    ),
    Mutation(
        faults.DANGLING_REFERENCE,
        set_field((values.Reference,), 'absent'),
        # A data centre that loses its worker shape may be too small for a job.
        (faults.JOB_TOO_LARGE,),
    ),
    Mutation(
        faults.DANGLING_REFERENCE,
        append_missing_reference,
        # An empty list allows all data centres; with the added name it allows
        # only that one, which does not exist.
        (faults.JOB_TOO_LARGE, faults.SPREAD_IMPOSSIBLE),
    ),
    Mutation(faults.CYCLE, close_parent_cycle, (faults.QUOTA_ABOVE_PARENT,)),
    Mutation(faults.REPEATED_REFERENCE, repeat_reference),
    Mutation(faults.SHARES_ABOVE_ONE, exceed_shares),
    Mutation(faults.SHARES_ABOVE_ONE, exceed_minimum_shares),
    Mutation(
        faults.LIMIT_BELOW_SHARE,
        set_quota_below_share,
        (faults.JOB_ABOVE_QUOTA, faults.QUOTA_ABOVE_PARENT),
    ),
    Mutation(
        faults.QUOTA_ABOVE_CAPACITY,
        set_quota_above_capacity,
        (faults.QUOTA_ABOVE_PARENT,),
    ),
    Mutation(
        faults.QUOTA_ABOVE_PARENT,
        set_quota_above_parent,
        (faults.QUOTA_ABOVE_CAPACITY,),
    ),
    Mutation(
        faults.JOB_TOO_LARGE, exceed_worker_size, (faults.JOB_ABOVE_QUOTA,)
    ),
    Mutation(
        faults.JOB_ABOVE_QUOTA, exceed_team_quota, (faults.SPREAD_IMPOSSIBLE,)
    ),
    Mutation(faults.JOB_WITHOUT_SIZE, clear_declared_size),
    Mutation(faults.RETRIES_NOT_IDEMPOTENT, clear_idempotence),
    Mutation(
        faults.SPREAD_IMPOSSIBLE,
        exceed_data_centres,
        (faults.JOB_ABOVE_QUOTA,),
    ),
    Mutation(faults.TIMEOUT_BELOW_TARGET, set_timeout_below_target),
    Mutation(faults.NO_OBJECTIVE, clear_weights),
)
