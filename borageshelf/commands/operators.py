"""The commands of operators: check, check-queues, show, diff and history.

``publish`` has its own module. All commands here read the store, except
``check``, ``check-queues`` and ``diff`` between two folders.
"""

from collections import abc
import datetime
import pathlib
from typing import Any, Final

import cleo.helpers

from borageshelf.commands import base
from borageshelf.commands import statuses
from borageshelf.configuration import checks
from borageshelf.configuration import contents
from borageshelf.configuration import differences
from borageshelf.configuration import faults
from borageshelf.configuration import publication
from borageshelf.configuration import rendering
from borageshelf.configuration import schema
from borageshelf.model import objects
from borageshelf.model import workflows
from borageshelf import options as options_module
from borageshelf.platform import documents

CURRENT_VERSION: Final = 'current'
DEFAULT_HISTORY_COUNT: Final = 20


class OperatorCommand(base.Command):
    """Base of the commands that use the store."""

    def read_store_url(self) -> str:
        """Return the URL of the store.

        :raises OptionsError: if it is missing
        """
        settings = self.read_options(options_module.OperatorOptions)
        if not settings.store_url:
            detail = 'missing; set --store-url or BORAGESHELF_STORE_URL'
            raise options_module.OptionsError(
                [options_module.Fault('store-url', detail)]
            )
        return settings.store_url

    def run_with_publisher(
        self,
        make_coroutine: abc.Callable[
            [publication.Publisher], abc.Coroutine[Any, Any, Any]
        ],
    ) -> Any:
        """Run a coroutine with a publisher and return its result.

        :raises OptionsError: if the URL of the store is missing
        :raises BorageshelfError: of the store
        """
        url = self.read_store_url()

        async def run() -> Any:
            from borageshelf.ports import http_store

            store = http_store.HttpStore(url)
            try:
                return await make_coroutine(publication.Publisher(store))
            finally:
                await store.close()

        return base.run_coroutine(run)

    def print_faults(
        self,
        found_faults: abc.Sequence[faults.Fault],
        changes: abc.Sequence[differences.Change] | None = None,
    ) -> None:
        """Print the faults of a set.

        :param changes: changes to print as well; None if the set was compared
            with no other one
        """
        if self.is_json_requested():
            document: dict[str, Any] = {
                'faults': [_describe_fault(item) for item in found_faults]
            }
            if changes is not None:
                document['changes'] = changes
            self.print_json(document)
            return
        for fault in found_faults:
            self.print_text(str(fault))
        for change in changes or ():
            self.print_text(str(change))
        if found_faults:
            self.print_error(
                f'{len(found_faults)} faults; nothing was published'
            )


class CheckCommand(OperatorCommand):
    """Check a folder of configuration documents."""

    name = 'check'
    description = 'Checks a folder of configuration documents'
    arguments = [
        cleo.helpers.argument('folder', 'Folder of YAML files', optional=True)
    ]
    options = [
        base.JSON_FLAG,
        cleo.helpers.option(
            'schema', description='Print the JSON schema of documents'
        ),
    ]

    def execute_command(self) -> int:
        """Check the set and print all faults."""
        if self.option('schema'):
            self.print_text(schema.render_schema().rstrip('\n'))
            return statuses.OK
        if not self.argument('folder'):
            raise base.UsageError('the folder of the documents is missing')
        checked = checks.check_folder(pathlib.Path(self.argument('folder')))
        if checked.faults or self.is_json_requested():
            self.print_faults(checked.faults)
        return statuses.FAULTS_FOUND if checked.faults else statuses.OK


class CheckQueuesCommand(OperatorCommand):
    """Check the queues of the workflow scheduler before they are sent."""

    name = 'check-queues'
    description = 'Checks a queue configuration of the workflow scheduler'
    arguments = [
        cleo.helpers.argument('file', 'JSON document with the queues')
    ]
    options = [
        base.JSON_FLAG,
        cleo.helpers.option(
            'against',
            description='JSON document with the queues in force',
            flag=False,
        ),
    ]

    def execute_command(self) -> int:
        """Print faults and changes; only faults set the exit status."""
        in_force = None
        if self.option('against'):
            in_force = self._read_document(self.option('against'))
            if in_force is None:
                return statuses.FAULTS_FOUND
        checked = self._read_document(self.argument('file'))
        if checked is None:
            return statuses.FAULTS_FOUND
        names = documents.CONFIGURATION_NAMES
        found = checks.find_queue_faults(
            checked, self.argument('file'), names, in_force
        )
        changes = None
        if in_force is not None:
            changes = differences.find_queue_changes(in_force, checked, names)
        self.print_faults(found, changes)
        return statuses.FAULTS_FOUND if found else statuses.OK

    def _read_document(self, path: str) -> workflows.QueueConfiguration | None:
        """Read a document; print its faults if it can't be decoded.

        :raises UsageError: if the file can't be read
        """
        try:
            body = pathlib.Path(path).read_bytes()
        except OSError as error:
            raise base.UsageError(f'{path}: {error.strerror}') from error
        errors = documents.list_configuration_errors(body)
        if not errors:
            return documents.decode_configuration(body)
        self.print_faults(
            [
                faults.Fault(
                    path,
                    0,
                    entry or 'file',
                    faults.UNREADABLE_FILE.number,
                    detail,
                )
                for entry, detail in errors
            ]
        )
        return None


