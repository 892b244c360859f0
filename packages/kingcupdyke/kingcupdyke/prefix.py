"""
kingcupdyke.prefix
~~~~~~~~~~~~~~~~~~

Hashes of the prefix blocks of a prompt, which identify them in the cache events of engines.
"""

from hashlib import sha256

__all__ = ["BLOCK_CHARACTERS", "hash_prefixes"]

#: Characters in one prefix block.
BLOCK_CHARACTERS = 256
#: Maximum number of blocks that are hashed; further blocks hardly change the routing.
_MAX_BLOCKS = 64
_HASH_DIGITS = 16


def hash_prefixes(model: str, adapter: str, prompt: str) -> tuple[str, ...]:
    """:return: a hash of the prefix up to each complete block, the shortest prefix first"""
    blocks = min(len(prompt) // BLOCK_CHARACTERS, _MAX_BLOCKS)
    digest = sha256(f"{model}\0{adapter}\0".encode())
    hashes = []
    for index in range(blocks):
        block = prompt[index * BLOCK_CHARACTERS : (index + 1) * BLOCK_CHARACTERS]
        digest.update(block.encode())
        hashes.append(digest.hexdigest()[:_HASH_DIGITS])
    return tuple(hashes)
