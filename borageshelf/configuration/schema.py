"""JSON schema of configuration documents, for use in editors.

It covers single documents: sections, fields, types and units. References and
the other checks between objects need ``borageshelf check``.
"""

import json
from typing import Any

from borageshelf.configuration import fields
from borageshelf.configuration import values


def make_schema() -> dict[str, Any]:
    """Return the JSON schema of one document."""
    return {
        '$schema': 'https://json-schema.org/draft/2020-12/schema',
        'title': 'borageshelf configuration',
        'type': 'object',
        'additionalProperties': False,
        'properties': {
            name: _describe_section(table)
            for name, table in fields.SECTIONS.items()
        },
        '$defs': {
            table.name: _describe_table(table)
            for table in fields.TABLES.values()
        },
    }


def render_schema() -> str:
    """Return the text of the schema file in the documentation."""
    return json.dumps(make_schema(), indent=2) + '\n'


def _describe_section(table: fields.Table) -> dict[str, Any]:
    reference = {'$ref': f'#/$defs/{table.name}'}
    if not table.is_named:
        return reference
    return {
        'type': 'object',
        'description': table.description,
        'propertyNames': {'pattern': f'^{values.NAME_PATTERN}$'},
        'additionalProperties': reference,
    }


def _describe_table(table: fields.Table) -> dict[str, Any]:
    return {
        'type': 'object',
        'description': table.description,
        'additionalProperties': False,
        'required': [
            field.name for field in table.fields if field.is_required
        ],
        'properties': {
            field.name: {
                **values.describe_type(field.type),
                'description': field.description,
            }
            for field in table.fields
        },
    }
