"""Whole sessions of the decisions in simulated time, written down line by line.

Every line is a moment, who, and what was decided. The same session gives the same lines
to the byte: there is no clock, no thread and no random source but the seeded ones.
"""

import simpy

from whinrack.budgets import release_holder
from whinrack.budgets.tests.test_budget_manager import Fleet
from whinrack.feed import ConfigStore
from whinrack.objects import RequestClass, Target, TargetPool, Weighting, Workspace
from whinrack.requests import RequestIdentity, RequestMemory, RunState, body_digest
from whinrack.routing import LocalEjection, PickQuery, PoolState, QueuedRequest, TargetView
from whinrack.store import StoredObject

__all__ = ["SESSIONS"]


class Session:
    """Simulated time and the lines written so far."""

    def __init__(self):
        self.env = simpy.Environment()
        self.lines = []

    def say(self, who, text):
        """Write one line."""
        self.lines.append(f"{self.env.now:8.2f}  {who:10} {text}")

    def at(self, moment, function, *arguments):
        """Have something happen at a moment."""

        def process():
            yield self.env.timeout(moment - self.env.now)
            function(*arguments)

        self.env.process(process())

    def play(self):
        """Let everything happen; returns the text."""
        self.env.run()
        return "\n".join(self.lines) + "\n"


def described(result):
    """Return a result's value or failure as short text."""
    failure = result.failure() if hasattr(result, "failure") and not _good(result) else None
    return f"refused {failure.code} ({failure.message})" if failure else "covered"


def _good(result):
    return type(result).__name__ == "Success"


# --- budgets -----------------------------------------------------------------------------


def budget_session():
    """A budget from its first request to its end, through an outage and a kill."""
    session = Session()
    fleet = Fleet(("north.1", "south.1", "west.1"), 2000, horizon=30.0)
    fleet.sleep = lambda seconds: None
    covers = {}

    def clock():
        fleet.now = session.env.now

    def cover(name, holder, tokens, weighting=Weighting.OVERSPEND):
        clock()
        result = fleet.cover(holder, tokens, weighting)
        if _good(result):
            covers[name] = result.unwrap()
        session.say(holder, f"request {name} for {tokens}: {described(result)}")

    def settle(name, used):
        clock()
        if name in covers:
            covers[name].settle(used)
            session.say("engine", f"request {name} used {used}")

    def books(note):
        clock()
        entry = fleet.entry()
        session.say(
            "books",
            f"{note}: limit {entry.limit} = billed {entry.billed} + unproven {entry.unproven}"
            f" + outstanding {entry.outstanding} + free {entry.free}",
        )

    def report():
        clock()
        failed = sum(keeper.report() for keeper in fleet.managers.values())
        session.say("all", f"report, {failed} failed")

    def platform(down):
        fleet.store.down = down
        session.say("platform", "away" if down else "back")

    def kill(holder):
        del fleet.managers[holder]
        session.say(holder, "killed")

    def release(holder, served):
        change = lambda account: release_holder(account, "b", holder, served)  # noqa: E731
        fleet.editor.apply("a", change)
        session.say("operator", f"releases {holder}, served {served}")

    def drain(holder):
        clock()
        session.say(holder, f"planned stop, complete: {fleet.managers[holder].drain()}")

    for number, holder in enumerate(("north.1", "south.1", "west.1")):
        session.at(1 + number, cover, f"a{number}", holder, 150)
        session.at(4 + number, settle, f"a{number}", 90)
    session.at(10, report)
    session.at(11, books, "after the first requests")
    session.at(12, platform, True)
    session.at(13, cover, "b0", "north.1", 150)
    session.at(14, cover, "b1", "north.1", 1500)
    session.at(15, settle, "b0", 150)
    session.at(16, report)
    session.at(20, platform, False)
    session.at(21, report)
    session.at(22, books, "after the outage")
    session.at(23, cover, "c0", "west.1", 100)
    session.at(24, kill, "west.1")
    session.at(25, cover, "c1", "south.1", 1200)
    session.at(26, settle, "c1", 1100)
    session.at(27, books, "after the kill")
    session.at(28, cover, "c2", "north.1", 400)
    session.at(29, release, "west.1", 100)
    session.at(35, cover, "c3", "north.1", 400)
    session.at(36, books, "after the release")
    session.at(37, settle, "c3", 300)
    session.at(50, cover, "c4", "south.1", 400)
    session.at(51, drain, "north.1")
    session.at(52, drain, "south.1")
    session.at(53, books, "after planned stops")
    return session.play()


# --- request memory ----------------------------------------------------------------------


def ownership_session():
    """One key at three instances: ceded, joined, lost, taken over, refused."""
    session = Session()
    memories = {name: RequestMemory(name) for name in ("a.1", "b.1", "c.1")}
    digest = body_digest(b"alert")
    key = RequestIdentity.from_header("w", "alert-7").name

    def reserve(who):
        memories[who].reserve(key, digest, session.env.now)
        session.say(who, "reserves the request and asks its home")

    def state(who, value):
        memories[who].set_state(key, value, session.env.now)
        session.say(who, f"is now {value}")

    def consult(home, asker, lost="", repeatable=True, body=digest):
        verdict, owner = memories[home].consult(key, body, asker, lost, repeatable, session.env.now)
        kind = "repeatable" if repeatable else "not repeatable"
        missing = f", {lost} is lost" if lost else ""
        session.say(asker, f"asks {home} ({kind}{missing}): {verdict} {owner}".rstrip())

    session.at(1, consult, "a.1", "b.1")
    session.at(1, reserve, "b.1")
    session.at(2, state, "b.1", RunState.RUNNING)
    session.at(3, consult, "a.1", "c.1")
    session.at(4, consult, "b.1", "c.1")
    session.at(5, consult, "a.1", "c.1", "b.1", False)
    session.at(6, consult, "a.1", "c.1", "b.1", True)
    session.at(7, consult, "a.1", "b.1")
    session.at(8, consult, "a.1", "c.1", "", True, body_digest(b"another"))
    session.at(9, reserve, "c.1")
    session.at(10, state, "c.1", RunState.NOT_RUN)
    session.at(11, consult, "c.1", "b.1")
    session.at(12, reserve, "a.1")
    session.at(12, reserve, "b.1")
    session.at(13, consult, "b.1", "a.1")
    session.at(13, consult, "a.1", "b.1")
    return session.play()


