"""What the daemon needs to know of its place and its patience."""

import msgspec

__all__ = ["EdgeOptions", "HostPort", "ReloadedOptions", "reload_options"]

HostPort = tuple[str, int]


class EdgeOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, bounds and shares; seconds throughout.

    Attributes
    ----------
    name : str
        This instance; the next run after a restart has the same name.
    callers, directory, ready, gossip : HostPort
        Where to listen: for callers, for their question where to go, for the question
        whether this instance is ready, and for peers' datagrams.
    metrics : HostPort or None
    seeds : tuple of HostPort
        Where peers may hear datagrams.
    answer_seconds : float
        How long callers may keep the answer where to go.
    stop_seconds : float
        Time from a stop's signal until the process is killed.
    retry_ratio, retry_slack, retry_window
        See `whinrack.dispatch.RetryAllowance`.
    heartbeat_seconds, silent_seconds, forget_seconds : float
        Between heartbeats; silence after which a peer counts as gone; silence after
        which its address is no longer tried.
    watch_seconds : float
        How long one watch of the store is held; a connection that fell silent is noticed
        after that.
    first_start : bool
        The whole system starts for the first time: no earlier run of this instance held
        anything, and no peer is up yet.
    settle_seconds : float
        Time after the start in which peers may make themselves known before the store is
        asked.
    renew_seconds : float
        Between reports of what was used and new schedules.
    gather_seconds, draw_seconds : float
        Patience with peers that are asked for tokens, and with the writer of the books.
    wall_margin_seconds : float
        How far the time of day may have jumped between two runs.
    bandwidth : float
        Of the network link, Mbit/s; 0 if it isn't known.
    event_delay : float
        Most seconds that an event of a stream may be held here, so that several are passed
        on together; 0 for none.
    cores : float
        Processor time that this instance may use, seconds a second; 0 if it isn't known.
    emptying_seconds : float
        Within which nothing more may reach a data hall that the operator has emptied; 0 where
        halls are never emptied, and nobody need ask for it.
    cold_overage, cold_slack : float
        See `whinrack.dispatch.WarmUpLimits`.
    log_lines_per_second : float
        Lines beyond this are left out and counted.
    """

    name: str
    data_hall: str
    callers: HostPort
    directory: HostPort | None
    ready: HostPort | None
    gossip: HostPort
    metrics: HostPort | None = None
    seeds: tuple[HostPort, ...] = ()
    answer_seconds: float = 1.5
    stop_seconds: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window: float = 10.0
    heartbeat_seconds: float = 0.25
    silent_seconds: float = 0.9
    forget_seconds: float = 60.0
    watch_seconds: float = 1.0
    first_start: bool = False
    settle_seconds: float = 0.0
    renew_seconds: float = 0.5
    gather_seconds: float = 0.06
    draw_seconds: float = 0.15
    wall_margin_seconds: float = 3.5
    bandwidth: float = 0.0
    cores: float = 0.0
    event_delay: float = 0.0
    emptying_seconds: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    log_lines_per_second: float = 150.0


# Options that come into force in a running process; the others need a restart.
_RELOADABLE = frozenset(
    {
        "answer_seconds",
        "log_lines_per_second",
        "retry_ratio",
        "retry_slack",
        "retry_window",
        "seeds",
        "stop_seconds",
    }
)


class ReloadedOptions(msgspec.Struct, frozen=True):
    """Options after the settings were read again.

    Attributes
    ----------
    options : EdgeOptions
        Those in force now.
    changed : tuple of str
        Names that came into force.
    after_restart : tuple of str
        Names that changed but need a restart.
    """

    options: EdgeOptions
    changed: tuple[str, ...]
    after_restart: tuple[str, ...]


def reload_options(current: EdgeOptions, read: EdgeOptions) -> ReloadedOptions:
    """Return the old options with what may change in a running process."""
    before, after = msgspec.structs.asdict(current), msgspec.structs.asdict(read)
    differing = sorted(name for name in before if before[name] != after[name])
    changed = tuple(name for name in differing if name in _RELOADABLE)
    return ReloadedOptions(
        options=msgspec.structs.replace(current, **{name: after[name] for name in changed}),
        changed=changed,
        after_restart=tuple(name for name in differing if name not in _RELOADABLE),
    )
