"""Conversion of YAML documents to configuration objects.

This is the second pass over a set, after ``yaml_files``. It checks each object
on its own against the tables of ``fields`` and collects the faults of all
objects. The third pass, ``checks``, compares the objects with one another; it
may assume that each object it gets is valid on its own.
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

# Key under which cattrs gets the name of an object. It cannot clash with a
# field, because only an escaped YAML key can start with a null character.
_NAME_KEY: Final = '\0name'


@dataclasses.dataclass(frozen=True)
class LocatedObject:
    """An object and the place of its declaration.

    :param value: the object, or None if it has faults of its own
    :param path: keys that lead to the object in the document
    """

    value: Any
    document: yaml_files.Document
    path: yaml_files.Path

    def make_fault(
        self, code: faults.FaultCode, field: str, detail: str
    ) -> faults.Fault:
        """Return a fault at the line of a field of the object.

        :param field: name of the field in the document; '' for the object
        """
        path = (*self.path, field) if field else self.path
        return faults.Fault(
            self.document.path,
            self.document.find_line(path),
            yaml_files.format_subject(path),
            code.number,
            detail,
        )


@dataclasses.dataclass
class DocumentSet:
    """All objects of a set by section and name.

    A section that is one object itself, such as ``limits``, holds it under
    the name ''.
    """

    sections: dict[str, dict[str, LocatedObject]]
    faults: list[faults.Fault]

    def list_valid_objects(self, section: str) -> list[LocatedObject]:
        """Return the objects of a section that are valid on their own."""
        located = self.sections[section].values()
        return [item for item in located if item.value is not None]


def build_document_set(files: list[yaml_files.SourceFile]) -> DocumentSet:
    """Return the objects of all files and the faults found on the way."""
    document_set = DocumentSet({name: {} for name in fields.SECTIONS}, [])
    for file in files:
        documents, found_faults = yaml_files.parse_file(file)
        document_set.faults.extend(found_faults)
        for document in documents:
            _add_document(document, document_set)
    if not document_set.faults and not any(document_set.sections.values()):
        detail = 'contains no YAML file with objects'
        document_set.faults.append(
            faults.Fault('.', 0, 'file', faults.NO_OBJECTS.number, detail)
        )
    return document_set


def _add_document(
    document: yaml_files.Document, document_set: DocumentSet
) -> None:
    if document.content is None:
        return
    root = LocatedObject(None, document, ())
    if not isinstance(document.content, dict):
        detail = 'expected a mapping of sections'
        document_set.faults.append(
            root.make_fault(faults.WRONG_TYPE, '', detail)
        )
        return
    for name, content in document.content.items():
        table = fields.SECTIONS.get(name)
        if table is None:
            known = ', '.join(fields.SECTIONS)
            detail = f'is none of: {known}'
            document_set.faults.append(
                root.make_fault(faults.UNKNOWN_SECTION, name, detail)
            )
        elif not isinstance(content, dict):
            detail = 'expected a mapping'
            document_set.faults.append(
                root.make_fault(faults.WRONG_TYPE, name, detail)
            )
        elif table.is_named:
            for key, value in content.items():
                path = (name, key)
                _add_object(table, document, path, value, document_set)
        else:
            _add_object(table, document, (name,), content, document_set)


def _add_object(
    table: fields.Table,
    document: yaml_files.Document,
    path: yaml_files.Path,
    content: Any,
    document_set: DocumentSet,
) -> None:
    name = path[1] if table.is_named else ''
    located = LocatedObject(None, document, path)
    earlier = document_set.sections[table.name].get(name)
    if earlier is not None:
        code = (
            faults.DUPLICATE_NAME if table.is_named else faults.DUPLICATE_FIELD
        )
        line = earlier.document.find_line(earlier.path)
        detail = f'first declared at {earlier.document.path}:{line}'
        document_set.faults.append(located.make_fault(code, '', detail))
        return
    value = None
    try:
        if table.is_named:
            values.parse_name(name)
        value = _convert_mapping(table, content, name)
    except values.InvalidValueError as fault:
        document_set.faults.append(
            located.make_fault(fault.code, '', fault.detail)
        )
    except cattrs.ClassValidationError as error:
        _add_conversion_faults(table, located, error, document_set.faults)
    if _add_missing_field_faults(table, located, content, document_set.faults):
        value = None
    document_set.sections[table.name][name] = LocatedObject(
        value, document, path
    )


def _add_missing_field_faults(
    table: fields.Table,
    located: LocatedObject,
    content: Any,
    found_faults: list[faults.Fault],
) -> bool:
    """Report absent required fields; return whether there are any.

    cattrs finds only those without a default, but documents may require a
    field whose class has one.
    """
    if not isinstance(content, dict):
        return False
    has_missing = False
    for field in table.fields:
        if field.is_required and field.name not in content:
            has_missing = True
            found_faults.append(
                located.make_fault(faults.MISSING_FIELD, field.name, 'missing')
            )
        elif isinstance(field.type, values.Nested):
            inner = dataclasses.replace(
                located, path=(*located.path, field.name)
            )
            nested = fields.TABLES[field.type.table]
            value = content.get(field.name)
            has_missing |= _add_missing_field_faults(
                nested, inner, value, found_faults
            )
    return has_missing


def _convert_mapping(table: fields.Table, content: Any, name: str) -> Any:
    """Convert a mapping to the object that it describes.

    :raises InvalidValueError: if the content is not a mapping
    :raises ClassValidationError: with the faults of all fields
    """
    if not isinstance(content, dict):
        raise values.InvalidValueError(faults.WRONG_TYPE, 'expected a mapping')
    content = dict(content)
    if table is fields.JOBS and content.get('idempotent') is False:
        # The general default allows retries, which would repeat the effects
        # of a job that is not idempotent.
        content.setdefault('attempts', 1)
    if table.is_named:
        content[_NAME_KEY] = name
    return _make_converter(table.name)(content, table.value_class)


@functools.cache
def _make_converter(name: str) -> Any:
    """Return the conversion function that cattrs generates for a table."""
    table = fields.TABLES[name]
    overrides: dict[str, Any] = {
        field.attribute: cattrs.gen.override(
            rename=field.name, struct_hook=_make_field_hook(table, field)
        )
        for field in table.fields
    }
    if table.is_named:
        overrides['name'] = cattrs.gen.override(rename=_NAME_KEY)
    return cattrs.gen.make_dict_structure_fn(
        table.value_class,
        cattrs.Converter(),
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,
    )


def _make_field_hook(table: fields.Table, field: fields.Field) -> Any:
    """Return the function with which cattrs converts a field's value."""
    if isinstance(field.type, values.Nested):
        nested = fields.TABLES[field.type.table]
        return lambda value, _type: _convert_mapping(nested, value, '')
    attributes = {
        attribute.name: attribute.type
        for attribute in dataclasses.fields(table.value_class)
    }
    # Equal numbers need one form, so that 1 and 1.0 give the same content
    # hash.
    is_float = attributes[field.attribute] is float
    value_type = field.type

    def convert(value: Any, _type: Any) -> Any:
        result = values.parse_value(value_type, value)
        return float(result) if is_float else result

    return convert


