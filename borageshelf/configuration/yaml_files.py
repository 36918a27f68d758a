"""Reads YAML files and keeps the line number of every key.

This is the first pass over a set. It converts each file to plain mappings,
lists and scalars and reports syntax errors, duplicate keys and aliases. The
next pass, ``documents``, may assume that every key is a string; keys of other
types are reported here.
"""

from collections import abc
import dataclasses
import pathlib
import re
from typing import Any, Final

import yaml

from borageshelf.configuration import faults

FILE_LIMIT_BYTES: Final = 1_000_000
FILE_SUFFIXES: Final = ('.yaml', '.yml')

# Other forms of YAML 1.1 integers are refused, because operators rarely mean
# them: 010 is octal, 1:30 is 90 and 1_0 is 10.
_PLAIN_DECIMAL: Final = re.compile(r'[-+]?(0|[1-9][0-9]*)')
_SCALAR_TAGS: Final = {
    f'tag:yaml.org,2002:{name}'
    for name in ('str', 'int', 'float', 'bool', 'null')
}

Path = tuple[str, ...]
LineNumbers = dict[Path, int]


@dataclasses.dataclass(frozen=True)
class SourceFile:
    """One file of a set, not yet parsed.

    :param path: path relative to the folder of the set
    """

    path: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class Document:
    """The content of one YAML document.

    :param content: plain mappings, lists and scalars
    :param line_numbers: line of each key, from 1, by the path of its keys
    """

    path: str
    content: Any
    line_numbers: LineNumbers

    def find_line(self, path: Path) -> int:
        """Return the line of a key, or of its nearest enclosing known key."""
        while path and path not in self.line_numbers:
            path = path[:-1]
        return self.line_numbers.get(path, 1)


def read_folder(
    folder: pathlib.Path,
) -> tuple[list[SourceFile], list[faults.Fault]]:
    """Return the YAML files of a folder and its subfolders, sorted by path.

    Hidden files are left out; files that cannot be read are reported.
    """
    files: list[SourceFile] = []
    found_faults: list[faults.Fault] = []
    if not folder.is_dir():
        found_faults.append(
            _make_fault('.', 0, faults.UNREADABLE_FILE, 'is not a folder')
        )
    for path in sorted(folder.rglob('*')):
        if path.suffix not in FILE_SUFFIXES or path.name.startswith('.'):
            continue
        name = path.relative_to(folder).as_posix()
        try:
            with path.open('rb') as file:
                data = file.read(FILE_LIMIT_BYTES + 1)
        except OSError as error:
            detail = error.strerror or str(error)
            found_faults.append(
                _make_fault(name, 0, faults.UNREADABLE_FILE, detail)
            )
            continue
        files.append(SourceFile(name, data))
    return files, found_faults


def parse_file(file: SourceFile) -> tuple[list[Document], list[faults.Fault]]:
    """Parse a file; return its documents and faults."""
    if len(file.data) > FILE_LIMIT_BYTES:
        detail = f'has more than {FILE_LIMIT_BYTES} bytes'
        return [], [_make_fault(file.path, 0, faults.FILE_TOO_LARGE, detail)]
    try:
        nodes = list(yaml.compose_all(file.data.decode(), _AliasFreeLoader))
    except _AliasError as error:
        line = error.line
        detail = 'write the value again instead'
        return [], [_make_fault(file.path, line, faults.ALIAS_USED, detail)]
    except UnicodeDecodeError:
        detail = 'is not UTF-8'
        return [], [_make_fault(file.path, 0, faults.YAML_SYNTAX, detail)]
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 0
        detail = str(error.problem)
        return [], [_make_fault(file.path, line, faults.YAML_SYNTAX, detail)]
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        detail = str(error).partition('\n')[0] or type(error).__name__
        return [], [_make_fault(file.path, 0, faults.YAML_SYNTAX, detail)]
    found_faults: list[faults.Fault] = []
    documents = []
    for node in nodes:
        line_numbers: LineNumbers = {(): _find_line(node)}
        converter = _NodeConverter(file.path, line_numbers, found_faults)
        documents.append(
            Document(file.path, converter.convert(node, ()), line_numbers)
        )
    return documents, found_faults


class _AliasError(Exception):
    """Raised for a document that contains an alias."""

    def __init__(self, line: int) -> None:
        super().__init__(line)
        self.line = line


