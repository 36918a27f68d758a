"""Renders configuration objects as YAML documents.

Reading the result gives the same objects, so that operators can edit a
published version and a rollback can pass all checks again.
"""

from collections import abc
import dataclasses
import enum
import functools
from typing import Any

import yaml

from borageshelf.configuration import fields
from borageshelf.configuration import values
from borageshelf.model import objects
from borageshelf.model import workflows


def render_document(configuration: objects.Configuration) -> str:
    """Return a whole set as one YAML document."""
    return yaml.safe_dump(
        render_sections(configuration),
        sort_keys=False,
        allow_unicode=True,
        default_flow_style=False,
    )


def render_sections(
    configuration: objects.Configuration,
) -> dict[str, Any]:
    """Return a set as the plain mappings and lists of a document."""
    sections: dict[str, Any] = {}
    for name, table in fields.SECTIONS.items():
        value = getattr(configuration, name)
        if not table.is_named:
            if value != table.value_class():
                sections[name] = render_object(table, value)
        elif value:
            sections[name] = {
                key: render_object(table, item) for key, item in value.items()
            }
    return sections


def render_queue_objects(
    configuration: workflows.QueueConfiguration, names: abc.Mapping[str, str]
) -> dict[str, dict[str, Any]]:
    """Return the entries of a configuration of workflows, by subject.

    :param names: names of sections and fields in documents
    """
    rendered = {
        f'{names["services"]}/{service}': {
            names['guarded']: service in configuration.guarded_services
        }
        for service in configuration.services
    }
    entries = {names['limits']: dataclasses.asdict(configuration.limits)}
    for queue in configuration.queues:
        entries[f'{names["queues"]}/{queue.name}'] = dataclasses.asdict(queue)
    for subject, fields_of_entry in entries.items():
        rendered[subject] = {
            names[attribute]: value
            for attribute, value in fields_of_entry.items()
        }
    return rendered


def render_object(table: fields.Table, value: Any) -> dict[str, Any]:
    """Return the fields of an object without empty optional ones."""
    rendered = {}
    for field in table.fields:
        content = getattr(value, field.attribute)
        if content == '' and not field.is_required:
            continue
        rendered[field.name] = _render_value(field.type, content)
    return rendered


@functools.singledispatch
def _render_value(value_type: object, value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, tuple):
        return list(value)
    return value


@_render_value.register
def _(value_type: values.Number, value: Any) -> Any:
    return int(value) if value == int(value) else value


@_render_value.register
def _(value_type: values.Nested, value: Any) -> Any:
    return render_object(fields.TABLES[value_type.table], value)


@_render_value.register
def _(value_type: values.Quantity, value: Any) -> str:
    """Render a quantity in the largest unit that leaves no fraction."""
    return _format_quantity(int(value), value_type.units)


def _format_quantity(amount: int, units: abc.Mapping[str, int]) -> str:
    fitting = [
        (factor, unit)
        for unit, factor in units.items()
        if amount % factor == 0
    ]
    factor, unit = max(fitting)
    if amount == 0:
        factor, unit = min(fitting)
    return f'{amount // factor} {unit}'
