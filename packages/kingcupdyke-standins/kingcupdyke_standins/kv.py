"""
kingcupdyke_standins.kv
~~~~~~~~~~~~~~~~~~~~~~~

Export and import of the KV cache of a request.
"""

from base64 import b64decode, b64encode
from hashlib import sha256

from kingcupdyke_standins.batch import RunRequest
from kingcupdyke_standins.memory import MemoryAccount

__all__ = ["KvExportCache"]

#: Size of the KV cache per character of a prompt.
KV_BYTES_PER_CHAR = 1000


class KvExportCache:
    """Imported KV caches whose requests have not arrived yet."""

    def __init__(self, memory: MemoryAccount, violations: list[str]) -> None:
        self._memory = memory
        self._violations = violations
        self._content_by_request: dict[str, bytes] = {}

    def export(self, request: RunRequest) -> dict:
        """:return: the body for the import by another engine"""
        size_bytes = KV_BYTES_PER_CHAR * len(request.prompt)
        return {"kv": b64encode(_hash_request(request)).decode(), "bytes": size_bytes}

    def put(self, data: dict) -> bool:
        """:return: whether an import fits in memory or was made before"""
        request_id = data["request_id"]
        if request_id in self._content_by_request:
            return True
        if not self._memory.fits(data["bytes"]):
            return False
        self._memory.kv_by_request[request_id] = data["bytes"]
        self._content_by_request[request_id] = b64decode(data["kv"])
        return True

    def take(self, request: RunRequest) -> bool:
        """Use the imported KV cache of a request; its memory is no longer counted separately.

        :return: whether there was one
        """
        content = self._content_by_request.pop(request.request_id, None)
        self._memory.kv_by_request.pop(request.request_id, None)
        if content is None:
            return False
        if content != _hash_request(request):
            self._violations.append(
                f"request {request.request_id}: imported KV cache of another request"
            )
        return True


def _hash_request(request: RunRequest) -> bytes:
    return sha256(f"{request.model}\0{request.adapter}\0{request.prompt}".encode()).digest()
