"""Consistency checks between the objects of a configuration set.

This is the third pass over a set, after ``documents``. Each check gets all
objects that are valid on their own and yields the faults that appear only
between objects. A set with any fault gives no configuration.
"""

from collections import abc
import dataclasses
import graphlib
import pathlib
import re
from typing import Any, Final

from borageshelf.configuration import documents
from borageshelf.configuration import faults
from borageshelf.configuration import fields
from borageshelf.configuration import values
from borageshelf.configuration import yaml_files
from borageshelf.model import objects
from borageshelf.model import resources
from borageshelf.model import workflows

# Binary rounding can make decimal shares that add up to 1 exceed it slightly.
ROUNDING_TOLERANCE: Final = 1e-9
# Paths of requests end with the prefix of a queue, or with the prefix and the
# id of a workflow, which has 16 hexadecimal digits.
_ID_BEGIN: Final = re.compile('[0-9a-fA-F]{1,16}')


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """The result of checking a set.

    :param configuration: the checked set, or None if there are faults
    :param faults: all faults, sorted by file and line
    """

    configuration: objects.Configuration | None
    faults: tuple[faults.Fault, ...]


class InvalidSetError(Exception):
    """Raised for a set of documents that has faults."""

    def __init__(self, found_faults: tuple[faults.Fault, ...]) -> None:
        super().__init__('\n'.join(map(str, found_faults)))
        self.faults = found_faults


def load_configuration(folder: pathlib.Path) -> objects.Configuration:
    """Return the configuration that the files of a folder describe.

    :raises InvalidSetError: with all faults of the set
    """
    checked = check_folder(folder)
    if checked.configuration is None:
        raise InvalidSetError(checked.faults)
    return checked.configuration


def check_folder(folder: pathlib.Path) -> CheckResult:
    """Read and check the YAML files of a folder and its subfolders."""
    files, found_faults = yaml_files.read_folder(folder)
    checked = check_files(files)
    if not found_faults:
        return checked
    content_faults = () if not files else checked.faults
    return CheckResult(None, tuple(sorted([*found_faults, *content_faults])))


def check_files(files: list[yaml_files.SourceFile]) -> CheckResult:
    """Check the given YAML files as one set."""
    document_set = documents.build_document_set(files)
    found_faults = list(document_set.faults)
    for check in CHECKS:
        found_faults.extend(check(document_set))
    if found_faults:
        return CheckResult(None, tuple(sorted(found_faults)))
    return CheckResult(_make_configuration(document_set), ())


def _make_configuration(
    document_set: documents.DocumentSet,
) -> objects.Configuration:
    named_sections: dict[str, Any] = {
        section: {
            name: located.value
            # Sorted, so that the order of files does not change the hash.
            for name, located in sorted(document_set.sections[section].items())
        }
        for section, table in fields.SECTIONS.items()
        if table.is_named
    }
    single_sections: dict[str, Any] = {
        section: located.value
        for section, table in fields.SECTIONS.items()
        if not table.is_named
        for located in document_set.sections[section].values()
    }
    return objects.Configuration(**named_sections, **single_sections)


