"""Documents of a set, converted to configuration objects.

This is the second pass over a set, after ``yaml_files``. It checks each object
by itself against the tables of ``fields`` and collects the faults of all
objects. The third pass, ``checks``, checks the objects together; it may
assume that each object it gets is valid by itself.
"""

import dataclasses
import functools
from typing import Any, Final

import cattrs
import cattrs.errors
import cattrs.gen

from borageshelf.configuration import faults
from borageshelf.configuration import fields
from borageshelf.configuration import values
from borageshelf.configuration import yaml_files

# Key under which the name of an object is handed to cattrs; YAML keys cannot
# start with a null character unless they are escaped.
_NAME_KEY: Final = '\0name'


@dataclasses.dataclass(frozen=True)
class Located:
    """An object and where it was declared.

    :param value: the object, or None if it has faults of its own
    """

    value: Any
    document: yaml_files.Document
    path: yaml_files.Path

    def make_fault(
        self, code: faults.FaultCode, field: str, detail: str
    ) -> faults.Fault:
        """Return a fault of the object at the line of a field.

        :param field: name of the field in the document, or ''
        """
        path = (*self.path, field) if field else self.path
        return faults.Fault(
            self.document.path,
            self.document.find_line(path),
            yaml_files.make_subject(path),
            code.number,
            detail,
        )


@dataclasses.dataclass
class DocumentSet:
    """All objects of a set by section and name.

    Single sections, such as ``limits``, have one object named ''.
    """

    sections: dict[str, dict[str, Located]]
    faults: list[faults.Fault]

    def list_valid(self, section: str) -> list[Located]:
        """Return the objects of a section that have no own faults."""
        located = self.sections[section].values()
        return [item for item in located if item.value is not None]


def build_set(texts: list[yaml_files.SourceFile]) -> DocumentSet:
    """Return the objects of all files, with the faults of each."""
    result = DocumentSet({name: {} for name in fields.SECTIONS}, [])
    for text in texts:
        documents, found = yaml_files.parse_file(text)
        result.faults.extend(found)
        for document in documents:
            _add_document(document, result)
    if not result.faults and not any(result.sections.values()):
        detail = 'contains no YAML file with objects'
        result.faults.append(
            faults.Fault('.', 0, 'file', faults.NO_OBJECTS.number, detail)
        )
    return result


def _add_document(document: yaml_files.Document, result: DocumentSet) -> None:
    if document.content is None:
        return
    whole = Located(None, document, ())
    if not isinstance(document.content, dict):
        detail = 'expected a mapping of sections'
        result.faults.append(whole.make_fault(faults.WRONG_TYPE, '', detail))
        return
    for name, content in document.content.items():
        table = fields.SECTIONS.get(name)
        if table is None:
            known = ', '.join(fields.SECTIONS)
            detail = f'is none of: {known}'
            result.faults.append(
                whole.make_fault(faults.UNKNOWN_SECTION, name, detail)
            )
        elif not isinstance(content, dict):
            detail = 'expected a mapping'
            result.faults.append(
                whole.make_fault(faults.WRONG_TYPE, name, detail)
            )
        elif table.is_named:
            for key, value in content.items():
                path = (name, key)
                _add_object(table, document, path, value, result)
        else:
            _add_object(table, document, (name,), content, result)


def _add_object(
    table: fields.Table,
    document: yaml_files.Document,
    path: yaml_files.Path,
    content: Any,
    result: DocumentSet,
) -> None:
    name = path[1] if table.is_named else ''
    located = Located(None, document, path)
    earlier = result.sections[table.name].get(name)
    if earlier is not None:
        code = (
            faults.DUPLICATE_NAME if table.is_named else faults.DUPLICATE_FIELD
        )
        line = earlier.document.find_line(earlier.path)
        detail = f'first declared at {earlier.document.path}:{line}'
        result.faults.append(located.make_fault(code, '', detail))
        return
    value = None
    try:
        if table.is_named:
            values.parse_name(name)
        value = _structure(table, content, name)
    except values.ValueFault as fault:
        result.faults.append(located.make_fault(fault.code, '', fault.detail))
    except cattrs.ClassValidationError as error:
        _add_faults(table, located, error, result.faults)
    if _add_missing(table, located, content, result.faults):
        value = None
    result.sections[table.name][name] = Located(value, document, path)


