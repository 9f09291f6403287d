"""Content-addressed storage layout of a configuration in the key-value service.

One small index holds the version and the digest of each part. A part is one template or
one bucket of accounts, so each value stays well below one megabyte and a change
rewrites only one part and the index. Parts are keyed by their digest and never
overwritten. A reader with an index therefore finds either the parts of that index or
none, and never parts of another version.
"""

import hashlib
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NewType

import msgspec
from result import Err, Ok, Result

from burdockhaven_core.configuration import (
    AccountParameters,
    ChangeRecord,
    Configuration,
    Template,
)
from burdockhaven_core.configuration_check import Fault
from burdockhaven_core.identity import AccountName

PartName = NewType("PartName", str)
Digest = NewType("Digest", str)

KEY_PREFIX = "/burdockhaven/configuration/"
INDEX_KEY = KEY_PREFIX + "index"
PART_PREFIX = KEY_PREFIX + "part/"
HISTORY_PREFIX = KEY_PREFIX + "history/"
# Number of parts over which the account parameters are distributed.
ACCOUNT_BUCKETS = 64
MAX_PART_BYTES = 512 * 1024
DIGEST_BYTES = 16
# Versions in history keys are zero-padded to this width, so that keys sort by version.
VERSION_DIGITS = 12
# Number of change records retained in the history.
MAX_HISTORY_RECORDS = 5_000


class Index(msgspec.Struct, frozen=True):
    """Root value of a version; each change replaces it by one compare-and-swap."""

    version: int
    # Digest of each part by part name.
    parts: dict[PartName, Digest]
    # The most recent changes, the newest last.
    recent: tuple[ChangeRecord, ...] = ()

    @property
    def sort_key(self) -> tuple[int, str]:
        """Key that sorts versions by age, as `Configuration.sort_key` does."""
        return (self.version, self.recent[-1].operation_id if self.recent else "")


@dataclass(frozen=True, slots=True)
class StoredIndex:
    """The index with the bytes that the key-value service holds."""

    index: Index
    # Value of the index key, which the next change expects unchanged; None if there is
    # no index yet.
    raw: bytes | None


class PartsOffer(msgspec.Struct, frozen=True, array_like=True):
    """Body of an offer: the index and the parts that the receiver is missing."""

    index: Index
    # Parts of the index whose digests the receiver did not list.
    parts: dict[PartName, bytes]


EMPTY_INDEX = StoredIndex(Index(0, {}), None)


def decode_index(raw: bytes) -> Result[StoredIndex, Fault]:
    """Decode the index from a value of the key-value service."""
    try:
        return Ok(StoredIndex(msgspec.json.decode(raw, type=Index), raw))
    except ValueError as error:
        return Err(_decoding_fault(INDEX_KEY, error))


def encode_index(index: Index) -> bytes:
    """Encode the index as a value of the key-value service."""
    return msgspec.json.encode(index, order="sorted")


def part_key(name: PartName, digest: Digest) -> str:
    """Return the key of a part."""
    return f"{PART_PREFIX}{name}/{digest}"


def history_key(version: int) -> str:
    """Return the key of the record of the change that created the version."""
    return f"{HISTORY_PREFIX}{version:0{VERSION_DIGITS}d}"


def encode_record(record: ChangeRecord) -> bytes:
    """Encode a change record as a value of the key-value service."""
    return msgspec.json.encode(record)


def decode_record(raw: bytes) -> Result[ChangeRecord, Fault]:
    """Decode a change record from a value of the key-value service."""
    try:
        return Ok(msgspec.json.decode(raw, type=ChangeRecord))
    except ValueError as error:
        return Err(_decoding_fault(HISTORY_PREFIX, error))


def compute_digest(part: bytes) -> Digest:
    """Return the digest that identifies the content of a part."""
    return Digest(hashlib.blake2b(part, digest_size=DIGEST_BYTES).hexdigest())


def template_part_name(name: str) -> PartName:
    """Return the name of the part that holds the template."""
    return PartName(f"template/{name}")


