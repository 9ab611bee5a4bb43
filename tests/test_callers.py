"""The HTTP API: the OpenAI client, invalid input, complete answers and disconnects."""

import hashlib
import json
import socket
import time

import httpx2 as httpx
import openai
import pytest

from tests.support import (
    expected_text,
    make_fleet_fixture,
    reset_faults,  # noqa: F401
    run_in_parallel,
    stream_text,
    wait_until,
)

fleet = make_fleet_fixture(routers=2, settings={"http": {"body_timeout": "0.5"}})


def open_cover_tokens(fleet):
    return sum(
        grant["open_cover"] for router in fleet.routers for grant in fleet.status(router)["grants"]
    )


def openai_client(fleet, **options):
    router = fleet.routers[0]
    return openai.OpenAI(
        base_url=f"http://{router.address}/v1", api_key=fleet.caller.bearer, **options
    )


# --- the OpenAI client -------------------------------------------------------------------


def test_the_openai_client_streams(fleet):
    stream = openai_client(fleet).chat.completions.create(
        model="m",
        messages=[{"role": "user", "content": "alpha beta"}],
        max_tokens=5,
        stream=True,
        stream_options={"include_usage": True},
    )
    chunks = list(stream)
    text = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    assert text == expected_text("alpha beta", 5)
    assert chunks[-1].usage.total_tokens == 7


def test_the_openai_client_gets_complete_answers_and_models(fleet):
    answer = openai_client(fleet).chat.completions.create(
        model="m", messages=[{"role": "user", "content": "alpha"}], max_completion_tokens=3
    )
    assert answer.choices[0].message.content == expected_text("alpha", 3)
    assert [model.id for model in openai_client(fleet).models.list()] == ["m"]


def test_the_openai_client_raises_its_own_errors(fleet):
    wrong = openai.OpenAI(base_url=f"http://{fleet.routers[0].address}/v1", api_key="wr_k_x")
    with pytest.raises(openai.AuthenticationError) as raised:
        wrong.models.list()
    assert raised.value.code == "invalid_api_key"
    with pytest.raises(openai.BadRequestError) as raised:
        openai_client(fleet).chat.completions.create(
            model="m", messages=[{"role": "user", "content": "a"}], max_tokens=10**9
        )
    assert raised.value.param == "max_tokens"
    with pytest.raises(openai.NotFoundError):
        openai_client(fleet).chat.completions.create(
            model="none", messages=[{"role": "user", "content": "a"}]
        )


def test_an_exhausted_budget_is_not_retried_by_the_client(fleet):
    router = fleet.routers[0]
    before = fleet.nonzero_metrics(router).get(
        'whinrack_refusals_total{reason="budget_exhausted"}', 0
    )
    with pytest.raises(openai.APIStatusError) as raised:
        openai_client(fleet, max_retries=3).chat.completions.create(
            model="m", messages=[{"role": "user", "content": "a " * 60_000}], max_tokens=2
        )
    assert raised.value.status_code == 402
    after = fleet.nonzero_metrics(router)['whinrack_refusals_total{reason="budget_exhausted"}']
    assert after == before + 1


# --- invalid input -----------------------------------------------------------------------

VALID_BODY = {"model": "m", "messages": [{"role": "user", "content": "a"}]}
INVALID_BODIES = [
    (b"", 400),
    (b"{", 400),
    (b"[]", 400),
    (b"\xff\xfe", 400),
    (b'{"model": "m", "messages": [], "max_tokens": 1}', 400),
    (json.dumps({**VALID_BODY, "max_tokens": -1}).encode(), 400),
    (json.dumps({**VALID_BODY, "max_tokens": 0}).encode(), 400),
    (json.dumps({**VALID_BODY, "max_tokens": 1.5}).encode(), 400),
    (json.dumps({**VALID_BODY, "max_tokens": "7"}).encode(), 400),
    (json.dumps({**VALID_BODY, "max_tokens": float("nan")}).encode(), 400),
    (json.dumps({**VALID_BODY, "max_tokens": 10**30}).encode(), 400),
    (json.dumps({**VALID_BODY, "n": -2}).encode(), 400),
    (json.dumps({**VALID_BODY, "n": 10**6}).encode(), 400),
    (json.dumps({**VALID_BODY, "stream": "yes"}).encode(), 400),
    (json.dumps({**VALID_BODY, "messages": "hi"}).encode(), 400),
    (json.dumps({**VALID_BODY, "model": ["m"]}).encode(), 400),
    (json.dumps({**VALID_BODY, "model": "none"}).encode(), 404),
    (json.dumps({**VALID_BODY, "best_of": 9}).encode(), 400),
    (b"[" * 100_000, 400),
    (b"x" * 1_100_000, 413),
]


