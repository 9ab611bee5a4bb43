"""Scripted sessions of budgets, request memory, pools and configuration in simulated time.

Each session returns a transcript: one line per decision with its time, actor and text.
Transcripts are deterministic: there are no real clocks or threads, and every random
generator is seeded.
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
    """A simulation and the transcript recorded so far."""

    def __init__(self):
        self.env = simpy.Environment()
        self.lines = []

    def record(self, actor, text):
        """Append one line to the transcript."""
        self.lines.append(f"{self.env.now:8.2f}  {actor:10} {text}")

    def schedule(self, time, function, *arguments):
        """Call a function at a simulated time."""

        def process():
            yield self.env.timeout(time - self.env.now)
            function(*arguments)

        self.env.process(process())

    def run(self):
        """Run all scheduled calls and return the transcript."""
        self.env.run()
        return "\n".join(self.lines) + "\n"


def describe_result(result):
    """Describe a cover or queue result: the failure if there is one, else "covered"."""
    failure = result.failure() if hasattr(result, "failure") and not _is_success(result) else None
    return f"refused {failure.code} ({failure.message})" if failure else "covered"


def _is_success(result):
    return type(result).__name__ == "Success"


# --- budgets -----------------------------------------------------------------------------


def budget_session():
    """Record covers of one budget through an outage, a kill, a release and planned stops."""
    session = Session()
    fleet = Fleet(("north.1", "south.1", "west.1"), 2000, horizon=30.0)
    fleet.sleep = lambda seconds: None
    covers = {}

    def clock():
        fleet.now = session.env.now

    def cover(name, holder, tokens, weighting=Weighting.OVERSPEND):
        clock()
        result = fleet.cover(holder, tokens, weighting)
        if _is_success(result):
            covers[name] = result.unwrap()
        session.record(holder, f"request {name} for {tokens}: {describe_result(result)}")

    def settle(name, used):
        clock()
        if name in covers:
            covers[name].settle(used)
            session.record("engine", f"request {name} used {used}")

    def record_books(note):
        clock()
        entry = fleet.entry()
        session.record(
            "books",
            f"{note}: limit {entry.limit} = billed {entry.billed} + unproven {entry.unproven}"
            f" + outstanding {entry.outstanding} + free {entry.free}",
        )

    def report():
        clock()
        failed = sum(keeper.report() for keeper in fleet.managers.values())
        session.record("all", f"report, {failed} failed")

    def set_platform_down(down):
        fleet.store.down = down
        session.record("platform", "away" if down else "back")

    def kill(holder):
        del fleet.managers[holder]
        session.record(holder, "killed")

    def release(holder, served):
        change = lambda account: release_holder(account, "b", holder, served)  # noqa: E731
        fleet.editor.apply("a", change)
        session.record("operator", f"releases {holder}, served {served}")

    def drain(holder):
        clock()
        session.record(holder, f"planned stop, complete: {fleet.managers[holder].drain()}")

    for number, holder in enumerate(("north.1", "south.1", "west.1")):
        session.schedule(1 + number, cover, f"a{number}", holder, 150)
        session.schedule(4 + number, settle, f"a{number}", 90)
    session.schedule(10, report)
    session.schedule(11, record_books, "after the first requests")
    session.schedule(12, set_platform_down, True)
    session.schedule(13, cover, "b0", "north.1", 150)
    session.schedule(14, cover, "b1", "north.1", 1500)
    session.schedule(15, settle, "b0", 150)
    session.schedule(16, report)
    session.schedule(20, set_platform_down, False)
    session.schedule(21, report)
    session.schedule(22, record_books, "after the outage")
    session.schedule(23, cover, "c0", "west.1", 100)
    session.schedule(24, kill, "west.1")
    session.schedule(25, cover, "c1", "south.1", 1200)
    session.schedule(26, settle, "c1", 1100)
    session.schedule(27, record_books, "after the kill")
    session.schedule(28, cover, "c2", "north.1", 400)
    session.schedule(29, release, "west.1", 100)
    session.schedule(35, cover, "c3", "north.1", 400)
    session.schedule(36, record_books, "after the release")
    session.schedule(37, settle, "c3", 300)
    session.schedule(50, cover, "c4", "south.1", 400)
    session.schedule(51, drain, "north.1")
    session.schedule(52, drain, "south.1")
    session.schedule(53, record_books, "after planned stops")
    return session.run()


# --- request memory ----------------------------------------------------------------------


def ownership_session():
    """Record consultations of three instances about one idempotency key."""
    session = Session()
    memories = {name: RequestMemory(name) for name in ("a.1", "b.1", "c.1")}
    digest = body_digest(b"alert")
    key = RequestIdentity.from_header("w", "alert-7").name

    def reserve(actor):
        memories[actor].reserve(key, digest, session.env.now)
        session.record(actor, "reserves the request and asks its home")

    def set_state(actor, value):
        memories[actor].set_state(key, value, session.env.now)
        session.record(actor, f"is now {value}")

    def consult(home, asker, lost="", repeatable=True, body=digest):
        verdict, owner = memories[home].consult(key, body, asker, lost, repeatable, session.env.now)
        kind = "repeatable" if repeatable else "not repeatable"
        missing = f", {lost} is lost" if lost else ""
        session.record(asker, f"asks {home} ({kind}{missing}): {verdict} {owner}".rstrip())

    session.schedule(1, consult, "a.1", "b.1")
    session.schedule(1, reserve, "b.1")
    session.schedule(2, set_state, "b.1", RunState.RUNNING)
    session.schedule(3, consult, "a.1", "c.1")
    session.schedule(4, consult, "b.1", "c.1")
    session.schedule(5, consult, "a.1", "c.1", "b.1", False)
    session.schedule(6, consult, "a.1", "c.1", "b.1", True)
    session.schedule(7, consult, "a.1", "b.1")
    session.schedule(8, consult, "a.1", "c.1", "", True, body_digest(b"another"))
    session.schedule(9, reserve, "c.1")
    session.schedule(10, set_state, "c.1", RunState.NOT_RUN)
    session.schedule(11, consult, "c.1", "b.1")
    session.schedule(12, reserve, "a.1")
    session.schedule(12, reserve, "b.1")
    session.schedule(13, consult, "b.1", "a.1")
    session.schedule(13, consult, "a.1", "b.1")
    return session.run()


# --- pools -------------------------------------------------------------------------------


def pool_session():
    """Record picks and queueing with a failing, a leaving and an overloaded target."""
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
        session.record(str(request_class), f"goes to {target.name if target else 'nobody'}")

    def enqueue(request_class, patience):
        now = session.env.now
        waiter = QueuedRequest(
            request_class, now + patience, lambda: session.record("queue", "wakes a request")
        )
        result = pool.queue.enqueue(waiter, pool.slots(now), now)
        text = "waits" if _is_success(result) else describe_result(result)
        session.record(str(request_class), f"{text}; {len(pool.queue)} wait")

    def record_failure(name):
        pool.targets[name].record_failure(session.env.now)
        is_ejected = pool.targets[name].ejection.is_ejected(session.env.now)
        session.record(name, f"fails, ejected: {is_ejected}")

    def mark_leaving(name):
        pool.targets[name].is_instance_leaving = True
        session.record(name, "is leaving")

    def report_overload(name):
        pool.targets[name].record_overload()
        session.record(name, f"reports overload, limit {pool.targets[name].concurrency_limit:.2f}")

    def serve():
        waiter = pool.queue.peek(session.env.now)
        if waiter is not None:
            pool.queue.remove(waiter)
            session.record(str(waiter.request_class), f"is served; {len(pool.queue)} wait")

    for time in (1, 1, 1, 1):
        session.schedule(time, pick, RequestClass.INTERACTIVE)
    session.schedule(2, pick, RequestClass.DEFERRABLE)
    session.schedule(3, record_failure, "t1")
    session.schedule(4, record_failure, "t1")
    session.schedule(5, pick, RequestClass.ALERT)
    session.schedule(6, mark_leaving, "t2")
    session.schedule(7, pick, RequestClass.INTERACTIVE)
    session.schedule(8, report_overload, "t3")
    session.schedule(9, enqueue, RequestClass.DEFERRABLE, 30.0)
    session.schedule(9, enqueue, RequestClass.INTERACTIVE, 30.0)
    session.schedule(9, enqueue, RequestClass.INTERACTIVE, 1.0)
    session.schedule(10, enqueue, RequestClass.DEFERRABLE, 60.0)
    session.schedule(10, enqueue, RequestClass.ALERT, 30.0)
    session.schedule(10, enqueue, RequestClass.DEFERRABLE, 60.0)
    for time in (11, 12, 13):
        session.schedule(time, serve)
    return session.run()


# --- configuration -----------------------------------------------------------------------


def configuration_session():
    """Record updates from a watch, a peer and snapshots that arrive late and out of order."""
    session = Session()
    config = ConfigStore(
        on_change=lambda kinds: session.record(
            "config", f"changed, newest {config.newest_version}"
        ),
        on_invalid=lambda stored, error: session.record(
            "config", f"keeps the last version: {error.message}"
        ),
    )

    def workspace(version, value, deleted=False):
        return StoredObject("Workspace", "w", version, value, deleted)

    def batch(source, revision, *objects):
        applied = config.apply_batch(revision, objects)
        session.record(source, f"batch at {revision}: {applied} of {len(objects)} new")
        show()

    def snapshot(source, revision, *objects):
        applied = config.apply_snapshot(revision, objects)
        session.record(source, f"snapshot at {revision}: {applied} new")
        show()

    def show():
        spec = config.get(Workspace, "w")
        session.record("in force", "nothing" if spec is None else str(spec.weighting))

    first, second = b'{"weighting":"overspend"}', b'{"weighting":"false_refusals"}'
    session.schedule(1, snapshot, "platform", 5, workspace(3, first))
    session.schedule(2, batch, "watch", 8, workspace(8, second))
    session.schedule(3, batch, "peer", 7, workspace(3, first))
    session.schedule(4, snapshot, "platform", 6, workspace(3, first))
    session.schedule(5, batch, "watch", 9, workspace(9, b'{"weighting":"cheap"}'))
    session.schedule(6, batch, "watch", 11, workspace(11, b"null", True))
    session.schedule(7, snapshot, "platform", 10, workspace(8, second))
    session.schedule(8, batch, "peer", 12, workspace(12, first))
    session.schedule(9, snapshot, "platform", 13)
    return session.run()


SESSIONS = {
    "budget": budget_session,
    "ownership": ownership_session,
    "pool": pool_session,
    "configuration": configuration_session,
}
