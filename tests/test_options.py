"""Tests of the settings of processes and of the reports of their faults."""

import pathlib

import pytest

from borageshelf import main
from borageshelf import options
from borageshelf import settings
from tests import text_cases

CASES = text_cases.read_cases('configuration-options.test')
KINDS = {'entry': options.EntryOptions, 'agent': options.AgentOptions}
ENTRY_FLAGS = {
    'data-centre': 'tajo-norte',
    'entry-id': 'e1',
    'region': 'sierra-centro',
    'caller-address': '10.0.0.1:8000',
    'inner-address': '10.0.0.1:8001',
    'admin-address': '[::1]:8002',
    'store-url': 'http://10.0.0.9:80/',
}
TOKEN = {'BORAGESHELF_ADMIN_TOKEN': '0123456789abcdef'}


@pytest.mark.parametrize('case', CASES, ids=text_cases.name_case)
def test_faults_of_settings(case: text_cases.Case) -> None:
    """Guards against a start that reports only one invalid setting."""
    ((kind, text),) = case.inputs.items()
    pairs = [
        (line.partition(' ')[0], line.partition(' ')[2])
        for line in text.splitlines()
        if line
    ]
    flags = {name[2:]: value for name, value in pairs if name[0] == '-'}
    environment = {name: value for name, value in pairs if name[0] != '-'}
    with pytest.raises(options.OptionsError) as caught:
        options.build_options(KINDS[kind], flags, environment)
    assert str(caught.value) == case.expected


def test_complete_settings() -> None:
    """Guards against a default or a value that has no effect."""
    built = options.build_options(
        options.EntryOptions, {**ENTRY_FLAGS, 'drain-ms': None}, TOKEN
    )
    assert built.admin_address == settings.Address('::1', 8002)
    assert str(built.admin_address) == '[::1]:8002'
    assert built.store_url == 'http://10.0.0.9:80'
    assert built.drain_ms == options.DEFAULT_DRAIN_MS
    # Log lines show options, and must not show the token.
    assert TOKEN['BORAGESHELF_ADMIN_TOKEN'] not in repr(built)


def test_token_is_not_read_from_a_flag(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a token that the command line of a process reveals."""
    flags = {**ENTRY_FLAGS, 'admin-token': '0123456789abcdef'}
    with pytest.raises(options.OptionsError, match='ADMIN_TOKEN'):
        options.build_options(options.EntryOptions, flags, {})


@pytest.mark.parametrize(
    'text',
    ['', '1.2.3.4', '1.2.3.4:', '1.2.3.4:0', '1.2.3.4:65536', '1.2.3.4:٣'],
)
def test_invalid_addresses_are_refused(text: str) -> None:
    """Guards against an invalid address that is detected only at its use."""
    with pytest.raises(ValueError):
        settings.parse_address(text)


def test_unreadable_certificate_exits_with_status_2(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a certificate that fails after the entry has joined."""
    flags = [f'--{name}={value}' for name, value in ENTRY_FLAGS.items()]
    for name in ('certificate', 'key'):
        flags.append(f'--admin-{name}-path={tmp_path / name}')
    monkeypatch.setattr('sys.argv', ['borageshelf', 'entry', *flags])
    for name, value in TOKEN.items():
        monkeypatch.setenv(name, value)
    assert main.main() == 2
    assert 'admin-certificate-path' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('arguments', 'text'),
    [
        (['entry'], 'entry: admin-token: missing'),
        (['agent', '--shards', '3'], '--shards'),
        (['nonsense'], 'nonsense'),
    ],
)
def test_invalid_settings_exit_with_status_2(
    arguments: list[str],
    text: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a process that starts with invalid settings."""
    monkeypatch.setattr('sys.argv', ['borageshelf', *arguments])
    assert main.main() == 2
    assert text in capsys.readouterr().err
