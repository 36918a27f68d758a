"""Registry of faults that make a set of configuration documents invalid.

Operators' scripts depend on the numbers, so a number keeps its meaning. A
test compares the table in ``docs/configuration.md`` with the registry.
"""

import dataclasses
from typing import Final


@dataclasses.dataclass(frozen=True)
class FaultCode:
    """One registered kind of fault."""

    number: int
    name: str
    description: str


@dataclasses.dataclass(frozen=True, order=True)
class Fault:
    """One fault of a set.

    :param path: file, relative to the folder of the set
    :param line: line in the file, from 1; 0 if it concerns the whole file
    :param subject: object and field, such as ``jobs/assay.declared``
    :param number: number of the fault code
    """

    path: str
    line: int
    subject: str
    number: int
    detail: str

    def __str__(self) -> str:
        """Return the line to show to the operator."""
        code = REGISTRY[self.number]
        return (
            f'{self.path}:{self.line}: {self.subject}: '
            f'{code.name} ({code.number}): {self.detail}'
        )


REGISTRY: Final[dict[int, FaultCode]] = {}


def register(number: int, name: str, description: str) -> FaultCode:
    """Register a fault code.

    :raises ValueError: if the number or the name is taken
    """
    names = {code.name for code in REGISTRY.values()}
    if number in REGISTRY or name in names:
        raise ValueError(f'fault code {number} {name} is registered twice')
    code = FaultCode(number, name, description)
    REGISTRY[number] = code
    return code


# Faults within one document.
UNREADABLE_FILE = register(
    101, 'UNREADABLE_FILE', 'A file or the folder cannot be read.'
)
FILE_TOO_LARGE = register(102, 'FILE_TOO_LARGE', 'A file exceeds the limit.')
YAML_SYNTAX = register(103, 'YAML_SYNTAX', 'A file is not valid YAML.')
ALIAS_USED = register(104, 'ALIAS_USED', 'A YAML alias is used.')
NO_OBJECTS = register(105, 'NO_OBJECTS', 'The set contains no objects.')
UNKNOWN_SECTION = register(
    106, 'UNKNOWN_SECTION', 'The name of a section is not known.'
)
UNKNOWN_FIELD = register(
    107, 'UNKNOWN_FIELD', 'An object has a field that is not known.'
)
MISSING_FIELD = register(
    108, 'MISSING_FIELD', 'An object lacks a required field.'
)
WRONG_TYPE = register(109, 'WRONG_TYPE', 'A value has the wrong type.')
WRONG_UNIT = register(
    110, 'WRONG_UNIT', 'A quantity has a wrong unit or none.'
)
OUT_OF_RANGE = register(111, 'OUT_OF_RANGE', 'A value is out of its range.')
UNKNOWN_CHOICE = register(
    112, 'UNKNOWN_CHOICE', 'A value is none of the allowed words.'
)
WRONG_NAME = register(113, 'WRONG_NAME', 'A name has a wrong form.')
DUPLICATE_NAME = register(
    114, 'DUPLICATE_NAME', 'Two objects of one kind have the same name.'
)
DUPLICATE_FIELD = register(
    115, 'DUPLICATE_FIELD', 'A field or section is given twice.'
)

# Faults between the objects of a set.
DANGLING_REFERENCE = register(
    201, 'DANGLING_REFERENCE', 'A reference names no object of the set.'
)
CYCLE = register(202, 'CYCLE', 'References form a cycle.')
REPEATED_REFERENCE = register(
    203, 'REPEATED_REFERENCE', 'A list names one object twice.'
)
SHARES_ABOVE_ONE = register(
    204, 'SHARES_ABOVE_ONE', 'Guaranteed shares add up to more than 1.'
)
LIMIT_BELOW_SHARE = register(
    205, 'LIMIT_BELOW_SHARE', 'A limit is below a guaranteed share.'
)
QUOTA_ABOVE_CAPACITY = register(
    206, 'QUOTA_ABOVE_CAPACITY', 'A quota exceeds the declared capacity.'
)
QUOTA_ABOVE_PARENT = register(
    207, 'QUOTA_ABOVE_PARENT', 'A quota exceeds that of the parent team.'
)
JOB_TOO_LARGE = register(
    208, 'JOB_TOO_LARGE', 'A job fits on no worker shape that it may use.'
)
JOB_ABOVE_QUOTA = register(
    209, 'JOB_ABOVE_QUOTA', "A job exceeds its team's quota."
)
RETRIES_NOT_IDEMPOTENT = register(
    210,
    'RETRIES_NOT_IDEMPOTENT',
    'A job that is not idempotent has automatic retries.',
)
SPREAD_IMPOSSIBLE = register(
    211,
    'SPREAD_IMPOSSIBLE',
    'A job has more replicas than data centres over which to spread them.',
)
TIMEOUT_BELOW_TARGET = register(
    212,
    'TIMEOUT_BELOW_TARGET',
    'A time limit of calls is below the latency goal.',
)
NO_OBJECTIVE = register(
    213, 'NO_OBJECTIVE', 'All weights of the objective are zero.'
)
JOB_WITHOUT_SIZE = register(
    214,
    'JOB_WITHOUT_SIZE',
    'A job declares no processor time or no memory.',
)

# Faults of a configuration of the workflow scheduler.
NEVER_MATCHES = register(
    301,
    'NEVER_MATCHES',
    'An entry gets none of the requests that it describes, or not all.',
)
LIMIT_OF_ZERO = register(
    302, 'LIMIT_OF_ZERO', 'A limit is zero, so nothing is served.'
)
OBJECTIVE_TOO_SHORT = register(
    303,
    'OBJECTIVE_TOO_SHORT',
    'An objective is shorter than the work itself takes.',
)
VERSION_NOT_HIGHER = register(
    304,
    'VERSION_NOT_HIGHER',
    'The version would not replace the one in force.',
)