def _add_missing(
    table: fields.Table,
    located: Located,
    content: Any,
    found: list[faults.Fault],
) -> bool:
    """Add the required fields that are absent; tell whether there are any.

    A field can be required in documents although its class has a default, so
    cattrs does not find them all.
    """
    if not isinstance(content, dict):
        return False
    has_missing = False
    for field in table.fields:
        if field.is_required and field.name not in content:
            has_missing = True
            found.append(
                located.make_fault(faults.MISSING_FIELD, field.name, 'missing')
            )
        elif isinstance(field.type, values.Nested):
            inner = dataclasses.replace(
                located, path=(*located.path, field.name)
            )
            nested = fields.TABLES[field.type.table]
            value = content.get(field.name)
            has_missing |= _add_missing(nested, inner, value, found)
    return has_missing


def _structure(table: fields.Table, content: Any, name: str) -> Any:
    """Return the object of a mapping.

    :raises ValueFault: if the content is no mapping
    :raises ClassValidationError: with the faults of all fields
    """
    if not isinstance(content, dict):
        raise values.ValueFault(faults.WRONG_TYPE, 'expected a mapping')
    content = dict(content)
    if table is fields.JOBS and content.get('idempotent') is False:
        # The general default allows retries, which such a job must not have.
        content.setdefault('attempts', 1)
    if table.is_named:
        content[_NAME_KEY] = name
    return _make_structure(table.name)(content, table.structure)


@functools.cache
def _make_structure(name: str) -> Any:
    """Return the function that cattrs generates for a table."""
    table = fields.TABLES[name]
    overrides: dict[str, Any] = {
        field.attribute: cattrs.gen.override(
            rename=field.name, struct_hook=_make_hook(table, field)
        )
        for field in table.fields
    }
    if table.is_named:
        overrides['name'] = cattrs.gen.override(rename=_NAME_KEY)
    return cattrs.gen.make_dict_structure_fn(
        table.structure,
        cattrs.Converter(),
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,
    )


def _make_hook(table: fields.Table, field: fields.Field) -> Any:
    """Return the function that converts the value of a field."""
    if isinstance(field.type, values.Nested):
        nested = fields.TABLES[field.type.table]
        return lambda value, _type: _structure(nested, value, '')
    attributes = {
        attribute.name: attribute.type
        for attribute in dataclasses.fields(table.structure)
    }
    # One form for equal numbers keeps the content hash of a set stable.
    is_float = attributes[field.attribute] is float
    value_type = field.type

    def convert(value: Any, _type: Any) -> Any:
        result = values.parse_value(value_type, value)
        return float(result) if is_float else result

    return convert


def _add_faults(
    table: fields.Table,
    located: Located,
    error: cattrs.BaseValidationError,
    found: list[faults.Fault],
) -> None:
    """Add the faults that cattrs collected from one object."""
    names = {field.attribute: field for field in table.fields}
    for inner in error.exceptions:
        if isinstance(inner, cattrs.errors.ForbiddenExtraKeysError):
            for name in sorted(inner.extra_fields, key=str):
                known = ', '.join(field.name for field in table.fields)
                detail = f'is none of: {known}'
                found.append(
                    located.make_fault(faults.UNKNOWN_FIELD, name, detail)
                )
            continue
        field = names[_find_attribute(inner)]
        if isinstance(inner, cattrs.ClassValidationError):
            assert isinstance(field.type, values.Nested)
            nested = dataclasses.replace(
                located, path=(*located.path, field.name)
            )
            _add_faults(fields.TABLES[field.type.table], nested, inner, found)
        elif isinstance(inner, values.ValueFault):
            found.append(
                located.make_fault(inner.code, field.name, inner.detail)
            )
        elif not isinstance(inner, KeyError):
            raise inner


def _find_attribute(error: BaseException) -> str:
    """Return the attribute that cattrs noted on an exception."""
    for note in getattr(error, '__notes__', ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            return note.name
    raise error
