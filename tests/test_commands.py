"""Tests the commands against a store stand-in and small HTTP servers."""

from collections import abc
import contextlib
import http.server
import json
import pathlib
import subprocess
import sys
import threading
from typing import Any

import cleo.io.inputs.argv_input
import cleo.io.outputs.buffered_output
import pytest

from borageshelf.commands import application
from borageshelf.commands import base
from borageshelf.commands import confirmations
from borageshelf.commands import http_documents
from borageshelf.commands import top
from tests import loopback

ROOT = pathlib.Path(__file__).parents[1]
TOKEN = '0123456789abcdef'
Answerer = abc.Callable[[str, str, bytes], tuple[int, Any]]


def run(*arguments: str) -> tuple[int, str, str]:
    """Run a command in this process; return status, output and errors."""
    output = cleo.io.outputs.buffered_output.BufferedOutput()
    error_output = cleo.io.outputs.buffered_output.BufferedOutput()
    status = application.make_application().run(
        cleo.io.inputs.argv_input.ArgvInput(['borageshelf', *arguments]),
        output,
        error_output,
    )
    return status, output.fetch(), error_output.fetch()


@contextlib.contextmanager
def serve(answers: Answerer) -> abc.Iterator[str]:
    """Serve JSON answers; closes the connection if the document is None."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def answer(self) -> None:
            length = int(self.headers.get('Content-Length', 0))
            body = self.rfile.read(length)
            status, document = answers(self.command, self.path, body)
            if document is None:
                return
            data = json.dumps(document).encode()
            self.send_response(status)
            self.send_header('Content-Length', str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = answer  # noqa: N815

        def log_message(self, format: str, *args: Any) -> None:
            """Keep the output of the tests short."""

    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield f'http://127.0.0.1:{server.server_port}'
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


@pytest.fixture
def store_url(monkeypatch: pytest.MonkeyPatch) -> abc.Iterator[str]:
    """Start a store stand-in in its own process, because commands block."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.store', '--lifetime-s', '120'],
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    assert process.stdout is not None
    port = process.stdout.readline().strip().rpartition(':')[2]
    url = f'http://127.0.0.1:{port}'
    monkeypatch.setenv('BORAGESHELF_STORE_URL', url)
    yield url
    process.kill()
    process.wait()
    process.stdout.close()


@pytest.fixture(autouse=True)
def shared_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    """Run commands on the tests' loop; a process has only one reactor."""
    monkeypatch.setattr(
        base, 'run_coroutine', lambda make: loopback.run(make())
    )


def publish(*arguments: str) -> tuple[int, Any]:
    status, output, error_output = run(
        'publish', *arguments, '--reason', 'test', '--json'
    )
    assert output, error_output
    return status, json.loads(output)


def test_publication_by_commands(
    store_url: str, tmp_path: pathlib.Path
) -> None:
    """Guards against commands whose outcome disagrees with the audit trail."""
    ocre = str(ROOT / 'examples' / 'ocre')
    colombo = str(ROOT / 'examples' / 'colombo')
    assert run('show')[0] == 8
    status, document = publish(ocre, '--base-version', '0')
    assert (status, document['version']) == (0, 1)
    status, document = publish(colombo, '--base-version', '0')
    assert (status, document['found_version']) == (4, 1)
    subjects = [change['subject'] for change in document['changes']]
    assert 'jobs/kiln-blend-plan' in subjects
    assert publish(colombo, '--base-version', '1')[1]['version'] == 2
    status, document = publish('--rollback', '1', '--base-version', '2')
    assert (status, document['version']) == (0, 3)
    assert run('diff', '1', '3')[0] == 0
    status, output, _error_output = run('diff', '2', '3')
    assert status == 9 and 'added jobs/kiln-blend-plan' in output
    assert run('diff', ocre)[0] == 0
    _status, output, _error_output = run('history', '--json')
    trail = json.loads(output)['publications']
    assert [item['version'] for item in trail] == [3, 2, 1]
    # Publishing the shown document again must change nothing.
    _status, output, _error_output = run('show')
    (tmp_path / 'shown.yaml').write_text(output)
    document = publish(str(tmp_path), '--base-version', '3')[1]
    assert document['outcome'] == 'unchanged'


def test_command_can_use_the_store_twice(store_url: str) -> None:
    """Guards against an event loop that can run only once in a process.

    ``diff`` of two versions runs two coroutines.
    """
    ocre = str(ROOT / 'examples' / 'ocre')
    command = [sys.executable, '-m', 'borageshelf.main']
    more_arguments = ['--base-version', '0', '--reason', 'test']
    subprocess.run(
        [*command, 'publish', ocre, *more_arguments], cwd=ROOT, check=True
    )
    completed = subprocess.run([*command, 'diff', '1', 'current'], cwd=ROOT)
    assert completed.returncode == 0


