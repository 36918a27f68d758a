"""The documentation table must match the registry of result codes."""

import pathlib
import re

from borageshelf import errors

TABLE = pathlib.Path(__file__).parents[1] / 'docs' / 'result-codes.md'
ROW = re.compile(r'^\| (\d+) \| `(\w+)` \| ([a-z ]+) \| (\d+) \| (.+) \|$')


def test_table_matches_registry() -> None:
    """Guards against an undocumented or wrongly documented code."""
    rows = [ROW.match(line) for line in TABLE.read_text().splitlines()]
    found = {
        int(row[1]): (row[2], row[3], int(row[4]), row[5])
        for row in rows
        if row
    }
    expected = {
        code.number: (
            code.name,
            code.category.value,
            code.http_status,
            code.description,
        )
        for code in errors.REGISTRY.values()
    }
    assert found == expected
