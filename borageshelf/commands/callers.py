"""The commands of callers: submit, cancel, status and wait.

The exit status follows from the category of the work's result code. A failed
request about an existing job tells nothing about the job, so its status never
means that the job did not run.
"""

import pathlib
import time
from typing import Any, Final
import urllib.parse

import cleo.helpers

from borageshelf.commands import base
from borageshelf.commands import http_documents
from borageshelf.commands import statuses
from borageshelf import errors
from borageshelf import options as options_module

DEFAULT_WAIT_MS: Final = 600_000
# Longest wait per request. It is short enough that a planned stop of the entry
# need not wait for it.
WAIT_REQUEST_LIMIT_MS: Final = 30_000
# Time for sending the request and its answer, in addition to the wait.
WAIT_ANSWER_MARGIN_S: Final = 10.0
RETRY_PAUSE_S: Final = 1.0

_ID_ARGUMENT: Final = cleo.helpers.argument('job-id', 'Id of the job')
_COMMON_OPTIONS: Final = [
    base.JSON_FLAG,
    *base.make_flags(options_module.CallerOptions),
]


class CallerCommand(base.Command):
    """Base of the callers' commands, which send requests to an entry."""

    def find_exit_status(self, code: errors.ResultCode) -> int:
        """Return the exit status for a failed request."""
        return statuses.find_read_status(code)

    def describe_work(self, code: errors.ResultCode) -> str:
        """Return what a failed request tells about the job: nothing."""
        return errors.Category.UNKNOWN.value

    def send(
        self,
        method: str,
        path: str,
        document: object = None,
        timeout_s: float = http_documents.REQUEST_TIMEOUT_S,
    ) -> Any:
        """Send a request to an entry and return the document of its answer.

        :raises BorageshelfError: with the code of a refusal, or
            ``OUTCOME_UNKNOWN`` if the answer is malformed
        """
        settings = self.read_options(options_module.CallerOptions)
        client = http_documents.Client(settings.entry_url)
        answer = client.send(method, path, document, timeout_s)
        job = http_documents.check_answer(answer)
        if not isinstance(job, dict) or not isinstance(job.get('code'), int):
            raise errors.BorageshelfError(
                errors.OUTCOME_UNKNOWN, 'the answer is malformed'
            )
        return job

    def report_job(self, job: Any) -> int:
        """Print the state of a job and return the exit status."""
        if self.is_json_requested():
            self.print_json(job)
        else:
            self.print_text(f'{job.get("job_id")}: {job.get("code_name")}')
            for task in job.get('tasks', ()):
                self.print_text(
                    f'  {task["task_id"]}: {task["phase"]}, attempt '
                    f'{task["attempt"]}'
                )
            if job.get('result'):
                self.print_text(str(job['result']))
        return statuses.find_work_status(errors.find(job['code']))

    def make_job_path(self) -> str:
        """Return the URL path of the job that the argument names."""
        job_id = urllib.parse.quote(self.argument('job-id'), safe='')
        return f'/v1/jobs/{job_id}'


class SubmitCommand(CallerCommand):
    """Submit a job."""

    name = 'submit'
    description = 'Submits a job'
    arguments = [cleo.helpers.argument('job', 'Name of a configured job')]
    options = [
        cleo.helpers.option(
            'key',
            description=(
                'Idempotency key; a repeated submission with it gives the '
                'same job'
            ),
            flag=False,
        ),
        cleo.helpers.option(
            'arguments', description='Text for the task', flag=False
        ),
        cleo.helpers.option(
            'arguments-file',
            description='File with the text for the task',
            flag=False,
        ),
        *_COMMON_OPTIONS,
    ]

    def execute_command(self) -> int:
        """Submit the job and print its id."""
        request = {
            'job': self.argument('job'),
            'key': self.option('key') or '',
            'arguments': self._read_arguments(),
        }
        job = self.send('POST', '/v1/jobs', request)
        status = self.report_job(job)
        # A pending job is durably accepted, so the submission succeeded.
        return statuses.OK if status == statuses.PENDING else status

    def find_exit_status(self, code: errors.ResultCode) -> int:
        """Return the exit status for a refused submission."""
        return statuses.find_work_status(code)

    def describe_work(self, code: errors.ResultCode) -> str:
        """Return what a refusal tells about the job."""
        return code.category.value

    def _read_arguments(self) -> str:
        path = self.option('arguments-file')
        if path and self.option('arguments'):
            raise base.UsageError(
                '--arguments and --arguments-file exclude each other'
            )
        if not path:
            return self.option('arguments') or ''
        try:
            return pathlib.Path(path).read_text()
        except (OSError, ValueError) as error:
            raise base.UsageError(f'{path}: {error}') from error


class StatusCommand(CallerCommand):
    """Show the state of a job."""

    name = 'status'
    description = 'Shows the state of a job'
    arguments = [_ID_ARGUMENT]
    options = _COMMON_OPTIONS

    def execute_command(self) -> int:
        """Print the state of the job."""
        return self.report_job(self.send('GET', self.make_job_path()))


class CancelCommand(CallerCommand):
    """Cancel a job."""

    name = 'cancel'
    description = 'Cancels a job'
    arguments = [_ID_ARGUMENT]
    options = _COMMON_OPTIONS

    def execute_command(self) -> int:
        """Cancel the job and print its state, which may still be pending."""
        return self.report_job(self.send('DELETE', self.make_job_path()))


class WaitCommand(CallerCommand):
    """Wait for the end of a job."""

    name = 'wait'
    description = 'Waits until a job has ended'
    arguments = [_ID_ARGUMENT]
    options = [
        cleo.helpers.option(
            'limit-ms',
            description='Time limit of the wait in milliseconds',
            flag=False,
        ),
        *_COMMON_OPTIONS,
    ]

    def execute_command(self) -> int:
        """Send requests until the job has ended or the time limit passes.

        Failed requests are repeated, because the job goes on whether or not
        an entry answers.
        """
        limit_ms = self.read_integer(
            'limit-ms', self.option('limit-ms'), DEFAULT_WAIT_MS
        )
        deadline_s = time.monotonic() + limit_ms / 1000
        while True:
            remaining_ms = max(int((deadline_s - time.monotonic()) * 1000), 0)
            wait_ms = min(remaining_ms, WAIT_REQUEST_LIMIT_MS)
            try:
                job = self.send(
                    'GET',
                    f'{self.make_job_path()}/wait?timeout_ms={wait_ms}',
                    timeout_s=wait_ms / 1000 + WAIT_ANSWER_MARGIN_S,
                )
            except errors.BorageshelfError as error:
                if error.code in _FINAL_REFUSALS or remaining_ms == 0:
                    raise
                time.sleep(min(RETRY_PAUSE_S, remaining_ms / 1000))
                continue
            if job['code'] != errors.PENDING.number or remaining_ms == 0:
                return self.report_job(job)


# Refusals that a retry cannot change.
_FINAL_REFUSALS: Final = frozenset(
    {errors.UNKNOWN_JOB, errors.BAD_REQUEST, errors.NOT_FOUND}
)
COMMANDS: Final = (SubmitCommand, StatusCommand, CancelCommand, WaitCommand)