@pytest.mark.parametrize(("body", "status"), INVALID_BODIES)
def test_invalid_bodies_are_refused_quickly_and_reserve_nothing(fleet, body, status):
    url = f"http://{fleet.routers[0].address}/v1/chat/completions"
    began = time.monotonic()
    answer = httpx.post(url, content=body, headers=fleet.caller.headers())
    assert time.monotonic() - began < 0.5
    assert answer.status_code == status
    assert answer.json()["error"]["code"]
    assert b"Traceback" not in answer.content
    assert answer.headers["whinrack-outcome"] == "not_run"
    assert open_cover_tokens(fleet) == 0


@pytest.mark.parametrize(
    "headers",
    [
        {"deadline": "nan"},
        {"deadline": "-1"},
        {"deadline": "soon"},
        {"repeatable": "maybe"},
        {"kind": "urgent"},
        {"key": "x" * 300},
    ],
)
def test_invalid_headers_are_refused_by_name(fleet, headers):
    answer = fleet.caller.chat(fleet.routers[0], **headers)
    assert answer.status == 400
    assert json.loads(answer.data)["error"]["param"]
    assert open_cover_tokens(fleet) == 0


@pytest.mark.parametrize("path", ["/nothing", "/v1/../etc", "/services/none/x", "/v1/status"])
def test_unknown_paths_are_refused(fleet, path):
    answer = fleet.routers[0].call("GET", path, headers=fleet.caller.headers())
    assert answer.status in (401, 404)


def test_a_slow_request_body_times_out(fleet):
    router = fleet.routers[0]
    host, port = router.address.split(":")
    with socket.create_connection((host, int(port)), timeout=15) as sock:
        sock.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
            + f"Authorization: Bearer {fleet.caller.bearer}\r\n\r\n{{".encode()
        )
        # The pending body does not block other requests.
        assert fleet.caller.chat(router).status == 200
        assert sock.recv(100).startswith(b"HTTP/1.1 408")


# --- complete answers --------------------------------------------------------------------


def test_a_streamed_answer_reports_its_outcome(fleet):
    answer = fleet.caller.stream(fleet.routers[0])
    assert stream_text(answer) == expected_text("one two three", 10)
    assert answer.headers["Whinrack-Outcome"] == "ran"
    assert answer.headers["Whinrack-Attempts"] == "1"
    assert answer.headers["X-Request-Id"]
    assert b'"usage"' not in answer.data


@pytest.mark.usefixtures("reset_faults")
def test_an_interrupted_stream_is_resumed_and_completed(fleet):
    fleet.targets["e1"].set_faults(cut_after=4)
    answer = fleet.caller.stream(fleet.routers[0])
    assert stream_text(answer) == expected_text("one two three", 10)
    assert (
        len([s for s in fleet.targets["e1"].list_starts() if s["id"] in str(answer.headers)]) == 1
    )


@pytest.mark.usefixtures("reset_faults")
@pytest.mark.parametrize(
    "faults", [{"foreign_id": True}, {"duplicate": True}, {"overrun": 50}, {"cut_after": 0}]
)
def test_an_invalid_stream_is_never_reported_as_complete(fleet, faults):
    fleet.targets["e1"].set_faults(**faults)
    answer = fleet.caller.stream(fleet.routers[0])
    if faults.get("cut_after") == 0 and answer.status == 200:
        assert stream_text(answer) == expected_text("one two three", 10)
        return
    assert b"[DONE]" not in answer.data
    assert b"chatcmpl-other" not in answer.data
    assert b'"error"' in answer.data


@pytest.mark.usefixtures("reset_faults")
@pytest.mark.parametrize("faults", [{"foreign_id": True}, {"cut_after": 0}])
def test_an_invalid_non_streamed_answer_is_dropped(fleet, faults):
    fleet.targets["e1"].set_faults(**faults)
    answer = fleet.caller.chat(fleet.routers[0])
    assert answer.status == 502
    assert answer.headers["Whinrack-Outcome"] == "unknown"
    assert b"chatcmpl-other" not in answer.data


