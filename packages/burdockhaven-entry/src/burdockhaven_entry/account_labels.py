"""Bounds the number of client accounts that have metric series of their own."""

from collections import Counter

from burdockhaven_core.identity import AccountName

# Accounts with series of their own at most; the others share one.
MAX_ACCOUNT_SERIES = 32
# Requests after which an account can get one of the second half of the series; a share
# of the first few requests says little.
MIN_REQUESTS_FOR_SERIES = 20
# Stands for all accounts without series of their own.
OTHER_ACCOUNTS_LABEL = "other"
# An account named like the shared series gets this one.
ACCOUNT_NAMED_OTHER_LABEL = "other (account)"


class AccountLabels:
    """Chooses the label under which an account's requests are counted.

    The first half of the series goes to the first accounts seen. After that an account
    needs a share of all requests that only few can have, so that many small accounts
    don't use up the series before a large one comes. A label once given stays, because
    a series must not change its meaning while the process lives.
    """

    def __init__(self, max_series: int = MAX_ACCOUNT_SERIES) -> None:
        self.max_series = max_series
        self.labels: dict[AccountName, str] = {}
        # Requests of the accounts without series of their own.
        self.request_counts: Counter[AccountName] = Counter()
        # Requests of all accounts.
        self.total_requests = 0

    def label_for(self, account: AccountName) -> str:
        """The label for one more request of the account."""
        self.total_requests += 1
        label = self.labels.get(account)
        if label is not None:
            return label
        if len(self.labels) >= self.max_series:
            return OTHER_ACCOUNTS_LABEL
        self.request_counts[account] += 1
        if not self._qualifies_for_series(account):
            return OTHER_ACCOUNTS_LABEL
        label = (
            ACCOUNT_NAMED_OTHER_LABEL
            if account == OTHER_ACCOUNTS_LABEL
            else str(account)
        )
        self.labels[account] = label
        del self.request_counts[account]
        if len(self.labels) == self.max_series:
            self.request_counts.clear()
        return label

    def _qualifies_for_series(self, account: AccountName) -> bool:
        if len(self.labels) < self.max_series // 2:
            return True
        count = self.request_counts[account]
        if count < MIN_REQUESTS_FOR_SERIES:
            return False
        return count * self.max_series >= self.total_requests