class _AliasFreeLoader(yaml.SafeLoader):
    """Loader that refuses aliases, so that its nodes form a tree.

    Nested aliases can expand a small file without bound, and a fault in an
    aliased value has no line number of its own.
    """

    def compose_node(
        self, parent: yaml.Node | None, index: Any
    ) -> yaml.Node | None:
        """Return the next node.

        :raises _AliasError: if it is an alias
        """
        if self.check_event(yaml.AliasEvent):
            event = self.peek_event()  # type: ignore[no-untyped-call]
            raise _AliasError(_find_line(event))
        return super().compose_node(parent, index)


def _find_line(node: yaml.Node | yaml.Event) -> int:
    """Return the line of a node or event, from 1; 0 if it is unknown."""
    return node.start_mark.line + 1 if node.start_mark else 0


class _NodeConverter:
    """Converts the YAML nodes of one document to plain values."""

    def __init__(
        self,
        path: str,
        line_numbers: LineNumbers,
        found_faults: list[faults.Fault],
    ) -> None:
        self._path = path
        self._line_numbers = line_numbers
        self._found_faults = found_faults

    def convert(self, node: yaml.Node, path: Path) -> Any:
        """Return the plain value of a node."""
        if isinstance(node, yaml.MappingNode):
            return self._convert_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return self._convert_sequence(node, path)
        return self._convert_scalar(node, path)

    def _convert_mapping(
        self, node: yaml.MappingNode, path: Path
    ) -> dict[Any, Any]:
        result: dict[Any, Any] = {}
        for key_node, value_node in node.value:
            line = _find_line(key_node)
            if not isinstance(key_node, yaml.ScalarNode):
                self._add_fault(
                    line, path, faults.WRONG_NAME, 'a key is no text'
                )
                continue
            key = key_node.value
            inner_path = (*path, key)
            if key_node.tag != 'tag:yaml.org,2002:str':
                # YAML reads an unquoted "no" or "12" as a boolean or a
                # number, so the name would depend on how a tool quotes it.
                self._add_fault(
                    line, inner_path, faults.WRONG_NAME, 'quote this key'
                )
            if key in result:
                self._add_duplicate_fault(line, inner_path)
                self.convert(value_node, (*path, f'{key} at line {line}'))
                continue
            self._line_numbers[inner_path] = line
            result[key] = self.convert(value_node, inner_path)
        return result

    def _convert_sequence(
        self, node: yaml.SequenceNode, path: Path
    ) -> list[Any]:
        return [self.convert(item, path) for item in node.value]

    def _convert_scalar(self, node: yaml.Node, path: Path) -> Any:
        line = _find_line(node)
        if node.tag == 'tag:yaml.org,2002:timestamp':
            return node.value
        if node.tag not in _SCALAR_TAGS:
            self._add_fault(
                line, path, faults.WRONG_TYPE, f'has the tag {node.tag}'
            )
            return node.value
        is_integer = node.tag == 'tag:yaml.org,2002:int'
        if is_integer and _PLAIN_DECIMAL.fullmatch(node.value) is None:
            # Kept as text, so that the type check refuses it and quotes it
            # as written.
            return node.value
        try:
            return _AliasFreeLoader('').construct_object(node)
        except (ValueError, KeyError, yaml.YAMLError):
            detail = f'{node.value!r} cannot be read as its tag says'
            self._add_fault(line, path, faults.WRONG_TYPE, detail)
            return node.value

    def _add_duplicate_fault(self, line: int, path: Path) -> None:
        first = self._line_numbers.get(path, 0)
        # Keys at the second level name objects; all others name sections or
        # fields.
        code = (
            faults.DUPLICATE_NAME if len(path) == 2 else faults.DUPLICATE_FIELD
        )
        self._add_fault(line, path, code, f'first given at line {first}')

    def _add_fault(
        self, line: int, path: Path, code: faults.FaultCode, detail: str
    ) -> None:
        self._found_faults.append(
            faults.Fault(
                self._path, line, format_subject(path), code.number, detail
            )
        )


def format_subject(path: abc.Sequence[str]) -> str:
    """Return a path of keys in the form that faults show."""
    if not path:
        return 'document'
    subject = '/'.join(path[:2])
    return '.'.join((subject, *path[2:]))


def _make_fault(
    path: str, line: int, code: faults.FaultCode, detail: str
) -> faults.Fault:
    return faults.Fault(path, line, 'file', code.number, detail)