@pytest.mark.usefixtures("reset_faults")
def test_a_disconnect_cancels_generation_and_settles_the_cover(fleet):
    fleet.targets["e1"].set_faults(token_delay=0.02)
    router = fleet.routers[0]
    host, port = router.address.split(":")
    body = json.dumps({**VALID_BODY, "max_tokens": 1000, "stream": True}).encode()
    with socket.create_connection((host, int(port)), timeout=15) as sock:
        sock.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            + f"Content-Length: {len(body)}\r\n".encode()
            + f"Authorization: Bearer {fleet.caller.bearer}\r\n\r\n".encode()
            + body
        )
        assert sock.recv(100).startswith(b"HTTP/1.1 200")
    last = wait_until(lambda: (s := fleet.targets["e1"].list_starts()[-1])["cancelled"] and s)
    assert last["generated"] < 500
    wait_until(lambda: open_cover_tokens(fleet) == 0)


@pytest.mark.usefixtures("reset_faults")
def test_overloaded_targets_are_answered_with_retry_after(fleet):
    fleet.targets["e1"].set_faults(busy=True)
    answer = fleet.caller.chat(fleet.routers[0])
    assert answer.status == 503
    assert int(answer.headers["Retry-After"]) >= 1
    assert answer.headers["Whinrack-Outcome"] == "not_run"


@pytest.mark.usefixtures("reset_faults")
def test_no_request_is_sent_to_an_engine_before_its_retry_after(fleet):
    engine = fleet.targets["e1"]
    engine.set_faults(busy=True, rest="3")
    assert fleet.caller.chat(fleet.routers[0]).status == 503
    engine.set_faults(busy=False)
    began = time.monotonic()
    answer = fleet.caller.chat(fleet.routers[0])
    assert (answer.status, answer.headers["Whinrack-Attempts"]) == (503, "0")
    assert 1 <= int(answer.headers["Retry-After"]) <= 3
    assert time.monotonic() - began < 1.0
    time.sleep(3.0)
    assert fleet.caller.chat(fleet.routers[0]).status == 200


@pytest.mark.usefixtures("reset_faults")
def test_no_request_is_sent_to_an_engine_that_reports_leaving(fleet):
    engine, router = fleet.targets["e1"], fleet.routers[0]
    engine.set_faults(leaving=True)
    wait_until(lambda: fleet.caller.chat(router).status == 503)
    engine.set_faults(leaving=False)
    wait_until(lambda: fleet.caller.chat(router).status == 200)


# --- services ----------------------------------------------------------------------------


def test_a_service_receives_body_and_headers_unchanged(fleet):
    body = bytes(range(256)) * 1000
    answer = httpx.post(
        f"http://{fleet.routers[0].address}/services/board/a%20b/c?d=e&f",
        content=body,
        headers={**fleet.caller.headers(), "X-Kept": "yes"},
    )
    assert answer.status_code == 200
    value = answer.json()
    assert value["digest"] == hashlib.sha256(body).hexdigest()
    assert (value["path"], value["query"], value["kept"]) == ("/a b/c", "d=e&f", "yes")
    assert answer.headers["x-service"] == "echo"


def test_another_body_under_a_used_key_is_refused(fleet):
    first = fleet.caller.post(fleet.routers[0], key="reused", value={"a": 1})
    second = fleet.caller.post(fleet.routers[0], key="reused", value={"a": 2})
    third = fleet.caller.post(fleet.routers[1], key="reused", value={"a": 2})
    assert (first.status, second.status, third.status) == (200, 409, 409)


@pytest.mark.usefixtures("reset_faults")
def test_reused_target_connections_cause_no_retries(fleet):
    """A load test failed because the end of a stream was left unread on a reused connection."""
    router = fleet.routers[1]
    fleet.targets["e1"].set_faults(token_delay=0.002)

    def send_streams():
        for number in range(25):
            answer = fleet.caller.stream(router, text=f"text {number}")
            assert stream_text(answer) == expected_text(f"text {number}", 10)
        return "done"

    assert run_in_parallel(*[send_streams] * 4) == ["done"] * 4
    assert not [name for name in fleet.nonzero_metrics(router) if "retries_total" in name]
