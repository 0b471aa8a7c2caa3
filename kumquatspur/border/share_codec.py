"""Messages in which entry hosts divide limits and quotas."""

from typing import Annotated

import msgspec

from kumquatspur.border.packing import (
    Count,
    Message,
    NonEmptyStr,
    NonNegative,
)

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
# Longest time of a lease, or until a message, in seconds.
MAX_WAIT_S = 600
Wait = Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)]
Interval = Annotated[float, msgspec.Meta(gt=0, le=MAX_WAIT_S)]


class ShareNeed(Message, kw_only=True):
    """What a host needs of a searcher.

    Attributes:
        searcher: The searcher's identifier.
        per_s: Requests per second that the host has for it.
        held: Part of the searcher's limit that the host may use now.
    """

    searcher: str
    per_s: NonNegative
    held: Share


class AccountNeed(Message, kw_only=True):
    """What a host needs of a client account.

    Attributes:
        account: The account's name.
        per_s: Requests per second that the host gets.
        held: Granted requests that it has not used.
        waiting: Requests that wait for the answer.
        charged: Requests that it admitted without a grant.
        returned: Granted requests that it gives back.
    """

    account: str
    per_s: NonNegative
    held: Count = 0
    waiting: Count = 0
    charged: Count = 0
    returned: Count = 0


class LoanNeed(Message, kw_only=True):
    """What an allocator wants to borrow of a client account.

    Attributes:
        account: The account's name.
        count: Requests that it wants.
        unused: Requests borrowed before that may still be unused.
    """

    account: str
    count: NonNegative
    unused: NonNegative = 0.0


class ShareRequest(Message, kw_only=True):
    """A host asks an allocator for parts of limits.

    Attributes:
        host: The host's name.
        needs: What it needs.
        accounts: What it needs of client accounts. Earlier builds ignore it.
        earlier_builds: Hosts that were left out since they run one.
        loans: What the asking allocator wants to borrow. Earlier builds ignore
            it.
    """

    host: NonEmptyStr
    needs: tuple[ShareNeed, ...]
    accounts: tuple[AccountNeed, ...] = ()
    earlier_builds: tuple[str, ...] = ()
    loans: tuple[LoanNeed, ...] = ()


class LeasedShare(Message, kw_only=True):
    """A part of a searcher's limit that was leased to the asking host.

    Attributes:
        searcher: The searcher's identifier.
        share: The part.
    """

    searcher: str
    share: Share


class AccountGrant(Message, kw_only=True):
    """Requests of an account that were granted to the asking host.

    Attributes:
        account: The account's name.
        granted: Requests that the host may send in addition.
        renew_s: Time after which the host should ask again.
        wait_s: Time until credit returns; 0 if there is some.
    """

    account: str
    granted: Count
    renew_s: Interval = 1.0
    wait_s: Wait = 0.0


class Loan(Message, kw_only=True):
    """Requests of an account that were lent to another allocator.

    Attributes:
        account: The account's name.
        count: Requests that it may grant.
        left: Requests that the lender still has.
    """

    account: str
    count: NonNegative
    left: NonNegative


class ShareReply(Message, kw_only=True):
    """An allocator's answer.

    Attributes:
        declined: Why the host does not act as an allocator; "" if it does.
        lease_s: Time until the leases end.
        renew_s: Time after which the host should ask again.
        shares: The leased parts.
        accounts: The granted requests of accounts; None from an earlier build,
            which does not allocate them.
        loans: The lent requests of accounts; None from an earlier build, which
            lends none.
    """

    declined: str = ""
    lease_s: Wait = 0.0
    renew_s: Wait = 0.0
    shares: tuple[LeasedShare, ...] = ()
    accounts: tuple[AccountGrant, ...] | None = None
    loans: tuple[Loan, ...] | None = None
