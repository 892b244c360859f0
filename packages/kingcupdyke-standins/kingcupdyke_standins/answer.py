"""
kingcupdyke_standins.answer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Deterministic answers derived from their requests, so that a caller can verify that it received
the complete answer to its own request.
"""

import json
from hashlib import sha256

from kingcupdyke_wire.sse import DONE_EVENT

__all__ = [
    "build_answer",
    "build_chunk",
    "expected_text",
    "get_max_tokens",
    "make_token",
    "read_prompt",
]

#: Tokens of an answer if the request sets no limit.
DEFAULT_MAX_TOKENS = 16
#: Hexadecimal digits of a token of the answer.
TOKEN_DIGITS = 6
#: Characters of a prompt that count as one token in the usage.
CHARS_PER_TOKEN = 4


def expected_text(model: str, prompt: str, max_tokens: int) -> str:
    """:return: the complete text that an engine answers

    :param prompt: as returned by :func:`read_prompt`
    """
    return "".join(make_token(model, prompt, index) for index in range(max_tokens))


def make_token(model: str, prompt: str, index: int) -> str:
    """:return: one token of the text, with a leading space"""
    digest = sha256(f"{model}\0{prompt}\0{index}".encode()).hexdigest()
    return " " + digest[:TOKEN_DIGITS]


def read_prompt(body: dict) -> str:
    """:return: the prompt of a completion, or the messages of a chat as one text"""
    if "messages" in body:
        return "".join(f"{each['role']}: {each['content']}\n" for each in body["messages"])
    return body["prompt"]


def get_max_tokens(body: dict) -> int:
    """:return: the number of tokens of the answer: the limit of the request, or the default"""
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    return limit or DEFAULT_MAX_TOKENS


def build_answer(request_id: str, model: str, prompt: str, tokens: int, chat: bool) -> bytes:
    """:return: the body of an answer that is not streamed"""
    text = expected_text(model, prompt, tokens)
    choice = {"index": 0, "finish_reason": "length"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    common = _build_common(request_id, model, "chat.completion" if chat else "text_completion")
    usage = _build_usage(prompt, tokens)
    return json.dumps(common | {"choices": [choice], "usage": usage}).encode()


def build_chunk(
    request_id: str, model: str, prompt: str, index: int, tokens: int, chat: bool
) -> list[bytes]:
    """:return: the SSE events of one token; with the last token also the end of the stream"""
    is_last = index + 1 == tokens
    choice = {"index": 0, "finish_reason": "length" if is_last else None}
    token = make_token(model, prompt, index)
    if chat:
        choice["delta"] = {"role": "assistant", "content": token}
    else:
        choice["text"] = token
    kind = "chat.completion.chunk" if chat else "text_completion"
    chunk = _build_common(request_id, model, kind) | {"choices": [choice]}
    if is_last:
        chunk["usage"] = _build_usage(prompt, tokens)
    event = b"data: " + json.dumps(chunk).encode() + b"\n\n"
    return [event, DONE_EVENT] if is_last else [event]


def _build_common(request_id: str, model: str, kind: str) -> dict:
    return {"id": request_id, "object": kind, "created": 0, "model": model}


def _build_usage(prompt: str, tokens: int) -> dict:
    prompt_tokens = len(prompt) // CHARS_PER_TOKEN + 1
    total = prompt_tokens + tokens
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": total,
    }