def _add_conversion_faults(
    table: fields.Table,
    located: LocatedObject,
    error: cattrs.BaseValidationError,
    found_faults: list[faults.Fault],
) -> None:
    """Report the faults that cattrs collected from one object."""
    fields_by_attribute = {field.attribute: field for field in table.fields}
    for inner_error in error.exceptions:
        if isinstance(inner_error, cattrs.errors.ForbiddenExtraKeysError):
            for name in sorted(inner_error.extra_fields, key=str):
                known = ', '.join(field.name for field in table.fields)
                detail = f'is none of: {known}'
                found_faults.append(
                    located.make_fault(faults.UNKNOWN_FIELD, name, detail)
                )
            continue
        field = fields_by_attribute[_find_noted_attribute(inner_error)]
        if isinstance(inner_error, cattrs.ClassValidationError):
            assert isinstance(field.type, values.Nested)
            nested = dataclasses.replace(
                located, path=(*located.path, field.name)
            )
            _add_conversion_faults(
                fields.TABLES[field.type.table],
                nested,
                inner_error,
                found_faults,
            )
        elif isinstance(inner_error, values.InvalidValueError):
            found_faults.append(
                located.make_fault(
                    inner_error.code, field.name, inner_error.detail
                )
            )
        elif not isinstance(inner_error, KeyError):
            raise inner_error


def _find_noted_attribute(error: BaseException) -> str:
    """Return the attribute that cattrs attached to an exception.

    :raises BaseException: the exception itself, if no attribute is attached
    """
    for note in getattr(error, '__notes__', ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            return note.name
    raise error
