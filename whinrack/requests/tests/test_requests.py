"""Request identity, memory, claims and token bounds."""

import itertools

import msgspec
import pytest
from returns.result import Failure, Success

from standins.memory_store import MemoryStore
from whinrack.exceptions import BadRequest, CoverUnbounded
from whinrack.objects import TargetPool
from whinrack.requests import (
    ChatRequest,
    ClaimStatus,
    ClaimStore,
    ConsultDecision,
    RequestIdentity,
    RequestMemory,
    RunState,
    Ticket,
    body_digest,
    decode_ticket,
    encode_ticket,
    evaluate_claim,
    request_token_bound,
)

POOL = TargetPool(models=("m",), max_output_tokens=100, prompt_overhead_tokens=10)
DIGEST = body_digest(b"body")


def chat(**fields):
    plain = {"model": "m", "messages": [{"role": "user", "content": "hi"}], **fields}
    return msgspec.json.decode(msgspec.json.encode(plain), type=ChatRequest)


def consult(memory, asker, lost="", repeatable=True, digest=DIGEST):
    return memory.consult("w/k", digest, asker, lost, repeatable, now=0.0)


def test_identity_is_the_same_at_every_instance():
    one, two = (RequestIdentity.from_header("w", "k-1") for _ in range(2))
    assert one.request_id == two.request_id
    assert one.request_id != RequestIdentity.from_header("v", "k-1").request_id
    assert RequestIdentity.from_header("w", "").key != RequestIdentity.from_header("w", "").key


@pytest.mark.parametrize("key", ["x" * 201, "a\nb", "é"])
def test_invalid_keys_are_rejected(key):
    with pytest.raises(BadRequest):
        RequestIdentity.from_header("w", key)


def test_ticket_round_trip():
    assert decode_ticket(encode_ticket(Ticket("r.1"))) == Ticket("r.1")
    assert decode_ticket("something else") is None


def test_bound_counts_every_byte_message_and_choice():
    assert request_token_bound(chat(max_tokens=7, n=3), body_length=50, pool=POOL) == 50 + 20 + 21


@pytest.mark.parametrize(
    "fields", [{"max_tokens": 0}, {"max_tokens": -5}, {"max_tokens": 101}, {"n": 0}, {"n": 10**9}]
)
def test_limits_out_of_range_are_rejected(fields):
    with pytest.raises(BadRequest):
        request_token_bound(chat(**fields), body_length=50, pool=POOL)


def test_content_without_a_provable_bound_is_rejected():
    image = [{"role": "user", "content": [{"type": "image_url", "image_url": {"url": "x"}}]}]
    with pytest.raises(CoverUnbounded):
        request_token_bound(chat(messages=image), body_length=50, pool=POOL)


def test_home_cedes_once_and_refers_others_to_the_owner():
    memory = RequestMemory("home.1")
    assert consult(memory, "b.1") == (ConsultDecision.CEDED, "b.1")
    assert consult(memory, "b.1") == (ConsultDecision.CEDED, "b.1")
    assert consult(memory, "c.1") == (ConsultDecision.ELSEWHERE, "b.1")


def test_lost_owner_is_replaced_only_for_repeatable_requests():
    memory = RequestMemory("home.1")
    consult(memory, "b.1")
    verdict, _ = consult(memory, "c.1", lost="b.1", repeatable=False)
    assert verdict is ConsultDecision.OUTCOME_UNKNOWN
    assert consult(memory, "c.1", lost="b.1") == (ConsultDecision.CEDED, "c.1")


def test_key_reused_with_another_body_is_a_mismatch():
    memory = RequestMemory("home.1")
    consult(memory, "b.1")
    assert consult(memory, "c.1", digest=body_digest(b"x"))[0] is ConsultDecision.BODY_MISMATCH


def test_running_request_is_joined_and_one_that_did_not_run_is_ceded():
    memory = RequestMemory("home.1")
    memory.reserve("w/k", DIGEST, now=0.0)
    memory.set_state("w/k", RunState.RUNNING, now=0.0)
    assert consult(memory, "b.1") == (ConsultDecision.HERE, "home.1")
    memory.set_state("w/k", RunState.NOT_RUN, now=0.0)
    assert consult(memory, "b.1") == (ConsultDecision.CEDED, "b.1")


def test_two_incarnations_that_ask_each_other_agree_on_one_owner():
    first, second = RequestMemory("a.1"), RequestMemory("b.1")
    for memory in (first, second):
        memory.reserve("w/k", DIGEST, now=0.0)
    verdicts = [consult(second, "a.1")[0], consult(first, "b.1")[0]]
    assert verdicts == [ConsultDecision.CEDED, ConsultDecision.HERE]


def test_memory_is_bounded_and_keeps_running_requests():
    memory = RequestMemory("home.1", retention=10.0, max_entries=50)
    memory.reserve("w/running", DIGEST, now=0.0)
    memory.set_state("w/running", RunState.RUNNING, now=0.0)
    for number in range(500):
        memory.reserve(f"w/{number}", DIGEST, now=float(number))
        memory.set_state(f"w/{number}", RunState.FINISHED, now=float(number))
    assert len(memory) <= 60
    assert memory.find("w/running") is not None


def test_claim_has_one_holder_despite_lost_replies():
    for lost in itertools.product((0, 1), repeat=2):
        store = MemoryStore()
        identity = RequestIdentity.from_header("w", "k")
        verdicts = []
        for holder, replies in zip(("a.1", "b.1"), lost, strict=True):
            store.replies_to_drop = replies
            claims = ClaimStore(store, holder, seed=1, sleep=lambda seconds: None)
            verdicts.append(evaluate_claim(claims.claim(identity, DIGEST), holder, DIGEST).unwrap())
        assert verdicts == [ClaimStatus.HELD, ClaimStatus.HELD_ELSEWHERE]


def test_abandoned_claim_can_be_made_again():
    store = MemoryStore()
    identity = RequestIdentity.from_header("w", "k")
    first, second = ClaimStore(store, "a.1"), ClaimStore(store, "b.1")
    first.claim(identity, DIGEST)
    assert isinstance(first.abandon(identity), Success)
    assert second.claim(identity, DIGEST).unwrap().holder == "b.1"
    mismatch = second.claim(identity, body_digest(b"x"))
    assert evaluate_claim(mismatch, "b.1", body_digest(b"x")).unwrap() is ClaimStatus.BODY_MISMATCH


def test_claim_fails_while_the_platform_is_unreachable():
    store = MemoryStore()
    store.down = True
    result = ClaimStore(store, "a.1").claim(RequestIdentity.from_header("w", "k"), DIGEST)
    assert isinstance(evaluate_claim(result, "a.1", DIGEST), Failure)
