"""
kingcupdyke.prefix
~~~~~~~~~~~~~~~~~~

Hashes of a prompt's prefix blocks, as engines name them in cache events.
"""

from hashlib import sha256

__all__ = ["BLOCK_CHARACTERS", "hash_prefixes"]

#: Characters in one prefix block.
BLOCK_CHARACTERS = 256
#: Blocks that are hashed at most; what a longer prefix would add decides little.
_MOST_BLOCKS = 64
_DIGEST_DIGITS = 16


def hash_prefixes(model: str, adapter: str, prompt: str) -> tuple[str, ...]:
    """:return: a hash for each whole block of the prompt, the shortest prefix first"""
    blocks = min(len(prompt) // BLOCK_CHARACTERS, _MOST_BLOCKS)
    digest = sha256(f"{model}\0{adapter}\0".encode())
    hashes = []
    for index in range(blocks):
        block = prompt[index * BLOCK_CHARACTERS : (index + 1) * BLOCK_CHARACTERS]
        digest.update(block.encode())
        hashes.append(digest.hexdigest()[:_DIGEST_DIGITS])
    return tuple(hashes)
