"""Report of the requests of client accounts at all hosts, against their quota.

The input is the decision logs of the hosts. Each host logs the requests of
accounts with a quota once a second, so the requests of all hosts are added up
in windows of several seconds.
"""

import collections
import dataclasses
from collections.abc import Iterable

from kumquatspur.core.records import record


@record
class AccountLine:
    """The requests of one account at a host in about a second.

    Attributes:
        at_s: The end of that second.
        host: The entry host.
        account: The account.
        admitted: Requests that were admitted.
        refused: Requests that were refused.
        rate_per_s: The account's rate by the host's configuration.
        burst: Its burst.
        window_s: Window of the operator's rule.
        overrun: Overrun of the rule.
        slack: Slack of the rule.
    """

    at_s: float
    host: str
    account: str
    admitted: int
    refused: int
    rate_per_s: float
    burst: float
    window_s: float
    overrun: float
    slack: float

    def bound(self) -> float:
        """Returns the requests that a window may have."""
        base = self.rate_per_s * self.window_s + self.burst
        return base * (1.0 + self.overrun) + self.slack


@dataclasses.dataclass
class AccountUse:
    """The requests of one account at all hosts.

    Attributes:
        rate_per_s: The greatest rate that a host's configuration had.
        burst: The greatest burst.
        window_s: Window of the operator's rule.
        bound: The requests that a window may have, by the greatest limit.
        admitted: Admitted requests.
        refused: Refused requests.
        refused_below: Refused requests of the hosts that logged them at the end
            of a window in which the account was offered less than its rate.
        hosts: Number of hosts that got requests.
        peak: Most admitted requests in a window.
        peak_at_s: The end of that window.
        peak_by_host: The admitted requests in that window by host.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0
    window_s: float = 0.0
    bound: float = 0.0
    admitted: int = 0
    refused: int = 0
    refused_below: int = 0
    hosts: int = 0
    peak: int = 0
    peak_at_s: float = 0.0
    peak_by_host: dict[str, int] = dataclasses.field(default_factory=dict)

    def peak_share(self) -> float:
        """Returns the requests of the busiest window relative to the bound."""
        return self.peak / self.bound if self.bound else 0.0


def build_account_report(
    lines: Iterable[AccountLine],
) -> dict[str, AccountUse]:
    """Builds the report.

    Args:
        lines: The requests of accounts, in any order.

    Returns:
        The use by account.
    """
    by_account = collections.defaultdict(list)
    for line in sorted(lines, key=lambda line: line.at_s):
        by_account[line.account].append(line)
    return {
        account: _account_use(found)
        for account, found in sorted(by_account.items())
    }


def _account_use(lines: list[AccountLine]) -> AccountUse:
    use = AccountUse(hosts=len({line.host for line in lines}))
    window = collections.deque()
    offered = admitted = 0
    for line in lines:
        use.rate_per_s = max(use.rate_per_s, line.rate_per_s)
        use.burst = max(use.burst, line.burst)
        use.window_s, use.bound = line.window_s, max(use.bound, line.bound())
        use.admitted += line.admitted
        use.refused += line.refused
        window.append(line)
        admitted += line.admitted
        offered += line.admitted + line.refused
        while window[0].at_s <= line.at_s - line.window_s:
            first = window.popleft()
            admitted -= first.admitted
            offered -= first.admitted + first.refused
        if offered <= line.rate_per_s * line.window_s:
            use.refused_below += line.refused
        if admitted > use.peak:
            use.peak, use.peak_at_s = admitted, line.at_s
            by_host = collections.Counter()
            for item in window:
                by_host[item.host] += item.admitted
            use.peak_by_host = dict(by_host)
    return use
