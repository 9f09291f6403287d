"""LRU cache of prompt prefixes, as model engines have it."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field


def prompt_blocks(tokens: Sequence[str], block_tokens: int) -> tuple[int, ...]:
    """Return a hash for each full block, over all tokens up to the end of the block."""
    blocks: list[int] = []
    chain = 0
    for end in range(block_tokens, len(tokens) + 1, block_tokens):
        chain = hash((chain, *tokens[end - block_tokens : end]))
        blocks.append(chain)
    return tuple(blocks)


@dataclass(slots=True)
class PrefixCache:
    """Blocks of prompts; the least recently used blocks are evicted first."""

    # Maximum number of blocks.
    capacity_blocks: int
    # Blocks in order of use, least recently used first.
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def match(self, blocks: Sequence[int]) -> int:
        """Return the number of leading blocks that are cached; marks them as used."""
        found = 0
        for block in blocks:
            if block not in self.blocks:
                break
            found += 1
        self._touch(blocks[:found])
        return found

    def insert(self, blocks: Sequence[int]) -> None:
        """Add the blocks of a prompt; evicts blocks above the capacity."""
        self._touch(blocks)
        while len(self.blocks) > self.capacity_blocks:
            self.blocks.popitem(last=False)

    def _touch(self, blocks: Sequence[int]) -> None:
        # Blocks are touched in reverse order, so that the end of a prompt is evicted
        # before its start: only blocks that follow cached ones can be matched.
        for block in reversed(blocks):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
