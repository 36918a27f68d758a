"""Registry of result codes and the exception that carries one.

Every answer to a caller or an operator other than a plain success carries one
of these codes. A test compares ``docs/result-codes.md`` with the registry, so
a code that is added here must be documented there.
"""

import dataclasses
import enum
from typing import Final


class Category(enum.Enum):
    """What a caller may conclude about the requested work."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'
    PENDING = 'pending'


@dataclasses.dataclass(frozen=True)
class ResultCode:
    """One registered result.

    :param number: stable number, never reused
    :param name: stable name
    :param category: what a caller may conclude about the work
    :param http_status: status of the HTTP answer that carries the code
    :param description: one sentence for the documentation table
    """

    number: int
    name: str
    category: Category
    http_status: int
    description: str


REGISTRY: Final[dict[int, ResultCode]] = {}


class BorageshelfError(Exception):
    """An error with a registered result code.

    :param code: the registered code
    :param detail: explanation for people; names the faulty name or value
    :param retry_deadline_ms: Unix milliseconds before which a retry cannot
        succeed, or 0
    """

    def __init__(
        self, code: ResultCode, detail: str = '', retry_deadline_ms: int = 0
    ) -> None:
        super().__init__(f'{code.name} ({code.number}): {detail}')
        self.code = code
        self.detail = detail
        self.retry_deadline_ms = retry_deadline_ms


def register(
    number: int,
    name: str,
    category: Category,
    http_status: int,
    description: str,
) -> ResultCode:
    """Register a result code.

    :raises ValueError: if the number or the name is already registered
    """
    names = {code.name for code in REGISTRY.values()}
    if number in REGISTRY or name in names:
        raise ValueError(f'result code {number} {name} is registered twice')
    code = ResultCode(number, name, category, http_status, description)
    REGISTRY[number] = code
    return code


def find(number: int) -> ResultCode:
    """Return the code with this number, or ``INTERNAL`` if unknown."""
    return REGISTRY.get(number, INTERNAL)


OK = register(0, 'OK', Category.DONE, 200, 'The work is done.')
PENDING = register(
    1, 'PENDING', Category.PENDING, 202, 'The work is accepted, not finished.'
)

# Requests that are refused because of their content.
BAD_REQUEST = register(
    100, 'BAD_REQUEST', Category.NOT_RUN, 400, 'The request is malformed.'
)
UNKNOWN_SERVICE = register(
    101, 'UNKNOWN_SERVICE', Category.NOT_RUN, 404, 'No such service.'
)
UNKNOWN_JOB = register(
    102, 'UNKNOWN_JOB', Category.NOT_RUN, 404, 'No such job.'
)
BODY_TOO_LARGE = register(
    103, 'BODY_TOO_LARGE', Category.NOT_RUN, 413, 'The body is too large.'
)
WRONG_METHOD = register(
    104, 'WRONG_METHOD', Category.NOT_RUN, 405, 'The method is not allowed.'
)
UNKNOWN_TEAM = register(
    105, 'UNKNOWN_TEAM', Category.NOT_RUN, 403, 'No such team.'
)
UNAUTHENTICATED = register(
    106, 'UNAUTHENTICATED', Category.NOT_RUN, 401, 'The token is not valid.'
)
NOT_FOUND = register(
    107, 'NOT_FOUND', Category.NOT_RUN, 404, 'No such resource.'
)
REQUEST_TIMEOUT = register(
    108,
    'REQUEST_TIMEOUT',
    Category.NOT_RUN,
    408,
    'The request did not arrive in time.',
)

# Requests that are refused because of the state of the system.
OVERLOADED = register(
    200, 'OVERLOADED', Category.NOT_RUN, 429, 'The queue is full.'
)
QUOTA_EXCEEDED = register(
    201,
    'QUOTA_EXCEEDED',
    Category.NOT_RUN,
    429,
    "The team's quota is used up.",
)
DEADLINE_TOO_CLOSE = register(
    202,
    'DEADLINE_TOO_CLOSE',
    Category.NOT_RUN,
    503,
    'The expected wait exceeds the deadline.',
)
DEADLINE_PASSED = register(
    203,
    'DEADLINE_PASSED',
    Category.NOT_RUN,
    504,
    'The deadline passed before the work started.',
)
NO_TARGET = register(
    204, 'NO_TARGET', Category.NOT_RUN, 503, 'No target can take the work.'
)
LEAVING = register(
    205, 'LEAVING', Category.NOT_RUN, 503, 'The process is shutting down.'
)
NOT_OWNER = register(
    206,
    'NOT_OWNER',
    Category.NOT_RUN,
    503,
    'No reachable entry owns the shard now.',
)
NO_CONFIGURATION = register(
    207,
    'NO_CONFIGURATION',
    Category.NOT_RUN,
    503,
    'No configuration is in force yet.',
)
STALE_EPOCH = register(
    208,
    'STALE_EPOCH',
    Category.NOT_RUN,
    503,
    'The message is from an earlier owner of the shard.',
)
NO_CAPACITY = register(
    209,
    'NO_CAPACITY',
    Category.NOT_RUN,
    503,
    'The VM cannot hold the task beside what it runs.',
)
CANCELLED = register(
    210,
    'CANCELLED',
    Category.NOT_RUN,
    409,
    'The work was cancelled before it started.',
)
CONFIGURATION_UNCONFIRMED = register(
    211,
    'CONFIGURATION_UNCONFIRMED',
    Category.NOT_RUN,
    503,
    'The process cannot confirm its configuration version.',
)
NO_ROOM = register(
    212,
    'NO_ROOM',
    Category.NOT_RUN,
    503,
    'The process holds too many unfinished requests.',
)

# Work that ran or may have run.
OUTCOME_UNKNOWN = register(
    300,
    'OUTCOME_UNKNOWN',
    Category.UNKNOWN,
    502,
    'The work may or may not have run.',
)
DUPLICATE_KEY = register(
    301,
    'DUPLICATE_KEY',
    Category.UNKNOWN,
    409,
    'A request with this key was accepted before.',
)
JOB_NEVER_FITS = register(
    302,
    'JOB_NEVER_FITS',
    Category.NOT_RUN,
    409,
    'No VM is large enough for the job.',
)
JOB_FAILS_EVERYWHERE = register(
    303,
    'JOB_FAILS_EVERYWHERE',
    Category.FAILED,
    409,
    'The job failed on several different VMs.',
)
TASK_FAILED = register(
    304, 'TASK_FAILED', Category.FAILED, 502, 'The task reported a failure.'
)
STOPPED = register(
    305,
    'STOPPED',
    Category.FAILED,
    409,
    'The work was stopped after it had started.',
)
EXECUTOR_FAILED = register(
    306,
    'EXECUTOR_FAILED',
    Category.FAILED,
    502,
    'The executor failed the call.',
)
ANSWER_TRUNCATED = register(
    307,
    'ANSWER_TRUNCATED',
    Category.UNKNOWN,
    502,
    'The answer broke off before its end.',
)

RESULT_TOO_LARGE = register(
    308,
    'RESULT_TOO_LARGE',
    Category.FAILED,
    409,
    'The task finished, but its result exceeds the limit.',
)
TASK_CRASHES_WORKERS = register(
    309,
    'TASK_CRASHES_WORKERS',
    Category.FAILED,
    409,
    'Several workers crashed while they ran the task.',
)

# Platform services.
STORE_UNAVAILABLE = register(
    400,
    'STORE_UNAVAILABLE',
    Category.NOT_RUN,
    503,
    'The store did not take the request.',
)
STORE_UNCERTAIN = register(
    401,
    'STORE_UNCERTAIN',
    Category.UNKNOWN,
    503,
    'The store may have applied the write.',
)
STORE_CONFLICT = register(
    402,
    'STORE_CONFLICT',
    Category.NOT_RUN,
    409,
    'The key has another revision than expected.',
)
VALUE_TOO_LARGE = register(
    403,
    'VALUE_TOO_LARGE',
    Category.NOT_RUN,
    413,
    'The value exceeds the store limit.',
)
LEASE_LOST = register(
    404, 'LEASE_LOST', Category.NOT_RUN, 410, 'The lease has lapsed.'
)
WORKER_UNAVAILABLE = register(
    405,
    'WORKER_UNAVAILABLE',
    Category.UNKNOWN,
    503,
    'The worker did not answer.',
)
WORKER_REFUSED = register(
    406, 'WORKER_REFUSED', Category.NOT_RUN, 409, 'The worker refused.'
)

INTERNAL = register(
    999, 'INTERNAL', Category.UNKNOWN, 500, 'An internal error occurred.'
)
