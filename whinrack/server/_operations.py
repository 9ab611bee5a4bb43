"""Operational endpoints: entry addresses, models, status, health and metrics."""

import hmac

import msgspec

from whinrack.clock import steady
from whinrack.exceptions import Unauthorized
from whinrack.objects import TargetPool
from whinrack.requests import Ticket, encode_ticket
from whinrack.server._context import ServerContext
from whinrack.server._http import HttpAnswer, HttpRequest, json_answer
from whinrack.status import FLEET_KEY_HEADER, GrantStatus, RouterStatus

__all__ = ["OperationsEndpoint"]

_MAX_ENTRY_ADDRESSES = 8


class EntryReply(msgspec.Struct, frozen=True):
    """Addresses in order of preference, how long they are valid, and the ticket to send."""

    addresses: list[str]
    valid_seconds: float
    ticket: str


class ModelRow(msgspec.Struct, frozen=True):
    """One model, in the form of OpenAI-compatible APIs."""

    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "whinrack"


class ModelList(msgspec.Struct, frozen=True):
    """The list of models, in the form of OpenAI-compatible APIs."""

    data: list[ModelRow]
    object: str = "list"


class Health(msgspec.Struct, frozen=True):
    """Answer of the health and readiness endpoints."""

    status: str


class OperationsEndpoint:
    """Endpoints about the daemon itself.

    Parameters
    ----------
    context : ServerContext
        Components of the daemon.
    """

    def __init__(self, context: ServerContext):
        self.context = context

    def entry(self, request: HttpRequest) -> HttpAnswer:
        """Return the addresses to use; requires no key, as they are not secret."""
        own_member = self.context.own_member()
        busy = self.context.settings.http.busy_requests
        members = self.context.membership_table.entry_points(own_member, steady(), busy)
        home = members[0] if members else own_member
        reply = EntryReply(
            addresses=[member.http_address for member in members[:_MAX_ENTRY_ADDRESSES]],
            valid_seconds=self.context.settings.http.entry_seconds,
            ticket=encode_ticket(Ticket(home.incarnation)),
        )
        return json_answer(reply)

    def models(self) -> HttpAnswer:
        """Return the models that any pool serves."""
        pools = self.context.config.specs_of_kind(TargetPool).values()
        names = sorted({model for pool in pools for model in pool.models})
        return json_answer(ModelList([ModelRow(name) for name in names]))

    def status(self, request: HttpRequest) -> HttpAnswer:
        """Return the state of this daemon for operators; requires the fleet key."""
        shown = request.header(FLEET_KEY_HEADER)
        expected = self.context.settings.peer.fleet_key
        if not hmac.compare_digest(shown.encode(), expected.encode()):
            raise Unauthorized("the fleet key is required")
        return json_answer(self._status())

    def health(self) -> HttpAnswer:
        """Report that the process is running."""
        return json_answer(Health("ok"))

    def ready(self) -> HttpAnswer:
        """Report whether the daemon has a configuration and isn't leaving."""
        state = self.context.state
        if state.is_leaving:
            return json_answer(Health("leaving"), 503)
        if not state.is_ready:
            return json_answer(Health("no configuration yet"), 503)
        return json_answer(Health("ready"))

    def metrics(self) -> HttpAnswer:
        """Return the metrics in the Prometheus text format."""
        self._set_gauges()
        body = self.context.metrics.render()
        headers = [
            ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
            ("Content-Length", str(len(body))),
        ]
        return HttpAnswer(200, headers, [body])

    def _status(self) -> RouterStatus:
        context, now = self.context, steady()
        targets = context.pool_directory.targets()
        grants = [
            GrantStatus(
                ledger.budget,
                ledger.spendable,
                ledger.open_cover,
                ledger.is_closed,
                ledger.has_unreported_totals,
            )
            for ledger in context.budget_manager.ledgers()
        ]
        return RouterStatus(
            incarnation=context.state.incarnation,
            leaving=context.state.is_leaving,
            newest=context.config.newest_version,
            requests_in_progress=context.state.in_progress,
            members=sorted(member.name for member in context.membership_table.live_members(now)),
            watching=context.state.is_watching,
            leaving_targets=sorted(target.name for target in targets if target.is_leaving),
            ejected_targets=sorted(t.name for t in targets if t.ejection.is_ejected(now)),
            grants=grants,
            versions=context.config.versions(),
        )

    def _set_gauges(self) -> None:
        context, metrics = self.context, self.context.metrics
        ledgers = context.budget_manager.ledgers()
        metrics.config_revision.set(context.config.newest_version)
        metrics.members.set(len(context.membership_table.live_members(steady())))
        metrics.requests_in_progress.set(context.state.in_progress)
        metrics.spendable_tokens.set(sum(ledger.spendable for ledger in ledgers))
        metrics.open_cover_tokens.set(sum(ledger.open_cover for ledger in ledgers))
        metrics.journal_pending.set(context.bill_keeper.writer.pending_count)
        metrics.request_memory_entries.set(len(context.request_memory))