def account_part_name(account: AccountName) -> PartName:
    """Return the name of the part that holds the account's parameters."""
    digest = hashlib.blake2b(account.encode(), digest_size=2).digest()
    return PartName(f"accounts/{int.from_bytes(digest) % ACCOUNT_BUCKETS:02d}")


def encode_parts(configuration: Configuration) -> dict[PartName, bytes]:
    """Encode the configuration as parts; equal parts have equal bytes."""
    parts = {
        template_part_name(name): _encode((template,))
        for name, template in configuration.templates.items()
    }
    for name, bucket in _account_buckets(configuration).items():
        parts[name] = _encode(tuple(bucket))
    return parts


def make_index(configuration: Configuration, parts: Mapping[PartName, bytes]) -> Index:
    """Create the index of the configuration from its encoded parts."""
    digests = {name: compute_digest(part) for name, part in parts.items()}
    return Index(configuration.version, digests, configuration.recent)


def decode_parts(
    index: Index, parts: Mapping[PartName, bytes]
) -> Result[Configuration, Fault]:
    """Decode the configuration of the index from its parts."""
    templates: list[Template] = []
    accounts: list[AccountParameters] = []
    for name, part in parts.items():
        try:
            if name.startswith("template/"):
                templates += msgspec.json.decode(part, type=tuple[Template, ...])
            else:
                found = msgspec.json.decode(part, type=tuple[AccountParameters, ...])
                accounts += found
        except ValueError as error:
            return Err(_decoding_fault(name, error))
    return Ok(
        Configuration(
            version=index.version,
            templates={each.name: each for each in templates},
            accounts={each.account: each for each in accounts},
            recent=index.recent,
        )
    )


def part_digests(configuration: Configuration) -> tuple[str, ...]:
    """Return the digests of all parts of the configuration."""
    return tuple(compute_digest(part) for part in encode_parts(configuration).values())


def encode_offer(configuration: Configuration, digests: Collection[str]) -> bytes:
    """Encode the configuration for a member that has the parts with the digests."""
    parts = encode_parts(configuration)
    index = make_index(configuration, parts)
    known = frozenset(digests)
    missing = {
        name: part for name, part in parts.items() if index.parts[name] not in known
    }
    return msgspec.msgpack.encode(PartsOffer(index, missing))


def decode_offer(body: bytes, local: Configuration) -> Result[Configuration, Fault]:
    """Decode an offer, taking the parts that it omits from the local configuration."""
    try:
        offer = msgspec.msgpack.decode(body, type=PartsOffer)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(_decoding_fault("offer", error))
    available = {compute_digest(part): part for part in encode_parts(local).values()}
    available |= {compute_digest(part): part for part in offer.parts.values()}
    missing = [n for n, digest in offer.index.parts.items() if digest not in available]
    if missing:
        remedy = "none: the offer is discarded and requested again"
        seen = f"no such part: {missing[0]}"
        return Err(Fault("offer", seen, "each part of the index", remedy))
    parts = {name: available[digest] for name, digest in offer.index.parts.items()}
    return decode_parts(offer.index, parts)


def check_part_sizes(configuration: Configuration) -> tuple[Fault, ...]:
    """Return a fault for each part that is too large for one value."""
    return tuple(
        Fault(
            path=name,
            seen=f"{len(part)} bytes",
            allowed=f"at most {MAX_PART_BYTES} bytes",
            remedy="split the template, or reduce the overrides of the accounts",
        )
        for name, part in encode_parts(configuration).items()
        if len(part) > MAX_PART_BYTES
    )


def _account_buckets(
    configuration: Configuration,
) -> dict[PartName, list[AccountParameters]]:
    buckets: dict[PartName, list[AccountParameters]] = {}
    for account in sorted(configuration.accounts):
        bucket = buckets.setdefault(account_part_name(account), [])
        bucket.append(configuration.accounts[account])
    return buckets


def _encode(items: Iterable[Template] | Iterable[AccountParameters]) -> bytes:
    return msgspec.json.encode(items, order="sorted")


def _decoding_fault(place: str, error: Exception) -> Fault:
    return Fault(
        path=place,
        seen=str(error),
        allowed="a value written by this program",
        remedy="restore the value; until then the members keep their current version",
    )
