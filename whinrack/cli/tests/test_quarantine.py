"""Operators see the requests that are kept out, and lift one."""

import pytest
from click.testing import CliRunner

from whinrack.cli._main import main
from whinrack.edge._operator_endpoints import OperatorEndpoints
from whinrack.http1 import Exchange, RequestHead
from whinrack.quarantine import Quarantine, QuarantineHost, RequestSignature, TargetEnd


class Host(QuarantineHost):
    def __init__(self):
        self.told = []

    def send_to_owners(self, case):
        pass

    def send_to_all(self, cases):
        self.told += cases

    def reaches_store(self):
        return False

    def schedule_save(self):
        pass


class MetricsEndpoint:
    def handle_metrics(self, exchange):
        exchange.respond(200, [], b"figures")


class Sink:
    """Keeps the answer."""

    def send_response(self, status, headers, body):
        self.status, self.body = status, body


@pytest.fixture
def quarantine():
    quarantine = Quarantine(None, Host(), lambda: 100.0)
    for target in "abc":
        quarantine.record_target_end(TargetEnd(target, 7), [RequestSignature("0f", "w", "r")])
    return quarantine


@pytest.fixture
def ask(quarantine):
    answers = OperatorEndpoints(MetricsEndpoint(), quarantine)

    def ask(method, path):
        sink = Sink()
        answers.handle(Exchange(sink, RequestHead(method, path, []), b""))
        return sink.status, sink.body

    return ask


def test_the_list_names_request_caller_and_targets(ask):
    assert ask(b"GET", b"/quarantine") == (
        200,
        b'[{"fingerprint":"0f","workspace":"w","route":"r","targets":["a@7","b@7","c@7"],'
        b'"ended_at":100.0,"trials":0}]',
    )


def test_lifting_lets_it_through_and_tells_all(ask, quarantine):
    assert ask(b"DELETE", b"/quarantine/0f")[0] == 200
    assert quarantine.quarantined_cases() == []
    assert quarantine.host.told[-1].epoch == 1
    assert ask(b"DELETE", b"/quarantine/0f")[0] == 404


def test_other_paths_show_the_figures(ask):
    assert ask(b"GET", b"/metrics") == (200, b"figures")


def test_the_command_line_says_when_nobody_answers():
    result = CliRunner().invoke(main, ["quarantine", "list", "--metrics", "127.0.0.1:1"])
    assert result.exit_code == 1
    assert "peer_unavailable" in result.output