def find_reference_faults(
    document_set: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield references to missing objects and lists that repeat a name."""
    for section, table in fields.SECTIONS.items():
        for located in document_set.list_valid_objects(section):
            for field in table.fields:
                yield from _find_field_reference_faults(
                    document_set, located, field
                )


def _find_field_reference_faults(
    document_set: documents.DocumentSet,
    located: documents.LocatedObject,
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
        if name not in document_set.sections[target]:
            yield located.make_fault(
                faults.DANGLING_REFERENCE,
                field.name,
                f'no object {name!r} in {target}',
            )
        if names.count(name) > 1:
            yield located.make_fault(
                faults.REPEATED_REFERENCE, field.name, f'{name!r} repeats'
            )


def find_parent_cycles(
    document_set: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield one fault for each cycle of parent teams.

    It is reported at the team whose name sorts first.
    """
    teams = {
        item.value.name: item
        for item in document_set.list_valid_objects('teams')
    }
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


def find_share_faults(
    document_set: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield guaranteed shares that add up to more than the whole."""
    for field in ('calls_share', 'batch_share'):
        total = 0.0
        for located in document_set.list_valid_objects('teams'):
            total += getattr(located.value, field)
            if total > 1 + ROUNDING_TOLERANCE:
                yield located.make_fault(
                    faults.SHARES_ABOVE_ONE,
                    field,
                    f'the shares up to this team add up to {total:g}',
                )
                break
    for located in document_set.list_valid_objects('limits'):
        limits = located.value
        total = limits.batch_minimum_share + limits.calls_minimum_share
        if total > 1 + ROUNDING_TOLERANCE:
            yield located.make_fault(
                faults.SHARES_ABOVE_ONE,
                'calls_minimum_share',
                f'together with batch_minimum_share it is {total:g}',
            )


def find_quota_faults(
    document_set: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield quotas above a parent or the capacity, or below a guarantee."""
    teams = {
        item.value.name: item
        for item in document_set.list_valid_objects('teams')
    }
    capacity = _sum_worker_capacity(document_set)
    for located in teams.values():
        team = located.value
        parent = teams.get(team.parent)
        if parent and not team.quota.fits_in(parent.value.quota):
            yield located.make_fault(
                faults.QUOTA_ABOVE_PARENT,
                'quota',
                f'{_format(team.quota)} exceeds {_format(parent.value.quota)} '
                f'of {team.parent}',
            )
        if capacity is None:
            continue
        if not team.quota.fits_in(capacity):
            yield located.make_fault(
                faults.QUOTA_ABOVE_CAPACITY,
                'quota',
                f'{_format(team.quota)} exceeds {_format(capacity)} of all '
                'worker shapes',
            )
        # Batch capacity is shared by processor time, so the share guarantees
        # processor time only.
        guaranteed = team.batch_share * capacity.processor_millicores
        if team.quota.processor_millicores + ROUNDING_TOLERANCE < guaranteed:
            yield located.make_fault(
                faults.LIMIT_BELOW_SHARE,
                'quota',
                f'{team.quota.processor_millicores} millicores are less than '
                f'the guaranteed batch_share, {guaranteed:g} millicores',
            )


def find_job_faults(
    document_set: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield jobs that can never run, or whose retries repeat effects."""
    for located in document_set.list_valid_objects('jobs'):
        job = located.value
        if not job.idempotent and job.attempts > 1:
            yield located.make_fault(
                faults.RETRIES_NOT_IDEMPOTENT,
                'attempts',
                f'{job.attempts} attempts would repeat its effects',
            )
        declared = job.declared
        if not (declared.processor_millicores and declared.memory_mb):
            # Placement would put any number of such tasks on one VM.
            yield located.make_fault(
                faults.JOB_WITHOUT_SIZE,
                'declared',
                _format(declared),
            )
        team = document_set.sections['teams'].get(job.team)
        if team and team.value is not None:
            needed = _multiply(job.declared, job.replicas)
            if not needed.fits_in(team.value.quota):
                yield located.make_fault(
                    faults.JOB_ABOVE_QUOTA,
                    'declared',
                    f'{_format(needed)} for all replicas exceeds '
                    f'{_format(team.value.quota)} of {job.team}',
                )
        placement = document_set.sections['placements'].get(job.placement)
        if placement and placement.value is not None:
            yield from _find_placement_faults(
                document_set, located, placement.value
            )


def _find_placement_faults(
    document_set: documents.DocumentSet,
    located: documents.LocatedObject,
    placement: objects.Placement,
) -> abc.Iterator[faults.Fault]:
    """Yield faults of a job under the data centres that it may use."""
    job = located.value
    allowed_data_centres = set(
        placement.data_centres or document_set.sections['data_centres']
    )
    if placement.spread == 'data_centre' and job.replicas > len(
        allowed_data_centres
    ):
        yield located.make_fault(
            faults.SPREAD_IMPOSSIBLE,
            'replicas',
            f'{job.replicas} replicas, {len(allowed_data_centres)} data '
            f'centres in {placement.name}',
        )
    shapes = [
        shape.value
        for shape in document_set.list_valid_objects('worker_shapes')
        if shape.value.data_centre in allowed_data_centres
    ]
    if _sum_worker_capacity(document_set) is None:
        return
    if not any(job.declared.fits_in(shape.capacity) for shape in shapes):
        yield located.make_fault(
            faults.JOB_TOO_LARGE,
            'declared',
            f'{_format(job.declared)} fits on none of {len(shapes)} worker '
            f'shapes that {placement.name} allows',
        )


def find_service_faults(
    document_set: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield services whose calls time out before their latency target."""
    for located in document_set.list_valid_objects('services'):
        service = located.value
        if service.call_timeout_ms < service.target_p99_ms:
            yield located.make_fault(
                faults.TIMEOUT_BELOW_TARGET,
                'call_timeout',
                f'{service.call_timeout_ms} ms is below target_p99, '
                f'{service.target_p99_ms:g} ms',
            )


def find_objective_faults(
    document_set: documents.DocumentSet,
) -> abc.Iterator[faults.Fault]:
    """Yield an objective without any weight above zero."""
    for located in document_set.list_valid_objects('objective'):
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


class _QueueFaults:
    """Collects the faults of a configuration of the workflow scheduler.

    :param names: names of sections and fields in documents
    """

    def __init__(self, path: str, names: abc.Mapping[str, str]) -> None:
        self._path = path
        self._names = names
        self.found: list[faults.Fault] = []

    def add(
        self, code: faults.FaultCode, section: str, field: str, detail: str
    ) -> None:
        """Add a fault of a section without entries."""
        parts = [self._names[name] for name in (section, field) if name]
        subject = '.'.join(parts)
        self.found.append(
            faults.Fault(self._path, 0, subject, code.number, detail)
        )

    def add_of_queue(
        self,
        code: faults.FaultCode,
        queue: workflows.Queue,
        field: str,
        detail: str,
    ) -> None:
        """Add a fault of a queue."""
        subject = f'{self._names["queues"]}/{queue.name}.{self._names[field]}'
        self.found.append(
            faults.Fault(self._path, 0, subject, code.number, detail)
        )


def find_queue_faults(
    configuration: workflows.QueueConfiguration,
    path: str,
    names: abc.Mapping[str, str],
    in_force: workflows.QueueConfiguration | None = None,
) -> tuple[faults.Fault, ...]:
    """Return the faults of a configuration of the workflow scheduler.

    :param path: file that it was read from
    :param names: names of sections and fields in documents
    :param in_force: the configuration that it is to replace, if known
    """
    collected = _QueueFaults(path, names)
    in_force_version = in_force.version if in_force else 0
    if configuration.version <= in_force_version:
        collected.add(
            faults.VERSION_NOT_HIGHER,
            'version',
            '',
            f'{configuration.version} is not above {in_force_version}',
        )
    if not configuration.queues:
        collected.add(faults.NO_OBJECTS, 'queues', '', 'there are no entries')
    if not configuration.limits.body_bytes:
        collected.add(
            faults.LIMIT_OF_ZERO, 'limits', 'body_bytes', 'no body is allowed'
        )
    if not configuration.limits.idle_ms:
        collected.add(
            faults.LIMIT_OF_ZERO,
            'limits',
            'idle_ms',
            'no connection may be idle',
        )
    repeated = _find_repeated(configuration.services)
    for name in repeated:
        collected.add(
            faults.DUPLICATE_NAME, 'services', 'name', f'{name!r} repeats'
        )
    for number, queue in enumerate(configuration.queues):
        _check_matching(queue, number, configuration, collected)
        _check_queue_limits(queue, collected)
    return tuple(collected.found)


def _find_repeated(names: abc.Sequence[str]) -> list[str]:
    return [name for name in dict.fromkeys(names) if names.count(name) > 1]


def _check_matching(
    queue: workflows.Queue,
    number: int,
    configuration: workflows.QueueConfiguration,
    collected: _QueueFaults,
) -> None:
    """Find out whether a queue gets the requests that it describes.

    :param number: position of the queue in the configuration
    """
    earlier = configuration.queues[:number]
    if not queue.name:
        collected.add_of_queue(faults.WRONG_NAME, queue, 'name', 'empty')
    elif queue.name in {other.name for other in earlier}:
        collected.add_of_queue(
            faults.DUPLICATE_NAME, queue, 'name', 'an earlier entry has it'
        )
    if not queue.host or ':' in queue.host:
        collected.add_of_queue(
            faults.NEVER_MATCHES,
            queue,
            'host',
            f'{queue.host!r} is no host name without a port',
        )
    if not queue.path_prefix.startswith('/') or re.search(
        r'[?#\s]', queue.path_prefix
    ):
        collected.add_of_queue(
            faults.NEVER_MATCHES,
            queue,
            'path_prefix',
            f'{queue.path_prefix!r} begins no path of a request',
        )
    if not queue.service or (
        configuration.services and queue.service not in configuration.services
    ):
        collected.add_of_queue(
            faults.DANGLING_REFERENCE,
            queue,
            'service',
            f'{queue.service!r} is not a declared service',
        )
    for position, other in enumerate(configuration.queues):
        if other.host != queue.host or not other.path_prefix.startswith(
            queue.path_prefix
        ):
            continue
        rest = other.path_prefix[len(queue.path_prefix) :]
        if not rest and position < number:
            collected.add_of_queue(
                faults.NEVER_MATCHES,
                queue,
                'path_prefix',
                f'{other.name!r} has the same host and prefix and comes first',
            )
        elif _ID_BEGIN.fullmatch(rest):
            collected.add_of_queue(
                faults.NEVER_MATCHES,
                queue,
                'path_prefix',
                f'{other.name!r} with the longer prefix gets the workflows '
                f'whose ids begin with {rest!r}',
            )


def _check_queue_limits(
    queue: workflows.Queue, collected: _QueueFaults
) -> None:
    """Find limits of a queue that contradict each other or serve nothing."""
    if queue.attempts_limit < 1:
        collected.add_of_queue(
            faults.OUT_OF_RANGE,
            queue,
            'attempts_limit',
            f'{queue.attempts_limit} attempts',
        )
    if not queue.timeout_ms:
        collected.add_of_queue(
            faults.LIMIT_OF_ZERO,
            queue,
            'timeout_ms',
            'no request without a deadline of its own may wait',
        )
    elif queue.timeout_ms < queue.latency_target_ms:
        collected.add_of_queue(
            faults.TIMEOUT_BELOW_TARGET,
            queue,
            'timeout_ms',
            f'{queue.timeout_ms} ms is below the latency target, '
            f'{queue.latency_target_ms} ms',
        )
    if queue.slack_factor < 0:
        collected.add_of_queue(
            faults.OUT_OF_RANGE,
            queue,
            'slack_factor',
            f'{queue.slack_factor:g} is below 0',
        )
    elif queue.slack_factor < 1 and not queue.latency_target_ms:
        collected.add_of_queue(
            faults.OBJECTIVE_TOO_SHORT,
            queue,
            'slack_factor',
            f'{queue.slack_factor:g} times the critical path, and no latency '
            'target is added',
        )


def _sum_worker_capacity(
    document_set: documents.DocumentSet,
) -> resources.Resources | None:
    """Return the declared capacity of all workers.

    :return: None if it is unknown because a worker shape has faults
    """
    shapes = document_set.sections['worker_shapes'].values()
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


def _format(amount: resources.Resources) -> str:
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
    find_parent_cycles,
    find_share_faults,
    find_quota_faults,
    find_job_faults,
    find_service_faults,
    find_objective_faults,
)
