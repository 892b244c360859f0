"""
kingcupdyke_standins.answer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Texts that follow from their request, so that a caller can tell its own whole answer.
"""

import json
from hashlib import sha256

from kingcupdyke_wire.sse import DONE_EVENT

__all__ = [
    "allowed_tokens",
    "build_chunk",
    "build_whole",
    "expected_text",
    "make_token",
    "read_prompt",
]

#: Tokens of an answer where the request names no limit.
DEFAULT_MAX_TOKENS = 16
TOKEN_DIGITS = 6
#: Characters that count as one token of a prompt.
CHARS_PER_TOKEN = 4


def expected_text(model: str, prompt: str, max_tokens: int) -> str:
    """:return: the whole text that an engine answers

    :param prompt: as :func:`read_prompt` gives it
    """
    return "".join(make_token(model, prompt, index) for index in range(max_tokens))


def make_token(model: str, prompt: str, index: int) -> str:
    """:return: one token of the text, with the space before it"""
    digest = sha256(f"{model}\0{prompt}\0{index}".encode()).hexdigest()
    return " " + digest[:TOKEN_DIGITS]


def read_prompt(body: dict) -> str:
    """:return: the prompt of a completion, or the messages of a chat as one text"""
    if "messages" in body:
        return "".join(f"{each['role']}: {each['content']}\n" for each in body["messages"])
    return body["prompt"]


def allowed_tokens(body: dict) -> int:
    """:return: the limit that a request sets, or the default"""
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    return limit or DEFAULT_MAX_TOKENS


def build_whole(request_id: str, model: str, prompt: str, tokens: int, chat: bool) -> bytes:
    """:return: the body of a whole answer"""
    text = expected_text(model, prompt, tokens)
    choice = {"index": 0, "finish_reason": "length"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    head = _build_head(request_id, model, "chat.completion" if chat else "text_completion")
    usage = _build_usage(prompt, tokens)
    return json.dumps(head | {"choices": [choice], "usage": usage}).encode()


def build_chunk(
    request_id: str, model: str, prompt: str, index: int, tokens: int, chat: bool
) -> list[bytes]:
    """:return: the SSE events of one token; the last token brings the end with it"""
    is_last = index + 1 == tokens
    choice = {"index": 0, "finish_reason": "length" if is_last else None}
    token = make_token(model, prompt, index)
    if chat:
        choice["delta"] = {"role": "assistant", "content": token}
    else:
        choice["text"] = token
    kind = "chat.completion.chunk" if chat else "text_completion"
    chunk = _build_head(request_id, model, kind) | {"choices": [choice]}
    if is_last:
        chunk["usage"] = _build_usage(prompt, tokens)
    event = b"data: " + json.dumps(chunk).encode() + b"\n\n"
    return [event, DONE_EVENT] if is_last else [event]


def _build_head(request_id: str, model: str, kind: str) -> dict:
    return {"id": request_id, "object": kind, "created": 0, "model": model}


def _build_usage(prompt: str, tokens: int) -> dict:
    prompt_tokens = len(prompt) // CHARS_PER_TOKEN + 1
    total = prompt_tokens + tokens
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": total,
    }
