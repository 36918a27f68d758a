"""The command ``publish``.

The set is checked first. A set with faults, or one that is based on another
version than the one in force, is refused and recorded, and changes nothing.
"""

import getpass
import pathlib
from typing import Final

import cleo.helpers

from borageshelf.commands import base
from borageshelf.commands import confirmations
from borageshelf.commands import http_documents
from borageshelf.commands import operators
from borageshelf.commands import statuses
from borageshelf.configuration import checks
from borageshelf.configuration import differences
from borageshelf.configuration import publication
from borageshelf.configuration import rendering
from borageshelf.configuration import yaml_files
from borageshelf import errors
from borageshelf.model import objects
from borageshelf import options as options_module

# Every process applies a version within 9 s while the store answers; the rest
# covers an outage of a few seconds.
DEFAULT_WAIT_LIMIT_MS: Final = 30_000


class PublishCommand(operators.OperatorCommand):
    """Publish a folder of documents, or an earlier version again."""

    name = 'publish'
    description = 'Publishes a checked set of configuration documents'
    arguments = [
        cleo.helpers.argument('folder', 'Folder of YAML files', optional=True)
    ]
    options = [
        base.JSON_FLAG,
        cleo.helpers.option(
            'base-version',
            description='Version on which the set is based; 0 for the first',
            flag=False,
        ),
        cleo.helpers.option(
            'reason', description='Reason for the audit trail', flag=False
        ),
        cleo.helpers.option(
            'author', description='Author; the login by default', flag=False
        ),
        cleo.helpers.option(
            'rollback',
            description='Publish this earlier version again as a new one',
            flag=False,
        ),
        cleo.helpers.option(
            'publication-id',
            description=(
                'Publication id of an earlier attempt with an unknown outcome'
            ),
            flag=False,
        ),
        cleo.helpers.option(
            'wait', description='Wait until all processes have the version'
        ),
        cleo.helpers.option(
            'wait-limit-ms',
            description='Time limit of the wait in milliseconds',
            flag=False,
        ),
        *base.make_flags(options_module.OperatorOptions),
    ]

    _publication_id = ''

    def execute_command(self) -> int:
        """Publish and report the outcome."""
        self._check_arguments()
        wait_limit_ms = self.read_integer(
            'wait-limit-ms',
            self.option('wait-limit-ms'),
            DEFAULT_WAIT_LIMIT_MS,
        )
        checked = self._load_checked_set()
        request = publication.Request(
            checked.configuration or objects.Configuration(),
            self.read_integer('base-version', self.option('base-version'), 0),
            self.option('author') or getpass.getuser(),
            self.option('reason'),
            self.option('publication-id') or publication.make_publication_id(),
        )
        if checked.configuration is None:
            return self._refuse_faulty_set(request, checked)
        self._publication_id = request.publication_id
        # Printed before anything is written, so that an interrupted command
        # can be repeated with the same id.
        self.print_error(f'publication id {request.publication_id}')
        outcome: publication.Published | publication.LostRace = (
            self.run_with_publisher(
                lambda publisher: publisher.publish(request)
            )
        )
        if isinstance(outcome, publication.LostRace):
            return self._report_lost_race(request, outcome)
        return self._report_published(outcome, wait_limit_ms)

    def describe_error(
        self, error: errors.BorageshelfError
    ) -> dict[str, object]:
        """Return the JSON document of an error, with the publication id."""
        document = super().describe_error(error)
        return {**document, 'publication_id': self._publication_id}

    def _check_arguments(self) -> None:
        """Check the arguments and report all wrong ones together.

        :raises OptionsError: if the store is not named
        :raises UsageError: if there are other wrong arguments
        """
        self.read_store_url()
        problems = []
        for name in ('base-version', 'reason'):
            if not self.option(name):
                problems.append(f'--{name} is missing')
        if bool(self.argument('folder')) == bool(self.option('rollback')):
            problems.append('either a folder or --rollback is required')
        if self.option('wait'):
            settings = self.read_options(options_module.OperatorOptions)
            if not settings.admin_urls:
                problems.append('--wait needs --admin-urls')
            if not settings.admin_token:
                problems.append('--wait needs BORAGESHELF_ADMIN_TOKEN')
        if problems:
            raise base.UsageError('; '.join(problems))

    def _load_checked_set(self) -> checks.CheckResult:
        """Load the set to publish and check it.

        An earlier version is checked again, because the checks may have
        become stricter since its publication.
        """
        if self.argument('folder'):
            return checks.check_folder(pathlib.Path(self.argument('folder')))
        version = self.read_integer('rollback', self.option('rollback'), 0)
        if not version:
            raise base.UsageError('--rollback needs a version above 0')
        earlier: objects.Configuration = self.run_with_publisher(
            lambda publisher: publisher.audit_trail.read_version(version)
        )
        text = rendering.render_document(earlier).encode()
        return checks.check_files(
            [yaml_files.SourceFile(f'version {version}', text)]
        )

    def _refuse_faulty_set(
        self, request: publication.Request, checked: checks.CheckResult
    ) -> int:
        """Print the faults of a set and record its refusal."""
        self.print_faults(checked.faults)
        detail = '\n'.join(map(str, checked.faults))
        is_recorded = self.run_with_publisher(
            lambda publisher: publisher.record_refusal(request, 0, detail)
        )
        if not is_recorded:
            self.print_error('the refusal could not be recorded')
        return statuses.FAULTS_FOUND

    def _report_lost_race(
        self, request: publication.Request, outcome: publication.LostRace
    ) -> int:
        changes: tuple[differences.Change, ...] = ()
        if outcome.base is not None:
            changes = differences.find_changes(outcome.base, outcome.found)
        if self.is_json_requested():
            self.print_json(
                {
                    'outcome': 'refused',
                    'base_version': request.base_version,
                    'found_version': outcome.found.version,
                    'publication_id': outcome.publication_id,
                    'is_recorded': outcome.is_recorded,
                    'is_base_known': outcome.base is not None,
                    'changes': changes,
                }
            )
            return statuses.RACE_LOST
        self.print_error(
            f'refused: version {outcome.found.version} is in force, not '
            f'{request.base_version}; nothing was changed'
        )
        if outcome.base is None:
            self.print_error(f'version {request.base_version} is unknown')
        operators.print_changes(self, changes)
        return statuses.RACE_LOST

    def _report_published(
        self, outcome: publication.Published, wait_limit_ms: int
    ) -> int:
        confirmation_state = None
        if self.option('wait'):
            confirmation_state = self._wait_for_confirmations(
                outcome.version, wait_limit_ms
            )
        if self.is_json_requested():
            self.print_json(
                {
                    'outcome': 'published' if outcome.is_new else 'unchanged',
                    'version': outcome.version,
                    'publication_id': outcome.publication_id,
                    'confirmed': confirmation_state.confirmed
                    if confirmation_state
                    else None,
                    'missing': confirmation_state.missing
                    if confirmation_state
                    else None,
                }
            )
        else:
            word = 'published' if outcome.is_new else 'unchanged'
            self.print_text(f'{word}: version {outcome.version}')
            if confirmation_state is not None:
                self._print_confirmations(confirmation_state)
        if confirmation_state is not None and confirmation_state.missing:
            return statuses.NOT_CONFIRMED
        return statuses.OK

    def _wait_for_confirmations(
        self, version: int, limit_ms: int
    ) -> confirmations.Confirmations:
        settings = self.read_options(options_module.OperatorOptions)
        clients = {
            url: http_documents.Client(
                url, settings.admin_token, settings.admin_ca_path
            )
            for url in settings.admin_urls
        }
        return confirmations.wait_for_version(clients, version, limit_ms)

    def _print_confirmations(
        self, confirmation_state: confirmations.Confirmations
    ) -> None:
        self.print_text(
            f'in force in {confirmation_state.confirmed} processes'
        )
        for process in confirmation_state.missing:
            self.print_text(f'not confirmed: {process}')


COMMANDS: Final = (PublishCommand,)
