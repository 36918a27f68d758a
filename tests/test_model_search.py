"""Bounded search for histories that start a task twice; see docs/model.md."""

from tests.model import search
from tests.model import world


def test_intact_code_keeps_the_promise() -> None:
    """Guards against any order of faults that starts a task twice."""
    scenario = world.Scenario(excluded=frozenset(['connections refused at']))
    result = search.Search(scenario, search.Bounds(12, 1, 1)).run()
    assert not result.failures
    assert not result.violation, '\n'.join(result.lines)
