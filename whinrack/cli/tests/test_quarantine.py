"""Tests of the operator endpoints and commands that list and lift quarantined requests."""

import pytest
from click.testing import CliRunner

from whinrack.cli._main import main
from whinrack.edge._operator_endpoints import OperatorEndpoints
from whinrack.http1 import Exchange, RequestHead
from whinrack.quarantine import Quarantine, QuarantineHost, RequestSignature, TargetEnd


class RecordingHost(QuarantineHost):
    def __init__(self):
        self.sent_cases = []

    def send_to_owners(self, case):
        pass

    def send_to_all(self, cases):
        self.sent_cases += cases

    def is_store_reachable(self):
        return False

    def schedule_save(self):
        pass


class StubMetricsEndpoint:
    def handle_metrics(self, exchange):
        exchange.respond(200, [], b"figures")


class RecordingWriter:
    """Record the response that an exchange sends."""

    def send_response(self, status, headers, body):
        self.status, self.body = status, body


@pytest.fixture
def quarantine():
    quarantine = Quarantine(None, RecordingHost(), lambda: 100.0)
    for target in "abc":
        quarantine.record_target_end(TargetEnd(target, 7), [RequestSignature("0f", "w", "r")])
    return quarantine


@pytest.fixture
def request_endpoint(quarantine):
    endpoints = OperatorEndpoints(StubMetricsEndpoint(), quarantine)

    def request_endpoint(method, path):
        writer = RecordingWriter()
        endpoints.handle(Exchange(writer, RequestHead(method, path, []), b""))
        return writer.status, writer.body

    return request_endpoint


def test_list_contains_request_workspace_and_targets(request_endpoint):
    assert request_endpoint(b"GET", b"/quarantine") == (
        200,
        b'[{"fingerprint":"0f","workspace":"w","route":"r","targets":["a@7","b@7","c@7"],'
        b'"ended_at":100.0,"trials":0}]',
    )


def test_delete_lifts_quarantine_and_notifies_all_instances(request_endpoint, quarantine):
    assert request_endpoint(b"DELETE", b"/quarantine/0f")[0] == 200
    assert quarantine.quarantined_cases() == []
    assert quarantine.host.sent_cases[-1].epoch == 1
    assert request_endpoint(b"DELETE", b"/quarantine/0f")[0] == 404


def test_other_paths_go_to_the_metrics_endpoint(request_endpoint):
    assert request_endpoint(b"GET", b"/metrics") == (200, b"figures")


def test_command_reports_unreachable_instance():
    result = CliRunner().invoke(main, ["quarantine", "list", "--metrics", "127.0.0.1:1"])
    assert result.exit_code == 1
    assert "peer_unavailable" in result.output
