"""Ports of the processes that tests start."""

import random

import pytest

from bench import local_fleet


def test_port_is_not_given_to_two_processes_of_a_test(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    first, second = local_fleet.find_free_ports(2)
    monkeypatch.setattr(local_fleet, '_returned_ports', set())
    drawn = iter([first, first, second])
    monkeypatch.setattr(random, 'randint', lambda *limits: next(drawn))
    assert local_fleet.find_free_ports(1) == [first]
    assert local_fleet.find_free_ports(1) == [second]
