"""Messages in which entry hosts divide limits and quotas."""

import pydantic

from kumquatspur.border.packing import Message


class ShareNeed(Message):
    """What a host needs of a searcher.

    Attributes:
        searcher: The searcher's identifier.
        per_s: Requests per second that the host has for it.
        held: Part of the searcher's limit that the host may use now.
    """

    searcher: str
    per_s: float = pydantic.Field(ge=0, allow_inf_nan=False)
    held: float = pydantic.Field(ge=0, le=1)


class AccountNeed(Message):
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
    per_s: float = pydantic.Field(ge=0, allow_inf_nan=False)
    held: int = pydantic.Field(default=0, ge=0)
    waiting: int = pydantic.Field(default=0, ge=0)
    charged: int = pydantic.Field(default=0, ge=0)
    returned: int = pydantic.Field(default=0, ge=0)


class ShareRequest(Message):
    """A host asks an allocator for parts of limits.

    Attributes:
        host: The host's name.
        needs: What it needs.
        accounts: What it needs of client accounts. Earlier builds ignore it.
        earlier_builds: Hosts that were left out since they run one.
    """

    host: str = pydantic.Field(min_length=1)
    needs: tuple[ShareNeed, ...]
    accounts: tuple[AccountNeed, ...] = ()
    earlier_builds: tuple[str, ...] = ()


class LeasedShare(Message):
    """A part of a searcher's limit that was leased to the asking host.

    Attributes:
        searcher: The searcher's identifier.
        share: The part.
    """

    searcher: str
    share: float = pydantic.Field(ge=0, le=1)


class AccountGrant(Message):
    """Requests of an account that were granted to the asking host.

    Attributes:
        account: The account's name.
        granted: Requests that the host may send in addition.
        renew_s: Time after which the host should ask again.
        wait_s: Time until credit returns; 0 if there is some.
    """

    account: str
    granted: int = pydantic.Field(ge=0)
    renew_s: float = pydantic.Field(default=1.0, gt=0, le=600)
    wait_s: float = pydantic.Field(default=0.0, ge=0, le=600)


class ShareReply(Message):
    """An allocator's answer.

    Attributes:
        declined: Why the host does not act as an allocator; "" if it does.
        lease_s: Time until the leases end.
        renew_s: Time after which the host should ask again.
        shares: The leased parts.
        accounts: The granted requests of accounts; None from an earlier build,
            which does not allocate them.
    """

    declined: str = ""
    lease_s: float = pydantic.Field(default=0.0, ge=0, le=600)
    renew_s: float = pydantic.Field(default=0.0, ge=0, le=600)
    shares: tuple[LeasedShare, ...] = ()
    accounts: tuple[AccountGrant, ...] | None = None
