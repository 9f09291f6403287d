"""What quotas of client accounts count, and how exactly they are kept."""

from dataclasses import dataclass

from burdockhaven_core.scheduling.routing import Account


@dataclass(frozen=True, slots=True)
class QuotaRule:
    """How exactly quotas are kept."""

    # Seconds over which usage counts.
    window_s: float
    # Units beyond the quota of an account that are still allowed, all members together.
    slack: float
    # Units that are allowed at once where it is not known what ended members have sent.
    recovery_slack: float = 0.0


def quota_cost(
    account: Account | None, prompt_tokens: int | None, output_tokens: int | None
) -> float:
    """Quota units of a request; the counts are None where the client gave none."""
    if account is None or not account.counts_tokens:
        return 1.0
    tokens = (prompt_tokens or 0) + (output_tokens or 0)
    return float(tokens or account.default_tokens)
