"""Options of the edge daemon."""

import msgspec

__all__ = ["EdgeOptions", "HostPort", "ReloadedOptions", "reload_options"]

HostPort = tuple[str, int]


class EdgeOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, limits and timings of an instance. All times are in seconds.

    Attributes
    ----------
    name : str
        Name of this instance; it stays the same after a restart.
    callers, directory, ready, gossip : HostPort
        Addresses to listen at: for callers, for their discovery requests, for readiness checks
        and for datagrams of peers.
    metrics : HostPort or None
        Address of the metrics and operator endpoints.
    seeds : tuple of HostPort
        Addresses at which peers may receive datagrams.
    answer_seconds : float
        How long callers may cache the answer to a discovery request.
    stop_seconds : float
        Time between a stop signal and the kill of the process.
    retry_ratio, retry_slack, retry_window
        See `whinrack.dispatch.RetryBudget`.
    heartbeat_seconds, silent_seconds, forget_seconds : float
        Interval between heartbeats; silence after which a peer counts as gone; silence after
        which its address is not tried any more.
    watch_seconds : float
        How long one watch of the store is held. A silent connection is noticed after that.
    first_start : bool
        Whether the whole system starts for the first time, so that no earlier run of this instance
        held tokens and no peer is up yet.
    settle_seconds : float
        Time after the start that is allowed for peer discovery before the store is called.
    renew_seconds : float
        Interval between reports of used tokens, which renew the schedules.
    gather_seconds, draw_seconds : float
        Timeouts for peers that are asked for tokens, and for the instance that writes accounts.
    wall_margin_seconds : float
        Largest jump of the time of day between two runs that is allowed for.
    bandwidth : float
        Bandwidth of the network link, Mbit/s; 0 if unknown.
    event_delay : float
        Longest time for which an event of a stream may be held so that several are forwarded
        together; 0 forwards each at once.
    cores : float
        Processor time that this instance may use, seconds per second; 0 if unknown.
    memory_bytes : int
        Memory that this process may use; 0 if unknown.
    max_sockets : int
        Sockets that this process may open; 0 if unknown.
    emptying_seconds : float
        Time after which no request may reach a data hall that the operator has emptied; 0 if
        halls are never emptied, in which case they are not followed in the store.
    cold_overage, cold_slack : float
        See `whinrack.dispatch.WarmUpLimits`.
    log_lines_per_second : float
        Lines beyond this rate are dropped and counted.
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
    memory_bytes: int = 0
    max_sockets: int = 0
    event_delay: float = 0.0
    emptying_seconds: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    log_lines_per_second: float = 150.0


# Options that can change in a running process; the others need a restart.
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
        Options in force.
    changed : tuple of str
        Names of the options that were applied.
    after_restart : tuple of str
        Names of changed options that need a restart.
    """

    options: EdgeOptions
    changed: tuple[str, ...]
    after_restart: tuple[str, ...]


def reload_options(current: EdgeOptions, read: EdgeOptions) -> ReloadedOptions:
    """Merge the options of reread settings that can change in a running process."""
    before, after = msgspec.structs.asdict(current), msgspec.structs.asdict(read)
    differing = sorted(name for name in before if before[name] != after[name])
    changed = tuple(name for name in differing if name in _RELOADABLE)
    return ReloadedOptions(
        options=msgspec.structs.replace(current, **{name: after[name] for name in changed}),
        changed=changed,
        after_restart=tuple(name for name in differing if name not in _RELOADABLE),
    )
