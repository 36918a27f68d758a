"""Common parts of the commands: settings, output and the event loop."""

import asyncio
from collections import abc
import functools
import json
import os
from typing import Any, Final, TypeVar

import cleo.commands.command
import cleo.helpers
import cleo.io.inputs.option
import cleo.io.outputs.output
import msgspec

from borageshelf.commands import statuses
from borageshelf import errors
from borageshelf import options as options_module

OptionsType = TypeVar('OptionsType', bound=options_module.Options)
JSON_FLAG: Final = cleo.helpers.option(
    'json', description='Print one JSON document'
)


def make_flags(
    options_class: type[options_module.Options],
) -> list[cleo.io.inputs.option.Option]:
    """Return the command-line flags of an options class.

    Secrets have no flag; they are read from the environment only.
    """
    return [
        cleo.helpers.option(
            setting.flag,
            description=f'{setting.help} ({setting.variable})',
            flag=False,
        )
        for setting in options_module.list_settings(options_class)
        if not setting.is_secret
    ]


class UsageError(Exception):
    """Raised for a wrong argument of a command."""


class Command(cleo.commands.command.Command):
    """Base of all commands; converts errors to exit statuses."""

    def handle(self) -> int:
        """Run the command and return its exit status."""
        try:
            return self.execute_command()
        except options_module.OptionsError as error:
            for fault in error.faults:
                self.print_error(str(fault))
            return statuses.WRONG_SETTINGS
        except UsageError as error:
            self.print_error(str(error))
            return statuses.WRONG_SETTINGS
        except errors.BorageshelfError as error:
            self.report_error(error)
            return self.find_exit_status(error.code)

    def execute_command(self) -> int:
        """Do the work of the command; subclasses implement it."""
        raise NotImplementedError

    def find_exit_status(self, code: errors.ResultCode) -> int:
        """Return the exit status for a result code."""
        return statuses.find_operator_status(code)

    def describe_work(self, code: errors.ResultCode) -> str:
        """Return what an error tells about the state of the work."""
        return code.category.value

    def describe_error(
        self, error: errors.BorageshelfError
    ) -> dict[str, object]:
        """Return the JSON document of an error."""
        return {
            'code': error.code.number,
            'code_name': error.code.name,
            'work': self.describe_work(error.code),
            'detail': error.detail,
            'retry_deadline_ms': error.retry_deadline_ms,
        }

    def read_options(self, options_class: type[OptionsType]) -> OptionsType:
        """Read options from the flags and the environment.

        :raises OptionsError: with the faults of all options
        """
        flags = {
            setting.flag: self.option(setting.flag)
            for setting in options_module.list_settings(options_class)
            if not setting.is_secret
        }
        return options_module.build_options(options_class, flags, os.environ)

    def read_integer(self, name: str, text: str | None, default: int) -> int:
        """Convert an argument to a whole number of at most 15 digits.

        :param name: name of the argument in the error message
        :param text: None if the argument was not given
        :raises UsageError: if the text is not such a number
        """
        if text is None:
            return default
        if not (text.isascii() and text.isdigit() and len(text) < 16):
            raise UsageError(f'{name} must be a whole number, not {text}')
        return int(text)

    def is_json_requested(self) -> bool:
        """Tell whether the output must be one JSON document."""
        has_flag = any(item.name == 'json' for item in self.options)
        return has_flag and bool(self.option('json'))

    def print_json(self, document: object) -> None:
        """Print one JSON document."""
        self.print_text(json.dumps(msgspec.to_builtins(document)))

    def print_text(self, text: str) -> None:
        """Print text without interpreting style tags in it."""
        self.io.output.write_line(
            _replace_control_characters(text),
            type=cleo.io.outputs.output.Type.RAW,
        )

    def print_error(self, text: str) -> None:
        """Print an error on standard error, after the name of the command."""
        self.io.error_output.write_line(
            f'{self.name}: {_replace_control_characters(text)}',
            type=cleo.io.outputs.output.Type.RAW,
        )

    def report_error(self, error: errors.BorageshelfError) -> None:
        """Print an error, as JSON if that was requested."""
        if self.is_json_requested():
            self.print_json(self.describe_error(error))
            return
        detail = error.detail or error.code.description
        self.print_error(f'{error.code.name}: {detail}')


def run_coroutine(
    make_coroutine: abc.Callable[[], abc.Coroutine[Any, Any, Any]],
) -> Any:
    """Run a coroutine on the event loop and return its result.

    The coroutine must create its adapters itself, because their constructors
    need the running loop.
    """
    return _get_event_loop().run_until_complete(make_coroutine())


@functools.cache
def _get_event_loop() -> asyncio.AbstractEventLoop:
    """Return the event loop of this process.

    Commands run coroutines on the loop and never run the reactor, because a
    reactor cannot be run again for a second coroutine of the same command.
    """
    # Imported here, because this import takes as long as those of all commands
    # together.
    from borageshelf import loop

    return loop.install()


def _replace_control_characters(text: str) -> str:
    """Replace control characters, which could alter the terminal."""
    return ''.join(
        character if character.isprintable() or character in '\n\t' else '?'
        for character in text
    )