# --- pools -------------------------------------------------------------------------------


def pool_session():
    """A pool through load, a failing target, a leaving one and an overload."""
    session = Session()
    pool = PoolState("p", TargetPool(models=("m",), queue_limit=3), seed=7)
    for name in ("t1", "t2", "t3"):
        spec = Target(pool="p", address="127.0.0.1:1", max_concurrency=2)
        pool.add(TargetView(name, spec, LocalEjection(failure_threshold=2, initial_seconds=5.0)))
    pool.queue.service_time = 2.0
    placed = []

    def pick(request_class):
        now = session.env.now
        target = pool.pick(PickQuery(request_class=request_class), now)
        placed.append(target)
        session.say(str(request_class), f"goes to {target.name if target else 'nobody'}")

    def queue(request_class, patience):
        now = session.env.now
        waiter = QueuedRequest(
            request_class, now + patience, lambda: session.say("queue", "wakes one")
        )
        result = pool.queue.enqueue(waiter, pool.slots(now), now)
        text = "waits" if _good(result) else described(result)
        session.say(str(request_class), f"{text}; {len(pool.queue)} wait")

    def fail(name):
        pool.targets[name].record_failure(session.env.now)
        out = pool.targets[name].ejection.is_ejected(session.env.now)
        session.say(name, f"fails, set aside: {out}")

    def leave(name):
        pool.targets[name].is_instance_leaving = True
        session.say(name, "is leaving")

    def busy(name):
        pool.targets[name].record_overload()
        session.say(name, f"says it is busy, limit {pool.targets[name].concurrency_limit:.2f}")

    def serve():
        waiter = pool.queue.peek(session.env.now)
        if waiter is not None:
            pool.queue.remove(waiter)
            session.say(str(waiter.request_class), f"is served; {len(pool.queue)} wait")

    for moment in (1, 1, 1, 1):
        session.at(moment, pick, RequestClass.INTERACTIVE)
    session.at(2, pick, RequestClass.DEFERRABLE)
    session.at(3, fail, "t1")
    session.at(4, fail, "t1")
    session.at(5, pick, RequestClass.ALERT)
    session.at(6, leave, "t2")
    session.at(7, pick, RequestClass.INTERACTIVE)
    session.at(8, busy, "t3")
    session.at(9, queue, RequestClass.DEFERRABLE, 30.0)
    session.at(9, queue, RequestClass.INTERACTIVE, 30.0)
    session.at(9, queue, RequestClass.INTERACTIVE, 1.0)
    session.at(10, queue, RequestClass.DEFERRABLE, 60.0)
    session.at(10, queue, RequestClass.ALERT, 30.0)
    session.at(10, queue, RequestClass.DEFERRABLE, 60.0)
    for moment in (11, 12, 13):
        session.at(moment, serve)
    return session.play()


# --- configuration -----------------------------------------------------------------------


def configuration_session():
    """Versions from a watch, a peer and snapshots, late and out of order."""
    session = Session()
    config = ConfigStore(
        on_change=lambda kinds: session.say("config", f"changed, newest {config.newest_version}"),
        on_invalid=lambda stored, error: session.say("config", f"keeps the last: {error.message}"),
    )

    def workspace(version, value, deleted=False):
        return StoredObject("Workspace", "w", version, value, deleted)

    def batch(source, revision, *objects):
        taken = config.apply_batch(revision, objects)
        session.say(source, f"up to {revision}: {taken} of {len(objects)} new")
        show()

    def snapshot(source, revision, *objects):
        taken = config.apply_snapshot(revision, objects)
        session.say(source, f"all at {revision}: {taken} new")
        show()

    def show():
        spec = config.get(Workspace, "w")
        session.say("in force", "nothing" if spec is None else str(spec.weighting))

    first, second = b'{"weighting":"overspend"}', b'{"weighting":"false_refusals"}'
    session.at(1, snapshot, "platform", 5, workspace(3, first))
    session.at(2, batch, "watch", 8, workspace(8, second))
    session.at(3, batch, "peer", 7, workspace(3, first))
    session.at(4, snapshot, "platform", 6, workspace(3, first))
    session.at(5, batch, "watch", 9, workspace(9, b'{"weighting":"cheap"}'))
    session.at(6, batch, "watch", 11, workspace(11, b"null", True))
    session.at(7, snapshot, "platform", 10, workspace(8, second))
    session.at(8, batch, "peer", 12, workspace(12, first))
    session.at(9, snapshot, "platform", 13)
    return session.play()


SESSIONS = {
    "budget": budget_session,
    "ownership": ownership_session,
    "pool": pool_session,
    "configuration": configuration_session,
}
