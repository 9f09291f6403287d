"""A prefix cache with limited memory, as model engines keep it."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field


def prompt_blocks(tokens: Sequence[str], block_tokens: int) -> tuple[int, ...]:
    """One hash per whole block of the prompt, each over all tokens up to its end."""
    blocks: list[int] = []
    chain = 0
    for end in range(block_tokens, len(tokens) + 1, block_tokens):
        chain = hash((chain, *tokens[end - block_tokens : end]))
        blocks.append(chain)
    return tuple(blocks)


@dataclass(slots=True)
class PrefixCache:
    """Blocks of prompts, the least recently used ones dropped first."""

    # The most blocks that the cache holds.
    capacity_blocks: int
    # Blocks in the order of use, the least recently used first.
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)

    def match(self, blocks: Sequence[int]) -> int:
        """The number of leading blocks that are cached; marks them as used."""
        found = 0
        for block in blocks:
            if block not in self.blocks:
                break
            found += 1
        self._touch(blocks[:found])
        return found

    def insert(self, blocks: Sequence[int]) -> None:
        """Adds the blocks of one prompt and drops what no longer fits."""
        self._touch(blocks)
        while len(self.blocks) > self.capacity_blocks:
            self.blocks.popitem(last=False)

    def _touch(self, blocks: Sequence[int]) -> None:
        # The first block is touched last: a prompt loses its end before its start.
        for block in reversed(blocks):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
