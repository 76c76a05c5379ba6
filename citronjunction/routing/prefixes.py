"""Hashes of prompt prefixes and an index of the workers that got them."""

import collections

import xxhash

BLOCK_CHARACTERS = 512
MAX_BLOCKS_PER_PROMPT = 64
MAX_PREFIXES = 65536  # in the index of one entry


def hash_prefixes(prompt: str) -> tuple[int, ...]:
    """Return a hash of the prompt up to the end of each block.

    The shortest prefix comes first. A prompt shorter than a block is hashed
    whole. Text after the last full block and after ``MAX_BLOCKS_PER_PROMPT``
    blocks is ignored.
    """
    hasher = xxhash.xxh3_64()
    hashes = []
    block_count = len(prompt) // BLOCK_CHARACTERS
    for index in range(min(block_count, MAX_BLOCKS_PER_PROMPT)):
        start = index * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS]
        hasher.update(block.encode())
        hashes.append(hasher.intdigest())
    if not hashes:
        hasher.update(prompt.encode())
        hashes.append(hasher.intdigest())
    return tuple(hashes)


class PrefixIndex:
    """Map each prompt prefix to the worker that last got it.

    Beyond ``max_prefixes`` the least recently recorded ones are evicted.
    """

    __slots__ = ('max_prefixes', 'worker_by_prefix')

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self.max_prefixes = max_prefixes
        self.worker_by_prefix: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def record(self, prefixes: tuple[int, ...], worker: str) -> None:
        """Record that the worker has cached the prefixes."""
        for prefix in prefixes:
            self.worker_by_prefix[prefix] = worker
            self.worker_by_prefix.move_to_end(prefix)
        while len(self.worker_by_prefix) > self.max_prefixes:
            self.worker_by_prefix.popitem(last=False)

    def find(self, prefixes: tuple[int, ...]) -> tuple[str, int]:
        """Return the worker of the longest known prefix and its block count.

        The result is ``('', 0)`` if no prefix is known.
        """
        for index in range(len(prefixes) - 1, -1, -1):
            worker = self.worker_by_prefix.get(prefixes[index])
            if worker is not None:
                return worker, index + 1
        return '', 0
