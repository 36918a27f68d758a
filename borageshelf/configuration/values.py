"""Types of the values in configuration documents.

Every type has a parser for YAML values and a JSON schema. Both follow from
the same attributes, so that the schema and the parser accept the same values.
"""

from collections import abc
import dataclasses
import enum
import functools
import math
import re
from typing import Any, Final

from borageshelf.configuration import faults

NAME_PATTERN: Final = '[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'
TEXT_LIMIT_CHARACTERS: Final = 1000

_NAME_EXPRESSION: Final = re.compile(NAME_PATTERN)


class InvalidValueError(ValueError):
    """Raised for a value that does not match its type.

    :param code: fault code to report
    """

    def __init__(self, code: faults.FaultCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail


@dataclasses.dataclass(frozen=True)
class Integer:
    """A whole number."""

    minimum: int
    maximum: int


@dataclasses.dataclass(frozen=True)
class Number:
    """A number, with or without a fraction."""

    minimum: float
    maximum: float


@dataclasses.dataclass(frozen=True)
class Boolean:
    """True or false."""


@dataclasses.dataclass(frozen=True)
class Text:
    """Free text for people; it must not be empty."""


@dataclasses.dataclass(frozen=True)
class Name:
    """A name that does not refer to an object."""


@dataclasses.dataclass(frozen=True)
class Reference:
    """The name of another object.

    :param section: section that must contain the object
    """

    section: str


@dataclasses.dataclass(frozen=True)
class References:
    """A list of names of other objects.

    :param section: section that must contain the objects
    """

    section: str


@dataclasses.dataclass(frozen=True)
class Choice:
    """One of several allowed words.

    :param enumeration: enumeration whose values are the words, if there is
        one
    :param words: the words, if there is no enumeration
    """

    enumeration: type[enum.Enum] | None = None
    words: tuple[str, ...] = ()

    @property
    def allowed(self) -> tuple[str, ...]:
        """The allowed words."""
        if self.enumeration is None:
            return self.words
        return tuple(str(item.value) for item in self.enumeration)


@dataclasses.dataclass(frozen=True)
class Quantity:
    """A number with a unit, such as ``4 cores``.

    :param units: factor of each unit. Results are in the unit with factor 1,
        which takes no fraction. The other factors are multiples of 1000, so
        that up to three decimals give a whole number.
    :param minimum: in the unit with factor 1
    :param maximum: in the unit with factor 1
    """

    units: abc.Mapping[str, int]
    minimum: int
    maximum: int

    @functools.cached_property
    def pattern(self) -> str:
        """Regular expression that the text must match."""
        alternatives = (
            f'[0-9]{{1,15}} {unit}'
            if factor == 1
            else rf'[0-9]{{1,15}}(\.[0-9]{{1,3}})? {unit}'
            for unit, factor in self.units.items()
        )
        return '^(' + '|'.join(alternatives) + ')$'


@dataclasses.dataclass(frozen=True)
class Nested:
    """A mapping with fields of its own.

    :param table: name of the table that lists the fields
    """

    table: str


ValueType = (
    Integer
    | Number
    | Boolean
    | Text
    | Name
    | Reference
    | References
    | Choice
    | Quantity
    | Nested
)


def parse_name(value: object) -> str:
    """Return a name after checking its form.

    :raises InvalidValueError: ``WRONG_NAME``
    """
    if not isinstance(value, str) or _NAME_EXPRESSION.fullmatch(value) is None:
        raise InvalidValueError(
            faults.WRONG_NAME,
            f'{value!r} is not 1 to 63 lower-case letters, digits or dashes, '
            'with no dash at either end',
        )
    return value


@functools.singledispatch
def parse_value(value_type: object, value: object) -> Any:
    """Convert a YAML value to the value of a type.

    :raises InvalidValueError: if it does not match the type
    """
    raise TypeError(f'no parser for {type(value_type).__name__}')


@parse_value.register
def _(value_type: Integer, value: object) -> int:
    # bool is a subclass of int, but true is not a number in a document.
    if isinstance(value, bool) or not isinstance(value, int):
        raise _make_type_error('a whole number', value)
    _check_range(value_type, value)
    return value


@parse_value.register
def _(value_type: Number, value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise _make_type_error('a number', value)
    if not math.isfinite(value):
        raise InvalidValueError(faults.OUT_OF_RANGE, f'{value} is not finite')
    _check_range(value_type, value)
    return float(value)


@parse_value.register
def _(value_type: Boolean, value: object) -> bool:
    if not isinstance(value, bool):
        raise _make_type_error('true or false', value)
    return value


@parse_value.register
def _(value_type: Text, value: object) -> str:
    if not isinstance(value, str):
        raise _make_type_error('text', value)
    if not 1 <= len(value) <= TEXT_LIMIT_CHARACTERS:
        raise InvalidValueError(
            faults.OUT_OF_RANGE,
            f'text must have 1 to {TEXT_LIMIT_CHARACTERS} characters',
        )
    return value


@parse_value.register
def _(value_type: Name, value: object) -> str:
    return parse_name(value)


@parse_value.register
def _(value_type: Reference, value: object) -> str:
    return parse_name(value)


@parse_value.register
def _(value_type: References, value: object) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise _make_type_error('a list of names', value)
    return tuple(map(parse_name, value))


@parse_value.register
def _(value_type: Choice, value: object) -> Any:
    if not isinstance(value, str):
        raise _make_type_error('a word', value)
    if value not in value_type.allowed:
        words = ', '.join(value_type.allowed)
        raise InvalidValueError(
            faults.UNKNOWN_CHOICE, f'{value!r} is none of: {words}'
        )
    if value_type.enumeration is None:
        return value
    return value_type.enumeration(value)


@parse_value.register
def _(value_type: Quantity, value: object) -> int:
    units = ' or '.join(value_type.units)
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        raise InvalidValueError(
            faults.WRONG_UNIT, f'{value} lacks a unit; write {units}'
        )
    if not isinstance(value, str):
        raise _make_type_error('a quantity', value)
    if re.fullmatch(value_type.pattern, value) is None:
        raise InvalidValueError(
            faults.WRONG_UNIT,
            f'{value!r} is not a number, one space and {units}',
        )
    amount, unit = value.split(' ')
    whole, _separator, fraction = amount.partition('.')
    factor = value_type.units[unit]
    # Integer arithmetic, because a floating-point product can be off by one.
    thousandths = int(whole) * 1000 + int(fraction.ljust(3, '0'))
    result = thousandths * factor // 1000
    if not value_type.minimum <= result <= value_type.maximum:
        smallest_unit = next(iter(value_type.units))
        raise InvalidValueError(
            faults.OUT_OF_RANGE,
            f'{value} is not from {value_type.minimum} to '
            f'{value_type.maximum} {smallest_unit}',
        )
    return result


@functools.singledispatch
def describe_type(value_type: object) -> dict[str, Any]:
    """Return the JSON schema of a type."""
    raise TypeError(f'no schema for {type(value_type).__name__}')


@describe_type.register
def _(value_type: Integer) -> dict[str, Any]:
    return {
        'type': 'integer',
        'minimum': value_type.minimum,
        'maximum': value_type.maximum,
    }


@describe_type.register
def _(value_type: Number) -> dict[str, Any]:
    return {
        'type': 'number',
        'minimum': value_type.minimum,
        'maximum': value_type.maximum,
    }


@describe_type.register
def _(value_type: Boolean) -> dict[str, Any]:
    return {'type': 'boolean'}


@describe_type.register
def _(value_type: Text) -> dict[str, Any]:
    return {
        'type': 'string',
        'minLength': 1,
        'maxLength': TEXT_LIMIT_CHARACTERS,
    }


@describe_type.register(Name)
@describe_type.register(Reference)
def _(value_type: Name | Reference) -> dict[str, Any]:
    return {'type': 'string', 'pattern': f'^{NAME_PATTERN}$'}


@describe_type.register
def _(value_type: References) -> dict[str, Any]:
    return {
        'type': 'array',
        'items': {'type': 'string', 'pattern': f'^{NAME_PATTERN}$'},
    }


@describe_type.register
def _(value_type: Choice) -> dict[str, Any]:
    return {'type': 'string', 'enum': list(value_type.allowed)}


@describe_type.register
def _(value_type: Quantity) -> dict[str, Any]:
    return {'type': 'string', 'pattern': value_type.pattern}


@describe_type.register
def _(value_type: Nested) -> dict[str, Any]:
    return {'$ref': f'#/$defs/{value_type.table}'}


def _check_range(value_type: Integer | Number, value: float) -> None:
    if not value_type.minimum <= value <= value_type.maximum:
        raise InvalidValueError(
            faults.OUT_OF_RANGE,
            f'{value} is not from {value_type.minimum} to '
            f'{value_type.maximum}',
        )


def _make_type_error(expected: str, value: object) -> InvalidValueError:
    type_names = {dict: 'a mapping', list: 'a list', type(None): 'nothing'}
    found = type_names.get(type(value), repr(value))
    return InvalidValueError(
        faults.WRONG_TYPE, f'expected {expected}, not {found}'
    )
