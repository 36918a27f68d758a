"""Checks of a whole set of configuration objects.

This is the third pass over a set, after ``documents``. Each check gets all
objects that are valid by themselves and yields the faults that appear only
between objects. A set with any fault yields no configuration.
"""

from collections import abc
import dataclasses
import graphlib
import pathlib
from typing import Any, Final

from borageshelf.configuration import documents
from borageshelf.configuration import faults
from borageshelf.configuration import fields
from borageshelf.configuration import values
from borageshelf.configuration import yaml_files
from borageshelf.model import objects
from borageshelf.model import resources

# Shares are decimal fractions, whose sum in binary floating point may exceed
# 1 by a rounding error.
SHARE_TOLERANCE: Final = 1e-9


@dataclasses.dataclass(frozen=True)
class Checked:
    """The result of checking a set.

    :param configuration: the checked set, or None if there are faults
    :param faults: all faults by file and line
    """

    configuration: objects.Configuration | None
    faults: tuple[faults.Fault, ...]


class InvalidSetError(Exception):
    """A set of documents has faults."""

    def __init__(self, found: tuple[faults.Fault, ...]) -> None:
        super().__init__('\n'.join(map(str, found)))
        self.faults = found


def load_configuration(folder: pathlib.Path) -> objects.Configuration:
    """Return the configuration of a folder.

    :raises InvalidSetError: with all faults
    """
    checked = check_folder(folder)
    if checked.configuration is None:
        raise InvalidSetError(checked.faults)
    return checked.configuration


def check_folder(folder: pathlib.Path) -> Checked:
    """Read and check the YAML files of a folder."""
    texts, found = yaml_files.read_folder(folder)
    checked = check_files(texts)
    if not found:
        return checked
    others = () if not texts else checked.faults
    return Checked(None, tuple(sorted([*found, *others])))


def check_files(texts: list[yaml_files.SourceFile]) -> Checked:
    """Check the YAML files of a set."""
    documents_set = documents.build_set(texts)
    found = list(documents_set.faults)
    for check in CHECKS:
        found.extend(check(documents_set))
    if found:
        return Checked(None, tuple(sorted(found)))
    return Checked(_make_configuration(documents_set), ())


def _make_configuration(
    whole: documents.DocumentSet,
) -> objects.Configuration:
    named: dict[str, Any] = {
        section: {
            name: located.value
            # Sorted, so that the order of files does not change the hash.
            for name, located in sorted(whole.sections[section].items())
        }
        for section, table in fields.SECTIONS.items()
        if table.is_named
    }
    single: dict[str, Any] = {
        section: located.value
        for section, table in fields.SECTIONS.items()
        if not table.is_named
        for located in whole.sections[section].values()
    }
    return objects.Configuration(**named, **single)


