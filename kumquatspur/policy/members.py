"""Precedence of membership entries, and flap damping of hosts that rejoin.

Follows SWIM (Das, Gupta and Motivala, 2002): a host's own entry carries its
incarnation and a sequence number. At equal numbers the worse status takes
precedence, so a suspicion overrides the entry that it refers to. The host
refutes it with a greater sequence number.
"""

from kumquatspur.core.messages import Status

FLAP_WINDOW_S = 60.0
MAX_DAMPING_S = 30.0


def supersedes(new, old) -> bool:
    """Returns whether an entry takes precedence over one of the same host.

    Args:
        new: A record with incarnation, sequence and status.
        old: The entry to compare with, of the same form.
    """
    return (new.incarnation, new.sequence, int(new.status)) > (
        old.incarnation,
        old.sequence,
        int(old.status),
    )


def is_return(new_status: int, old_status: int, restarted: bool) -> bool:
    """Returns whether a host rejoined after it was dead, left or restarted."""
    if new_status != Status.ALIVE or old_status == Status.UNKNOWN:
        return False
    return restarted or old_status in (Status.DEAD, Status.LEAVING)


def damping_s(rejoin_times: list[float], now: float) -> float:
    """Returns how long a host that rejoined is not yet counted as live.

    The first rejoin within `FLAP_WINDOW_S` is not delayed. From the second one
    on, the delay doubles each time, up to `MAX_DAMPING_S`.

    Args:
        rejoin_times: When the host rejoined, in seconds.
        now: The current time in seconds.

    Returns:
        Seconds from now.
    """
    recent = [at for at in rejoin_times if now - at <= FLAP_WINDOW_S]
    if len(recent) < 2:
        return 0.0
    return min(MAX_DAMPING_S, 2.0 ** (len(recent) - 1))
