"""Cost of decoding what other programs write."""

import time

import pytest

from borageshelf import decoding


def test_document_that_ends_within_an_escape_is_refused_quickly() -> None:
    """Guards against a small document that occupies a process for minutes."""
    data = b'[' * 65 + b'"' + b'\\"' * 10_000 + b'\\'
    begun = time.perf_counter()
    with pytest.raises(decoding.Unreadable):
        decoding.decode_json(data, dict)
    assert time.perf_counter() - begun < 0.5
