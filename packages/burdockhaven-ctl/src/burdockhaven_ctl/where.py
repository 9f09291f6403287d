"""The command that explains where a request would go now."""

import argparse
import sys

import httpx
import msgspec

from burdockhaven_core.explanation import PlacementExplanation
from burdockhaven_ctl.exit_codes import ExitCode

TIMEOUT_S = 5.0
QUERY_OPTIONS = (
    "host",
    "path",
    "account",
    "prompt_tokens",
    "output_tokens",
    "expected_tokens",
    "parts",
    "version",
    "zone",
)


def run_where(
    options: argparse.Namespace, transport: httpx.BaseTransport | None = None
) -> int:
    """Ask any entry, which names the one that decides; print what that says."""
    values = {name: getattr(options, name) for name in QUERY_OPTIONS}
    query = {name: str(value) for name, value in values.items() if value}
    try:
        with httpx.Client(
            timeout=TIMEOUT_S, follow_redirects=True, transport=transport
        ) as http:
            response = http.get(f"http://{options.control}/where", params=query)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        print(f"{options.control}: {error}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    if response.status_code != httpx.codes.OK:
        print(f"{response.url.netloc.decode()}: {response.text}", file=sys.stderr)
        is_usage = response.status_code == httpx.codes.BAD_REQUEST
        return ExitCode.USAGE if is_usage else ExitCode.UNREACHABLE
    try:
        explanation = msgspec.json.decode(response.content, type=PlacementExplanation)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        print(f"{options.control}: unreadable response: {error}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    if options.output == "json":
        print(response.text)
    else:
        print("\n".join(render_explanation(explanation)))
    return ExitCode.OK


def render_explanation(explanation: PlacementExplanation) -> list[str]:
    """Return the lines of an explanation, the chosen engine first."""
    target = f" to {explanation.target}" if explanation.target else ""
    lines = [
        f"{explanation.verdict}{target} by the broker of {explanation.broker}: "
        f"{explanation.reason}",
        f"queued ahead: {explanation.queued_ahead}, "
        f"predicted wait: {explanation.wait_s:.2f} s",
    ]
    if explanation.quota_used is not None:
        lines.append(f"quota used by the account: {explanation.quota_used:.0%}")
    ordered = sorted(
        explanation.candidates,
        key=lambda found: (found.target != explanation.target, found.first_event_ms),
    )
    lines += [
        f"  {found.target}: {found.state.value}; {found.runs}/{found.slots} runs, "
        f"prefill {found.prefill_tokens} tokens, "
        f"first event {found.first_event_ms} ms, step time x{found.slowness:.2f}"
        for found in ordered
    ]
    return lines
