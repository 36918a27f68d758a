"""Ports of the processes that tests start."""

from concurrent import futures
import multiprocessing
import random

import pytest

from bench import free_ports


def test_port_is_not_given_to_two_processes_of_a_test(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    first, second = free_ports.find_free_ports(2)
    monkeypatch.setattr(free_ports, '_returned_ports', set())
    drawn = iter([first, first, second])
    monkeypatch.setattr(random, 'randint', lambda *limits: next(drawn))
    assert free_ports.find_free_ports(1) == [first]
    assert free_ports.find_free_ports(1) == [second]


def find_one_of(drawn: list[int]) -> int:
    """Find a port while these are drawn."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        remaining = iter(drawn)
        monkeypatch.setattr(random, 'randint', lambda *limits: next(remaining))
        (port,) = free_ports.find_free_ports(1)
    return port


def test_port_is_not_given_to_a_test_of_another_process() -> None:
    """Guards against servers that find their port taken at a restart."""
    (taken,) = free_ports.find_free_ports(1)
    context = multiprocessing.get_context('spawn')
    with futures.ProcessPoolExecutor(1, context) as other:
        (free,) = other.submit(free_ports.find_free_ports, 1).result()
    with futures.ProcessPoolExecutor(1, context) as other:
        found = other.submit(find_one_of, [taken, free]).result()
    # The process that had this port has ended.
    assert found == free
