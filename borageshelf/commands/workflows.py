"""The commands of the workflow scheduler's processes.

``workflow-entry`` and ``workflow-agent`` run a process; ``check-settings``
reads a settings file and reports its faults.
"""

import functools
import importlib
from typing import Any, Final

import cleo.helpers

from borageshelf.commands import base
from borageshelf.commands import statuses
from borageshelf import node_settings
from borageshelf import options as options_module


class _ProcessCommand(base.Command):
    """Base of the commands that run a process.

    :cvar is_entry: whether the settings must be complete for an entry; an
        agent otherwise
    :cvar function_name: function of the module that runs the process
    """

    options = base.make_flags(options_module.NodeOptions)
    is_entry = True
    function_name = ''

    def execute_command(self) -> int:
        """Run until a planned stop."""
        options = self.read_options(options_module.NodeOptions)
        reload = functools.partial(node_settings.read_file, options.node_file)
        try:
            settings = reload()
        except node_settings.SettingsError as error:
            return self._report_faults(error.faults)
        missing = node_settings.find_missing_settings(settings, self.is_entry)
        if missing:
            return self._report_faults(missing)
        module: Any = importlib.import_module('borageshelf.platform.processes')
        status: int = getattr(module, self.function_name)(settings, reload)
        return status

    def _report_faults(self, faults: Any) -> int:
        for fault in faults:
            self.print_error(fault)
        return statuses.WRONG_SETTINGS


class WorkflowEntryCommand(_ProcessCommand):
    """Run an entry of the workflow scheduler."""

    name = 'workflow-entry'
    description = 'Runs an entry process of the workflow scheduler'
    function_name = 'run_entry'


class WorkflowAgentCommand(_ProcessCommand):
    """Run an agent of the workflow scheduler."""

    name = 'workflow-agent'
    description = 'Runs an agent process of the workflow scheduler'
    is_entry = False
    function_name = 'run_agent'


class CheckSettingsCommand(base.Command):
    """Check a settings file of the workflow scheduler."""

    name = 'check-settings'
    description = 'Checks a settings file of the workflow scheduler'
    arguments = [
        cleo.helpers.argument('file', description='The settings file')
    ]

    def execute_command(self) -> int:
        """Print the faults of the file."""
        try:
            found = node_settings.read_file(self.argument('file'))
        except node_settings.SettingsError as error:
            for fault in error.faults:
                self.print_error(fault)
            return statuses.WRONG_SETTINGS
        self.print_text(f'{found.node_id}: the settings are valid')
        return statuses.OK


COMMANDS: Final = (
    WorkflowEntryCommand,
    WorkflowAgentCommand,
    CheckSettingsCommand,
)
