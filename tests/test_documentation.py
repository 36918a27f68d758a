"""Compares tables of the documentation with the registries of the code."""

import dataclasses
import pathlib
import re

from borageshelf.commands import statuses
from borageshelf.configuration import faults
from borageshelf.configuration import fields
from borageshelf import options

DOCS = pathlib.Path(__file__).parents[1] / 'docs'
PACKAGE = pathlib.Path(__file__).parents[1] / 'borageshelf'


def read_rows(name: str, heading: str = '') -> set[tuple[str, ...]]:
    """Return the cells of all table rows, or only of those below a heading."""
    text = (DOCS / name).read_text()
    if heading:
        text = text.partition(f'### `{heading}`\n')[2].partition('\n##')[0]
    return {
        tuple(cell.strip(' `') for cell in line.strip('|').split('|'))
        for line in text.splitlines()
        if line.startswith('|')
    }


def test_fault_codes() -> None:
    """Guards against fault codes that the documentation lacks."""
    rows = read_rows('configuration.md')
    for code in faults.REGISTRY.values():
        assert (str(code.number), code.name, code.description) in rows
    documented = {row[0] for row in rows if row[0].isdigit()}
    assert documented == {str(number) for number in faults.REGISTRY}


def test_fields_of_documents() -> None:
    """Guards against fields that the documentation describes wrongly."""
    for table in fields.TABLES.values():
        rows = {
            row[0]: row for row in read_rows('configuration.md', table.name)
        }
        names = {field.name for field in table.fields}
        assert rows.keys() - {'field', '---'} == names
        for field in table.fields:
            row = rows[field.name]
            assert row[3] == field.description
            assert (row[2] == 'required') == field.is_required


def test_settings() -> None:
    """Guards against settings that the documentation lacks or has wrong."""
    rows = read_rows('commands.md')
    for kind in options.KINDS:
        defaults = {
            field.name: field.default for field in dataclasses.fields(kind)
        }
        for setting in options.list_settings(kind):
            default = defaults[setting.field]
            if setting.is_required:
                default = 'required'
            elif default in ('', None, ()):
                default = 'none'
            flag = '' if setting.is_secret else f'--{setting.flag}'
            row = (flag, setting.variable, str(default), setting.help)
            assert row in rows


def test_exit_statuses() -> None:
    """Guards against exit statuses that the documentation lacks."""
    rows = {row[:2] for row in read_rows('commands.md') if row[0].isdigit()}
    expected = {
        (str(value), name)
        for name, value in vars(statuses).items()
        if name.isupper() and isinstance(value, int)
    }
    assert rows == expected


def test_metrics_are_sent() -> None:
    """Guards against registered metrics that no module sends."""
    registry = PACKAGE / 'telemetry.py'
    names = re.findall(r'^([A-Z_]+) = register\(', registry.read_text(), re.M)
    assert names
    texts = [
        path.read_text() for path in PACKAGE.rglob('*.py') if path != registry
    ]
    unused = [
        name
        for name in names
        if not any(re.search(rf'\.{name}\b', text) for text in texts)
    ]
    assert unused == []