def find_reference_faults(
    whole: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield references to nothing and lists that repeat a name."""
    for section, table in fields.SECTIONS.items():
        for located in whole.list_valid(section):
            for field in table.fields:
                yield from _check_field(whole, located, field)


def _check_field(
    whole: documents.DocumentSet,
    located: documents.Located,
    field: fields.Field,
) -> abc.Iterator[faults.Fault]:
    value = getattr(located.value, field.attribute)
    if isinstance(field.type, values.Reference):
        names = (value,) if value else ()
    elif isinstance(field.type, values.References):
        names = value
    else:
        return
    target = field.type.section
    for name in dict.fromkeys(names):
        if name not in whole.sections[target]:
            yield located.make_fault(
                faults.DANGLING_REFERENCE,
                field.name,
                f'no object {name!r} in {target}',
            )
        if names.count(name) > 1:
            yield located.make_fault(
                faults.REPEATED_REFERENCE, field.name, f'{name!r} repeats'
            )


def find_cycles(whole: documents.DocumentSet) -> abc.Iterator[faults.Fault]:
    """Yield each cycle of parent teams at its first team by name."""
    teams = {item.value.name: item for item in whole.list_valid('teams')}
    graph = {
        name: {item.value.parent} & teams.keys()
        for name, item in sorted(teams.items())
    }
    while True:
        try:
            tuple(graphlib.TopologicalSorter(graph).static_order())
            return
        except graphlib.CycleError as error:
            cycle = sorted(set(error.args[1]))
        yield teams[cycle[0]].make_fault(
            faults.CYCLE, 'parent', 'teams in a cycle: ' + ', '.join(cycle)
        )
        for name in cycle:
            graph[name] = set()


def find_share_sums(
    whole: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield guaranteed shares that cannot be kept together."""
    for field in ('calls_share', 'batch_share'):
        total = 0.0
        for located in whole.list_valid('teams'):
            total += getattr(located.value, field)
            if total > 1 + SHARE_TOLERANCE:
                yield located.make_fault(
                    faults.SHARES_ABOVE_ONE,
                    field,
                    f'the shares up to this team add up to {total:g}',
                )
                break
    for located in whole.list_valid('limits'):
        limits = located.value
        total = limits.batch_minimum_share + limits.calls_minimum_share
        if total > 1 + SHARE_TOLERANCE:
            yield located.make_fault(
                faults.SHARES_ABOVE_ONE,
                'calls_minimum_share',
                f'together with batch_minimum_share it is {total:g}',
            )


def find_quota_faults(
    whole: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield quotas that exceed a bound or undercut a guarantee."""
    teams = {item.value.name: item for item in whole.list_valid('teams')}
    capacity = _sum_capacity(whole)
    for located in teams.values():
        team = located.value
        parent = teams.get(team.parent)
        if parent and not team.quota.fits_in(parent.value.quota):
            yield located.make_fault(
                faults.QUOTA_ABOVE_PARENT,
                'quota',
                f'{_show(team.quota)} exceeds {_show(parent.value.quota)} '
                f'of {team.parent}',
            )
        if capacity is None:
            continue
        if not team.quota.fits_in(capacity):
            yield located.make_fault(
                faults.QUOTA_ABOVE_CAPACITY,
                'quota',
                f'{_show(team.quota)} exceeds {_show(capacity)} of all '
                'worker shapes',
            )
        # The share holds for processors, by which batch capacity is shared.
        guaranteed = team.batch_share * capacity.processor_millicores
        if team.quota.processor_millicores + SHARE_TOLERANCE < guaranteed:
            yield located.make_fault(
                faults.LIMIT_BELOW_SHARE,
                'quota',
                f'{team.quota.processor_millicores} millicores are less than '
                f'the guaranteed batch_share, {guaranteed:g} millicores',
            )


def find_job_faults(
    whole: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield jobs that could never run, or could run twice."""
    for located in whole.list_valid('jobs'):
        job = located.value
        if not job.idempotent and job.attempts > 1:
            yield located.make_fault(
                faults.RETRIES_NOT_IDEMPOTENT,
                'attempts',
                f'{job.attempts} attempts would repeat its effects',
            )
        declared = job.declared
        if not (declared.processor_millicores and declared.memory_mb):
            # Any number of such tasks would fit on one VM.
            yield located.make_fault(
                faults.JOB_WITHOUT_SIZE, 'declared', _show(declared)
            )
        team = whole.sections['teams'].get(job.team)
        if team and team.value is not None:
            needed = _multiply(job.declared, job.replicas)
            if not needed.fits_in(team.value.quota):
                yield located.make_fault(
                    faults.JOB_ABOVE_QUOTA,
                    'declared',
                    f'{_show(needed)} for all replicas exceeds '
                    f'{_show(team.value.quota)} of {job.team}',
                )
        placement = whole.sections['placements'].get(job.placement)
        if placement and placement.value is not None:
            yield from _check_placed(whole, located, placement.value)


def _check_placed(
    whole: documents.DocumentSet,
    located: documents.Located,
    placement: objects.Placement,
) -> abc.Iterator[faults.Fault]:
    """Yield faults of a job that depend on where it may run."""
    job = located.value
    allowed = set(placement.data_centres or whole.sections['data_centres'])
    if placement.spread == 'data_centre' and job.replicas > len(allowed):
        yield located.make_fault(
            faults.SPREAD_IMPOSSIBLE,
            'replicas',
            f'{job.replicas} replicas, {len(allowed)} data centres in '
            f'{placement.name}',
        )
    shapes = [
        shape.value
        for shape in whole.list_valid('worker_shapes')
        if shape.value.data_centre in allowed
    ]
    if _sum_capacity(whole) is None:
        return
    if not any(job.declared.fits_in(shape.capacity) for shape in shapes):
        yield located.make_fault(
            faults.JOB_TOO_LARGE,
            'declared',
            f'{_show(job.declared)} fits on none of {len(shapes)} worker '
            f'shapes that {placement.name} allows',
        )


def find_service_faults(
    whole: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield services whose calls would always end before the goal."""
    for located in whole.list_valid('services'):
        service = located.value
        if service.call_timeout_ms < service.target_p99_ms:
            yield located.make_fault(
                faults.TIMEOUT_BELOW_TARGET,
                'call_timeout',
                f'{service.call_timeout_ms} ms is below target_p99, '
                f'{service.target_p99_ms:g} ms',
            )


def find_objective_faults(
    whole: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield an objective that prefers nothing."""
    for located in whole.list_valid('objective'):
        objective = located.value
        weights = (
            objective.tail_latency,
            objective.batch_throughput,
            objective.evictions,
        )
        if not any(weights):
            yield located.make_fault(
                faults.NO_OBJECTIVE, '', 'no measure has a weight'
            )


def _sum_capacity(
    whole: documents.DocumentSet,
) -> resources.Resources | None:
    """Return the declared capacity of all workers.

    :return: None if it is not known, because a shape has faults of its own
    """
    shapes = whole.sections['worker_shapes'].values()
    total = resources.NOTHING
    for located in shapes:
        if located.value is None:
            return None
        shape = located.value
        total = total.plus(_multiply(shape.capacity, shape.count))
    return total


def _multiply(amount: resources.Resources, count: int) -> resources.Resources:
    return resources.Resources(
        amount.processor_millicores * count,
        amount.memory_mb * count,
        amount.accelerators * count,
    )


def _show(amount: resources.Resources) -> str:
    return (
        f'({amount.processor_millicores} millicores, {amount.memory_mb} MB, '
        f'{amount.accelerators} accelerators)'
    )


CHECKS: Final[
    tuple[
        abc.Callable[[documents.DocumentSet], abc.Iterator[faults.Fault]],
        ...,
    ]
] = (
    find_reference_faults,
    find_cycles,
    find_share_sums,
    find_quota_faults,
    find_job_faults,
    find_service_faults,
    find_objective_faults,
)
