"""The operator's part in the demonstration.

The command line for operators is not there yet, so this uses the code that it is to
use: one compare-and-swap per change in the key-value service.
"""

import asyncio
import random
import uuid
from pathlib import Path

from result import Err

from burdockhaven_core.configuration import Configuration
from burdockhaven_core.configuration_change import (
    Change,
    Operation,
    PutAccount,
    PutTemplate,
)
from burdockhaven_core.configuration_codec import decode_account, decode_template
from burdockhaven_core.publishing import Accepted, publish
from burdockhaven_entry.kv_link import KvLink


class DemoError(Exception):
    """The demonstration did not go as it should."""


class Operator:
    """Publishes changes, one after another."""

    def __init__(self, key_value_url: str) -> None:
        self.key_value_url = key_value_url
        self.configuration = Configuration()

    def publish_template(self, path: Path) -> None:
        """Publishes the template in the file."""
        decoded = decode_template(path.read_bytes())
        if isinstance(decoded, Err):
            raise DemoError(f"{path.name}: {decoded.err_value}")
        asyncio.run(self._publish(PutTemplate(decoded.ok_value)))

    def publish_account(self, path: Path) -> None:
        """Publishes the client account's parameters in the file."""
        decoded = decode_account(path.read_bytes())
        if isinstance(decoded, Err):
            raise DemoError(f"{path.name}: {decoded.err_value}")
        asyncio.run(self._publish(PutAccount(decoded.ok_value)))

    async def _publish(self, change: Change) -> None:
        operation = Operation(change, self.configuration.version, uuid.uuid4().hex)
        link = KvLink.from_url(self.key_value_url, random.Random())
        try:
            outcome = await link.run(publish(operation, self.configuration, lambda: 0))
        finally:
            await link.close()
        if not isinstance(outcome, Accepted) or outcome.configuration is None:
            raise DemoError(f"the change was not accepted: {outcome}")
        self.configuration = outcome.configuration
