"""Bounds the cardinality of metrics: few client accounts have their own series."""

from collections import Counter

from burdockhaven_core.identity import AccountName

# Maximum number of accounts with their own series; the others share one.
MAX_ACCOUNT_SERIES = 32
# Minimum number of requests before an account can get one of the second half of the
# series: its share among the first few requests is not significant.
MIN_REQUESTS_FOR_SERIES = 20
# Label shared by all accounts without their own series.
OTHER_ACCOUNTS_LABEL = "other"
# Label of an account whose name equals the shared label.
ACCOUNT_NAMED_OTHER_LABEL = "other (account)"


class AccountLabels:
    """Assigns the metric label under which an account's requests are counted.

    The first half of the series is assigned in order of arrival. After that an account
    needs at least one `max_series`-th of all requests, so that many small accounts do
    not use up the series before a large one appears. An assigned label is permanent,
    because a series must not change its meaning during the life of the process.
    """

    def __init__(self, max_series: int = MAX_ACCOUNT_SERIES) -> None:
        self.max_series = max_series
        self.labels: dict[AccountName, str] = {}
        # Number of requests of each account without its own series.
        self.request_counts: Counter[AccountName] = Counter()
        # Number of requests of all accounts.
        self.total_requests = 0

    def label_for(self, account: AccountName) -> str:
        """Count one request of the account and return its label."""
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
