"""Tests of which instance runs a request that several instances get at the same time."""

from types import SimpleNamespace

import eventlet
import pytest
from returns.result import Failure, Success

from whinrack.exceptions import PeerUnavailable
from whinrack.membership import Member
from whinrack.observability import Metrics
from whinrack.requests import RequestIdentity, RequestMemory, RunState, body_digest
from whinrack.server._ownership import JoinHere, JoinPeer, OwnershipResolver, RunHere

IDENTITY = RequestIdentity.from_header("w", "same")
DIGEST = body_digest(b"body")
HOME = "z-home"


class FixedTable:
    """Stand-in for the membership table with one instance as the home of all requests."""

    def __init__(self, names):
        self.names = names

    def home_incarnation(self, own, identity, now):
        return HOME

    def handover_candidates(self, now):
        return []

    def find(self, incarnation):
        if incarnation not in self.names:
            return None
        return Member(incarnation=incarnation, name=incarnation, peer_address=incarnation)


class Fleet:
    """Instances that consult one another by plain function calls.

    Attributes
    ----------
    before_reply : dict of str to callable
        Called once when the named instance is consulted, before it decides on its reply,
        for example to let another instance decide in between.
    after_reply : dict of str to callable
        Called once after the named instance has decided on its reply, before that arrives.
    """

    def __init__(self, *names):
        self.memories = {name: RequestMemory(name) for name in names}
        self.lost = set()
        self.before_reply = {}
        self.after_reply = {}
        self.owners = {name: OwnershipResolver(self._context(name, names)) for name in names}

    def resolve(self, name):
        return self.owners[name].resolve(IDENTITY, DIGEST, ticket=None, is_repeatable=True)

    def consult(self, address, query):
        callback = self.before_reply.pop(address, None)
        if callback is not None:
            callback()
        if address in self.lost:
            return Failure(PeerUnavailable("lost"))
        reply = self.memories[address].consult(
            query.identity, query.digest, query.asker, query.lost_owner, query.repeatable, 0.0
        )
        self.after_reply.pop(address, lambda: None)()
        return Success(reply)

    def _context(self, name, names):
        return SimpleNamespace(
            request_memory=self.memories[name],
            state=SimpleNamespace(incarnation=name),
            membership_table=FixedTable(names),
            peer_client=SimpleNamespace(consult=self.consult),
            metrics=Metrics(),
            own_member=lambda: Member(incarnation=name, name=name),
        )


@pytest.fixture
def fleet():
    return Fleet("a", "b", HOME)


def test_a_home_that_has_ceded_a_request_does_not_cede_it_again_while_it_asks(fleet):
    """The home gets a call of its own and is consulted again while it asks the owner."""
    decisions = {"a": fleet.resolve("a")}
    fleet.before_reply["a"] = lambda: decisions.update(b=fleet.resolve("b"))
    decisions[HOME] = fleet.resolve(HOME)
    assert decisions["a"] == RunHere()
    assert isinstance(decisions["b"], JoinPeer) and decisions["b"].member.name == "a"
    assert isinstance(decisions[HOME], JoinPeer) and decisions[HOME].member.name == "a"


def test_two_calls_at_a_home_with_a_lost_owner_run_the_request_once(fleet):
    fleet.resolve("a")
    fleet.lost.add("a")
    second = []
    fleet.before_reply["a"] = lambda: second.append(fleet.resolve(HOME))
    first = fleet.resolve(HOME)
    kinds = sorted(type(decision).__name__ for decision in (first, *second))
    assert kinds == ["JoinHere", "RunHere"]


def test_a_lost_owner_is_replaced_by_one_instance_only(fleet):
    """The home and another instance find the owner unreachable at the same time."""
    fleet.resolve("a")
    fleet.lost.add("a")
    decisions = {}
    fleet.before_reply["a"] = lambda: decisions.update(b=fleet.resolve("b"))
    decisions[HOME] = fleet.resolve(HOME)
    assert isinstance(decisions["b"], RunHere) and decisions["b"].provisional_against == "a"
    assert isinstance(decisions[HOME], JoinPeer) and decisions[HOME].member.name == "b"


def test_a_refused_decision_keeps_the_known_owner(fleet):
    fleet.resolve("a")
    fleet.lost.add("a")
    owner = fleet.owners[HOME]
    with pytest.raises(Exception, match="can't be reached"):
        owner.resolve(IDENTITY, DIGEST, ticket=None, is_repeatable=False)
    entry = fleet.memories[HOME].find(IDENTITY.name)
    assert (entry.owner, entry.state) == ("a", RunState.CEDED)


def test_an_instance_waits_for_an_owner_that_has_not_recorded_its_ownership(fleet):
    """The owner has ceded the request to its home, which has not received the reply yet."""
    fleet.resolve("a")
    fleet.memories["a"].set_state(IDENTITY.name, RunState.NOT_RUN, 0.0)
    waiting = []

    def third_asks():
        waiting.append(eventlet.spawn(fleet.resolve, "b"))
        eventlet.sleep(0)

    fleet.after_reply["a"] = third_asks
    assert fleet.resolve(HOME) == RunHere()
    third = waiting[0].wait()
    assert isinstance(third, JoinPeer) and third.member.name == HOME


def test_a_second_caller_of_the_same_instance_joins(fleet):
    assert isinstance(fleet.resolve("a"), RunHere)
    assert isinstance(fleet.resolve("a"), JoinHere)
