"""Conversion between the crashes under a task and their stored record."""

from borageshelf.decisions import crash_blame
from borageshelf.workflows import records


def make_record(history: crash_blame.History) -> records.CrashRecord | None:
    """Return the record to store; None if there was no crash."""
    if history == crash_blame.NO_CRASHES:
        return None
    return records.CrashRecord(
        history.crashes,
        history.quick_crashes,
        history.evidence,
        history.is_suspect,
        history.early_crashes,
    )


def read_record(record: records.CrashRecord) -> crash_blame.History:
    """Return what is stored; a former version stored no early crashes."""
    return crash_blame.History(
        record.crashes,
        record.quick_crashes,
        record.evidence,
        record.is_suspect,
        max(record.early_crashes, record.crashes),
    )
