"""Exit statuses of the commands.

Scripts depend on the numbers; ``docs/commands.md`` lists them.
"""

from typing import Final

from borageshelf import errors

OK: Final = 0
INTERNAL: Final = 1
WRONG_SETTINGS: Final = 2
# Statuses of operators' commands.
FAULTS_FOUND: Final = 3
RACE_LOST: Final = 4
UNAVAILABLE: Final = 5
OUTCOME_UNKNOWN: Final = 6
NOT_CONFIRMED: Final = 7
NOT_FOUND: Final = 8
DIFFERENT: Final = 9
# Statuses of callers' commands, by what is certain about the work.
NOT_RUN: Final = 10
FAILED: Final = 11
UNKNOWN: Final = 12
PENDING: Final = 13
STATE_UNREAD: Final = 14

_BY_CATEGORY: Final = {
    errors.Category.DONE: OK,
    errors.Category.NOT_RUN: NOT_RUN,
    errors.Category.FAILED: FAILED,
    errors.Category.UNKNOWN: UNKNOWN,
    errors.Category.PENDING: PENDING,
}
_BY_CODE: Final = {
    errors.STORE_UNAVAILABLE: UNAVAILABLE,
    errors.STORE_UNCERTAIN: OUTCOME_UNKNOWN,
    errors.OUTCOME_UNKNOWN: OUTCOME_UNKNOWN,
    errors.NOT_FOUND: NOT_FOUND,
    errors.VALUE_TOO_LARGE: FAULTS_FOUND,
}


def find_work_status(code: errors.ResultCode) -> int:
    """Return the exit status for the result code of submitted work."""
    return _BY_CATEGORY[code.category]


def find_read_status(code: errors.ResultCode) -> int:
    """Return the exit status for a failed request about existing work.

    Such a failure tells nothing about the work, so the status is never that
    of work that did not run, whatever the code tells about the request.
    """
    return NOT_FOUND if code is errors.UNKNOWN_JOB else STATE_UNREAD


def find_operator_status(code: errors.ResultCode) -> int:
    """Return the exit status of an operator's command for a result code."""
    return _BY_CODE.get(code, INTERNAL)
