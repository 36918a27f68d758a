"""The commands of operators: check, show, diff and history.

``publish`` has its own module. All commands here read the store, except
``check`` and ``diff`` between two folders.
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
from borageshelf import options as options_module

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

    def print_faults(self, found_faults: abc.Sequence[faults.Fault]) -> None:
        """Print the faults of a set."""
        if self.is_json_requested():
            self.print_json(
                {'faults': [_describe_fault(item) for item in found_faults]}
            )
            return
        for fault in found_faults:
            self.print_text(str(fault))
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


COMMANDS: Final = (CheckCommand, ShowCommand, DiffCommand, HistoryCommand)