class ShowCommand(OperatorCommand):
    """Show a published configuration."""

    name = 'show'
    description = 'Shows a published configuration as a document'
    arguments = [
        cleo.helpers.argument(
            'configuration-version',
            'Version; the one in force by default',
            optional=True,
        )
    ]
    options = [
        base.JSON_FLAG,
        *base.make_flags(options_module.OperatorOptions),
    ]

    def execute_command(self) -> int:
        """Print the configuration."""
        text = self.argument('configuration-version')
        version = self.read_integer('the version', text, 0)
        configuration = self.run_with_publisher(
            lambda publisher: publisher.audit_trail.read_version(version)
        )
        if self.is_json_requested():
            self.print_json(
                {
                    'version': configuration.version,
                    'sections': rendering.render_sections(configuration),
                }
            )
            return statuses.OK
        self.print_text(f'# version {configuration.version}')
        self.print_text(rendering.render_document(configuration).rstrip('\n'))
        return statuses.OK


class DiffCommand(OperatorCommand):
    """Show the differences between two sets."""

    name = 'diff'
    description = 'Shows the differences between two sets'
    arguments = [
        cleo.helpers.argument('old', 'Version, "current" or a folder'),
        cleo.helpers.argument(
            'new',
            'Version, "current" or a folder',
            True,
            False,
            CURRENT_VERSION,
        ),
    ]
    options = [
        base.JSON_FLAG,
        *base.make_flags(options_module.OperatorOptions),
    ]

    def execute_command(self) -> int:
        """Print the changes; the exit status tells whether there are any."""
        try:
            old = self._read_set(self.argument('old'))
            new = self._read_set(self.argument('new'))
        except checks.InvalidSetError as error:
            self.print_faults(error.faults)
            return statuses.FAULTS_FOUND
        changes = differences.find_changes(old, new)
        print_changes(self, changes)
        return statuses.DIFFERENT if changes else statuses.OK

    def _read_set(self, text: str) -> objects.Configuration:
        """Return the set that an argument names.

        :raises InvalidSetError: if the documents of a folder have faults
        """
        if text != CURRENT_VERSION and not text.isdigit():
            return checks.load_configuration(pathlib.Path(text))
        version = self.read_integer(
            'the version', None if text == CURRENT_VERSION else text, 0
        )
        configuration: objects.Configuration = self.run_with_publisher(
            lambda publisher: publisher.audit_trail.read_version(version)
        )
        return configuration


class HistoryCommand(OperatorCommand):
    """Show the audit trail."""

    name = 'history'
    description = 'Shows who published what and when'
    options = [
        base.JSON_FLAG,
        cleo.helpers.option(
            'count', description='Number of publications', flag=False
        ),
        cleo.helpers.option(
            'refused', description='Show the refused publications instead'
        ),
        *base.make_flags(options_module.OperatorOptions),
    ]

    def execute_command(self) -> int:
        """Print publications or refusals, newest first."""
        count = self.read_integer(
            'the count', self.option('count'), DEFAULT_HISTORY_COUNT
        )
        if self.option('refused'):
            return self._show_refusals(count)
        publications: tuple[contents.Publication, ...] = (
            self.run_with_publisher(
                lambda publisher: publisher.audit_trail.read_history(count)
            )
        )
        if self.is_json_requested():
            self.print_json({'publications': publications})
            return statuses.OK
        for item in publications:
            self.print_text(
                f'{item.version}  {format_utc_time(item.published_at_ms)}  '
                f'{item.author}  {item.publication_id}  {item.reason}'
            )
        return statuses.OK

    def _show_refusals(self, count: int) -> int:
        refusals: tuple[contents.Refusal, ...] = self.run_with_publisher(
            lambda publisher: publisher.audit_trail.read_refusals(count)
        )
        if self.is_json_requested():
            self.print_json({'refusals': refusals})
            return statuses.OK
        for item in refusals:
            self.print_text(
                f'{format_utc_time(item.refused_at_ms)}  {item.author}  '
                f'{item.publication_id}  based on {item.base_version}: '
                f'{item.detail}'
            )
        return statuses.OK


def print_changes(
    command: base.Command, changes: abc.Sequence[differences.Change]
) -> None:
    """Print changes as text or as JSON."""
    if command.is_json_requested():
        command.print_json({'changes': changes})
        return
    for change in changes:
        command.print_text(str(change))


def format_utc_time(time_ms: int) -> str:
    """Format Unix milliseconds as a time in UTC."""
    utc_time = datetime.datetime.fromtimestamp(time_ms / 1000, datetime.UTC)
    return utc_time.strftime('%Y-%m-%dT%H:%M:%SZ')


def _describe_fault(fault: faults.Fault) -> dict[str, Any]:
    return {
        'path': fault.path,
        'line': fault.line,
        'subject': fault.subject,
        'code': fault.number,
        'code_name': faults.REGISTRY[fault.number].name,
        'detail': fault.detail,
    }


COMMANDS: Final = (
    CheckCommand,
    CheckQueuesCommand,
    ShowCommand,
    DiffCommand,
    HistoryCommand,
)
