"""Differences between two configurations, by object and field."""

from collections import abc
import dataclasses
from typing import Any

from borageshelf.configuration import fields
from borageshelf.configuration import rendering
from borageshelf.model import objects
from borageshelf.model import workflows


@dataclasses.dataclass(frozen=True)
class FieldChange:
    """One changed field, with its values in the form of documents.

    :param old: None if the field was absent before
    :param new: None if the field is absent now
    """

    field: str
    old: Any
    new: Any


@dataclasses.dataclass(frozen=True)
class Change:
    """One added, removed or changed object.

    :param subject: such as ``jobs/ledgers``
    :param kind: ``added``, ``removed`` or ``changed``
    """

    subject: str
    kind: str
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        """Return the lines to show to the operator."""
        lines = [f'{self.kind} {self.subject}']
        lines.extend(
            f'  {change.field}: {change.old} -> {change.new}'
            for change in self.fields
        )
        return '\n'.join(lines)


def find_changes(
    old: objects.Configuration, new: objects.Configuration
) -> tuple[Change, ...]:
    """Return the changes between two sets, sorted by section and name."""
    return tuple(_compare_sections(old, new))


def find_queue_changes(
    old: workflows.QueueConfiguration,
    new: workflows.QueueConfiguration,
    names: abc.Mapping[str, str],
) -> tuple[Change, ...]:
    """Return the changes between two configurations of workflows.

    The version is left out, as it always changes.

    :param names: names of sections and fields in documents
    """
    before = rendering.render_queue_objects(old, names)
    after = rendering.render_queue_objects(new, names)
    changes = []
    for subject in sorted(before.keys() | after.keys()):
        if subject not in before:
            changes.append(Change(subject, 'added'))
        elif subject not in after:
            changes.append(Change(subject, 'removed'))
        elif before[subject] != after[subject]:
            changes.append(
                _compare_fields(subject, before[subject], after[subject])
            )
    return tuple(changes)


def _compare_sections(
    old: objects.Configuration, new: objects.Configuration
) -> abc.Iterator[Change]:
    for section, table in fields.SECTIONS.items():
        before = getattr(old, section)
        after = getattr(new, section)
        if not table.is_named:
            if before != after:
                yield _compare_objects(table, section, before, after)
            continue
        for name in sorted(before.keys() | after.keys()):
            subject = f'{section}/{name}'
            if name not in before:
                yield Change(subject, 'added')
            elif name not in after:
                yield Change(subject, 'removed')
            elif before[name] != after[name]:
                yield _compare_objects(
                    table, subject, before[name], after[name]
                )


def _compare_objects(
    table: fields.Table, subject: str, before: Any, after: Any
) -> Change:
    return _compare_fields(
        subject,
        rendering.render_object(table, before),
        rendering.render_object(table, after),
    )


def _compare_fields(
    subject: str, old: abc.Mapping[str, Any], new: abc.Mapping[str, Any]
) -> Change:
    return Change(
        subject,
        'changed',
        tuple(
            FieldChange(name, old.get(name), new.get(name))
            for name in dict.fromkeys([*old, *new])
            if old.get(name) != new.get(name)
        ),
    )
