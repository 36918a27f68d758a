"""Reading of YAML files with the line of every value.

This is the first pass over a set. It turns each file into plain mappings,
lists and scalars and reports syntax errors, keys given twice and aliases.
The next pass, ``documents``, may assume that keys are strings or were
reported.
"""

from collections import abc
import dataclasses
import pathlib
import re
from typing import Any, Final

import yaml

from borageshelf.configuration import faults

FILE_LIMIT_BYTES: Final = 1_000_000
SUFFIXES: Final = ('.yaml', '.yml')

# YAML 1.1 also reads 010 as octal, 1:30 as 90 and 1_0 as 10, which operators
# rarely mean.
_DECIMAL: Final = re.compile(r'[-+]?(0|[1-9][0-9]*)')
_SCALAR_TAGS: Final = {
    f'tag:yaml.org,2002:{name}'
    for name in ('str', 'int', 'float', 'bool', 'null')
}

Path = tuple[str, ...]
Lines = dict[Path, int]


@dataclasses.dataclass(frozen=True)
class SourceFile:
    """One file of a set.

    :param path: path relative to the folder of the set
    """

    path: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class Document:
    """The content of one YAML document.

    :param content: plain mappings, lists and scalars
    :param lines: line of each key, from 1, by path of keys
    """

    path: str
    content: Any
    lines: Lines

    def find_line(self, path: Path) -> int:
        """Return the line of a key or of the nearest enclosing one."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def read_folder(
    folder: pathlib.Path,
) -> tuple[list[SourceFile], list[faults.Fault]]:
    """Return the YAML files of a folder and its subfolders, by name."""
    texts: list[SourceFile] = []
    found: list[faults.Fault] = []
    if not folder.is_dir():
        found.append(
            _make_fault('.', 0, faults.UNREADABLE_FILE, 'is not a folder')
        )
    for path in sorted(folder.rglob('*')):
        if path.suffix not in SUFFIXES or path.name.startswith('.'):
            continue
        name = path.relative_to(folder).as_posix()
        try:
            with path.open('rb') as file:
                data = file.read(FILE_LIMIT_BYTES + 1)
        except OSError as error:
            detail = error.strerror or str(error)
            found.append(_make_fault(name, 0, faults.UNREADABLE_FILE, detail))
            continue
        texts.append(SourceFile(name, data))
    return texts, found


def parse_file(file: SourceFile) -> tuple[list[Document], list[faults.Fault]]:
    """Return the documents of a file and its faults."""
    if len(file.data) > FILE_LIMIT_BYTES:
        detail = f'has more than {FILE_LIMIT_BYTES} bytes'
        return [], [_make_fault(file.path, 0, faults.FILE_TOO_LARGE, detail)]
    try:
        nodes = list(yaml.compose_all(file.data.decode(), _Loader))
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
    found: list[faults.Fault] = []
    documents = []
    for node in nodes:
        lines: Lines = {(): _find_line(node)}
        reader = _NodeReader(file.path, lines, found)
        documents.append(Document(file.path, reader.read(node, ()), lines))
    return documents, found


class _AliasError(Exception):
    """A document contains an alias."""

    def __init__(self, line: int) -> None:
        super().__init__(line)
        self.line = line


class _Loader(yaml.SafeLoader):
    """Loader whose nodes form a tree.

    Nested aliases can expand a small file without bound, and a fault behind
    an alias has no line of its own.
    """

    def compose_node(
        self, parent: yaml.Node | None, index: Any
    ) -> yaml.Node | None:
        """Return the next node unless it is an alias."""
        if self.check_event(yaml.AliasEvent):
            event = self.peek_event()  # type: ignore[no-untyped-call]
            raise _AliasError(_find_line(event))
        return super().compose_node(parent, index)


def _find_line(node: yaml.Node | yaml.Event) -> int:
    """Return the line of a node or event, from 1; 0 if it has no mark."""
    return node.start_mark.line + 1 if node.start_mark else 0


class _NodeReader:
    """Converts the nodes of one document."""

    def __init__(
        self, path: str, lines: Lines, found: list[faults.Fault]
    ) -> None:
        self._path = path
        self._lines = lines
        self._found = found

    def read(self, node: yaml.Node, path: Path) -> Any:
        """Return the plain value of a node."""
        if isinstance(node, yaml.MappingNode):
            return self._read_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return self._read_sequence(node, path)
        return self._read_scalar(node, path)

    def _read_mapping(
        self, node: yaml.MappingNode, path: Path
    ) -> dict[Any, Any]:
        result: dict[Any, Any] = {}
        for key_node, value_node in node.value:
            line = _find_line(key_node)
            if not isinstance(key_node, yaml.ScalarNode):
                self._add(line, path, faults.WRONG_NAME, 'a key is no text')
                continue
            key = key_node.value
            inner = (*path, key)
            if key_node.tag != 'tag:yaml.org,2002:str':
                # An unquoted "no" or "12" is no string in YAML; as names
                # they would depend on how a tool quotes them.
                self._add(line, inner, faults.WRONG_NAME, 'quote this key')
            if key in result:
                self._add_duplicate(line, inner)
                self.read(value_node, (*path, f'{key} at line {line}'))
                continue
            self._lines[inner] = line
            result[key] = self.read(value_node, inner)
        return result

    def _read_sequence(self, node: yaml.SequenceNode, path: Path) -> list[Any]:
        return [self.read(item, path) for item in node.value]

    def _read_scalar(self, node: yaml.Node, path: Path) -> Any:
        line = _find_line(node)
        if node.tag == 'tag:yaml.org,2002:timestamp':
            return node.value
        if node.tag not in _SCALAR_TAGS:
            self._add(line, path, faults.WRONG_TYPE, f'has the tag {node.tag}')
            return node.value
        is_integer = node.tag == 'tag:yaml.org,2002:int'
        if is_integer and _DECIMAL.fullmatch(node.value) is None:
            # As text it fails the check of its type, with its own spelling.
            return node.value
        try:
            return _Loader('').construct_object(node)
        except (ValueError, KeyError, yaml.YAMLError):
            detail = f'{node.value!r} cannot be read as its tag says'
            self._add(line, path, faults.WRONG_TYPE, detail)
            return node.value

    def _add_duplicate(self, line: int, path: Path) -> None:
        first = self._lines.get(path, 0)
        # The second level holds the objects, all others hold fields.
        code = (
            faults.DUPLICATE_NAME if len(path) == 2 else faults.DUPLICATE_FIELD
        )
        self._add(line, path, code, f'first given at line {first}')

    def _add(
        self, line: int, path: Path, code: faults.FaultCode, detail: str
    ) -> None:
        self._found.append(
            faults.Fault(
                self._path, line, make_subject(path), code.number, detail
            )
        )


def make_subject(path: abc.Sequence[str]) -> str:
    """Return the way in which faults write a path of keys."""
    if not path:
        return 'document'
    subject = '/'.join(path[:2])
    return '.'.join((subject, *path[2:]))


def _make_fault(
    path: str, line: int, code: faults.FaultCode, detail: str
) -> faults.Fault:
    return faults.Fault(path, line, 'file', code.number, detail)
