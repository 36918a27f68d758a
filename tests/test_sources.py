"""Checks of the tracked sources that the users' platform makes on a build.

The platform reads every source file outside the tests, comments included, and
refuses to build if one names a means of getting around its network.
"""

import pathlib
import re
import subprocess
from typing import Final

import pytest

ROOT: Final = pathlib.Path(__file__).parents[1]
SOURCE_FOLDERS: Final = ('bench', 'borageshelf', 'deploy', 'standins')

FORBIDDEN: Final = re.compile(r'/dev/shm|LD_PRELOAD|PTRACE_|given/kit')


def find_forbidden(text: str) -> list[int]:
    """Return the numbers of the lines that the platform would refuse."""
    return [
        number
        for number, line in enumerate(text.splitlines(), start=1)
        if FORBIDDEN.search(line)
    ]


def list_sources() -> list[pathlib.Path]:
    """Return the tracked files that the platform reads."""
    listing = subprocess.run(
        ['git', 'ls-files', '-z', '--', *SOURCE_FOLDERS],
        cwd=ROOT,
        capture_output=True,
        check=True,
        text=True,
    )
    return [ROOT / name for name in listing.stdout.split('\0') if name]


def test_sources_name_nothing_that_the_platform_refuses() -> None:
    """Guards against a comment that makes the platform refuse the build."""
    sources = list_sources()
    assert len(sources) > 100
    found = {
        str(source.relative_to(ROOT)): lines
        for source in sources
        if (lines := find_forbidden(source.read_text()))
    }
    assert not found


@pytest.mark.parametrize(
    'text', ['# as /dev/shm', 'os.environ["LD_PRELOAD"]', 'PTRACE_ATTACH']
)
def test_forbidden_names_are_found(text: str) -> None:
    """Guards against a check that finds nothing."""
    assert find_forbidden(f'\n{text}\n') == [2]