def test_refused_sets_are_recorded(
    store_url: str, tmp_path: pathlib.Path
) -> None:
    """Guards against a refused set that takes effect or is not recorded."""
    (tmp_path / 'a.yaml').write_text('limits: {jobs_queued: 0}\n')
    status, document = publish(str(tmp_path), '--base-version', '0')
    assert (status, document['faults'][0]['code']) == (3, 111)
    assert run('show')[0] == 8
    _status, output, _error_output = run('history', '--refused', '--json')
    (refusal,) = json.loads(output)['refusals']
    assert 'OUT_OF_RANGE' in refusal['detail']


def test_store_outage_has_its_exit_status(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exit status that hides an outage of the store."""
    monkeypatch.setenv('BORAGESHELF_STORE_URL', 'http://127.0.0.1:9')
    monkeypatch.setattr(
        'borageshelf.configuration.audit_trail.OPERATION_TIME_LIMIT_MS', 0
    )
    folder = str(ROOT / 'examples' / 'ocre')
    status, document = publish(folder, '--base-version', '0')
    assert (status, document['code_name']) == (5, 'STORE_UNAVAILABLE')


def test_check_faults_and_wrong_arguments(tmp_path: pathlib.Path) -> None:
    """Guards against an exit status of 0 after faults or usage errors."""
    assert run('check', str(ROOT / 'examples' / 'ocre'))[:2] == (0, '')
    (tmp_path / 'a.yaml').write_text('jobz: {}\n')
    status, output, error_output = run('check', str(tmp_path))
    assert (status, '1 faults' in error_output) == (3, True)
    assert output.startswith('a.yaml:1: jobz: UNKNOWN_SECTION (106)')
    status, output, _error_output = run('check', str(tmp_path), '--json')
    assert json.loads(output)['faults'][0]['line'] == 1
    assert run('check')[0] == 2
    status, _output, error_output = run('publish', str(tmp_path))
    assert status == 2 and 'store-url' in error_output
    assert run('show', 'x')[0] == 2


def test_completion_script_names_the_commands() -> None:
    """Guards against a completion script that lacks a command."""
    status, output, _error_output = run('completions', 'bash')
    assert status == 0
    for name in ('check', 'publish', 'submit', 'wait', 'top'):
        assert name in output


JOB = {'job_id': 'j1', 'code': 0, 'code_name': 'OK', 'result': 'a<b>c'}


@pytest.mark.parametrize(
    ('code', 'name', 'expected'),
    [
        (0, 'OK', 0),
        (1, 'PENDING', 13),
        (210, 'CANCELLED', 10),
        (305, 'STOPPED', 11),
        (300, 'OUTCOME_UNKNOWN', 12),
    ],
)
def test_status_by_result_code(code: int, name: str, expected: int) -> None:
    """Guards against an exit status that shows an unknown result as not run.

    A script that trusts it would repeat work that may have been done.
    """
    job = {**JOB, 'code': code, 'code_name': name}
    with serve(lambda *request: (200, job)) as url:
        assert run('status', 'j1', '--entry-url', url)[0] == expected


@pytest.mark.parametrize('command', ['status', 'cancel', 'wait'])
def test_failed_request_says_nothing_about_the_job(command: str) -> None:
    """Guards against the status "not run" for a job whose state is unknown.

    The entry refuses the request or cannot be reached; the job goes on.
    """
    refusal = {'code': 205, 'code_name': 'LEAVING', 'detail': 'stop'}
    more_arguments = [
        '--json',
        *(['--limit-ms', '0'] if command == 'wait' else []),
    ]
    with serve(lambda *request: (503, refusal)) as url:
        status, output, _ = run(
            command, 'j1', '--entry-url', url, *more_arguments
        )
    assert (status, json.loads(output)['work']) == (14, 'unknown')
    unreachable = 'http://127.0.0.1:9'
    assert (
        run(command, 'j1', '--entry-url', unreachable, *more_arguments)[0]
        == 14
    )


def test_submission_with_a_lost_answer_is_unknown() -> None:
    """Guards against the status "not run" for a job that may be accepted.

    The entry got the request, but its answer is lost or malformed.
    """
    with serve(lambda *request: (200, None)) as url:
        assert run('submit', 'ledgers', '--entry-url', url)[0] == 12
    with serve(lambda *request: (200, 'no object')) as url:
        assert run('submit', 'ledgers', '--entry-url', url)[0] == 12
    # Without a connection, the job was certainly not accepted.
    unreachable = 'http://127.0.0.1:9'
    assert run('submit', 'ledgers', '--entry-url', unreachable)[0] == 10


def test_submission_sends_key_and_arguments(tmp_path: pathlib.Path) -> None:
    """Guards against a key or arguments that do not reach the entry."""
    bodies = []

    def answer(method: str, path: str, body: bytes) -> tuple[int, Any]:
        bodies.append((method, path, json.loads(body)))
        return 202, {**JOB, 'code': 1, 'code_name': 'PENDING'}

    path = tmp_path / 'arguments'
    path.write_text('år 2026')
    with serve(answer) as url:
        status, output, _error_output = run(
            'submit', 'ledgers', '--key', 'k', '--entry-url', url,
            '--arguments-file', str(path),
        )  # fmt: skip
    assert (status, output.splitlines()[0]) == (0, 'j1: PENDING')
    document = {'job': 'ledgers', 'key': 'k', 'arguments': 'år 2026'}
    assert bodies == [('POST', '/v1/jobs', document)]


def test_wait_continues_when_an_entry_leaves() -> None:
    """Guards against a wait that ends because an entry leaves."""
    answers = iter(
        [
            (503, {'code': 205, 'detail': 'stop'}),
            (200, {**JOB, 'code': 1, 'code_name': 'PENDING'}),
            (200, JOB),
        ]
    )
    with serve(lambda *request: next(answers)) as url:
        status, output, _error_output = run('wait', 'j/1', '--entry-url', url)
    assert status == 0
    # Style tags in results must be printed as plain text.
    assert 'a<b>c' in output


def test_wait_lists_processes_without_confirmation() -> None:
    """Guards against a version reported as confirmed by all processes.

    Some processes have an older version, or their entry does not answer.
    """
    versions = {
        'entry_id': 'e1',
        'version': 4,
        'processes': [
            {'kind': 'entry', 'process_id': 'e2', 'version': 3},
            {'kind': 'agent', 'process_id': 'vm-1', 'version': 4},
            {'kind': 'agent', 'process_id': 'vm-2', 'version': 0},
        ],
    }
    with serve(lambda *request: (200, versions)) as url:
        clients = {
            name: http_documents.Client(name, TOKEN)
            for name in (url, 'http://127.0.0.1:9')
        }
        state = confirmations.wait_for_version(clients, 4, 0)
    assert state.confirmed == 2
    assert [item.split(' (')[0] for item in state.missing] == [
        'http://127.0.0.1:9',
        'agent vm-2',
        'entry e2',
    ]
    with serve(lambda *request: (200, {'entry_id': 'e1'})) as url:
        clients = {url: http_documents.Client(url, TOKEN)}
        state = confirmations.wait_for_version(clients, 4, 0)
    assert 'malformed' in state.missing[0]


def test_top_shows_each_target_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against outdated or repeated rows of a target.

    Two entries report the same target with reports of different age.
    """
    size = {'processor_millicores': 4000, 'memory_mb': 0, 'accelerators': 0}
    target = {
        'target_id': 'vm-1',
        'data_centre': 'north',
        'free': size,
        'running_tasks': 1,
        'running_calls': 0,
        'service_p99_ms': 1.5,
        'is_leaving': True,
        'quarantined_until_deadline_ms': 0,
        'reported_at_ms': 1,
    }
    documents = {
        'health': {
            'entry_id': 'e1',
            'state': 'serving',
            'configuration_version': 3,
            'reasons': ['store down'],
        },
        'queues': {'queues': []},
        'quotas': {'quotas': [{'team': 'mill', 'used': size, 'quota': size}]},
        'shards': {'shards': [{'shard': 0, 'owner': 'e1'}]},
        'targets': {'targets': [target]},
    }
    older = {**target, 'reported_at_ms': 0, 'running_tasks': 9}
    other = {**documents, 'targets': {'targets': [older]}}
    text = '\n'.join(
        top.render_states({'a': documents, 'b': other, 'c': {'error': 'down'}})
    )
    lines = [' '.join(line.split()) for line in text.splitlines()]
    assert 'vm-1 north 4 1 0 1.5 leaving' in lines
    assert text.count('vm-1') == 1
    assert 'e1 serving 3 1 store down' in lines
    assert 'c no answer down' in lines and 'mill 4 4 0 0 0 0' in lines
    monkeypatch.setenv('BORAGESHELF_ADMIN_TOKEN', TOKEN)
    unreachable = ['--admin-urls', 'http://127.0.0.1:9', '--once']
    assert run('top', *unreachable)[0] == 5
