"""
kingcupdyke_daemon.gateway.body
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Validation of request bodies in the OpenAI format.
"""

from typing import Any, NamedTuple

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, StrictBool, ValidationError

__all__ = ["BodyError", "CallBody", "parse_body"]

#: Limit on the tokens of an answer if the request sets none.
_DEFAULT_MAX_TOKENS = 256


class BodyError(NamedTuple):
    """The first invalid field of a request body."""

    #: Name of the field, or the empty string if the body as a whole is invalid.
    field: str
    message: str


class CallBody(NamedTuple):
    """The fields of a body that the gateway reads; all others are passed through."""

    model: str
    prompt: str
    stream: bool
    max_tokens: int


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    model: str = Field(min_length=1)
    stream: StrictBool | None = None
    stream_options: dict[str, Any] | None = None
    max_tokens: int | None = Field(default=None, ge=1)
    temperature: float | None = Field(default=None, ge=0, le=2)
    top_p: float | None = Field(default=None, ge=0, le=1)
    n: int | None = Field(default=None, ge=1, le=1)
    stop: str | list[str] | None = None
    seed: int | None = None
    user: str | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    logit_bias: dict[str, float] | None = None


class _CompletionBody(_Body):
    prompt: str
    suffix: str | None = None
    echo: bool | None = None
    logprobs: int | None = None
    best_of: int | None = Field(default=None, ge=1, le=1)


class _ChatMessage(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    role: str = Field(min_length=1)
    content: str | list[dict[str, Any]] | None = None
    name: str | None = None
    tool_calls: list[dict[str, Any]] | None = None
    tool_call_id: str | None = None


class _ChatBody(_Body):
    messages: list[_ChatMessage] = Field(min_length=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    response_format: dict[str, Any] | None = None
    tools: list[dict[str, Any]] | None = None
    tool_choice: str | dict[str, Any] | None = None
    logprobs: bool | None = None
    top_logprobs: int | None = None
    metadata: dict[str, str] | None = None


_BODIES_BY_PATH = {"/v1/completions": _CompletionBody, "/v1/chat/completions": _ChatBody}


def _get_text(content: str | list[dict[str, Any]] | None) -> str:
    if content is None or isinstance(content, str):
        return content or ""
    return "".join(str(part.get("text", "")) for part in content)


def parse_body(path: str, body: bytes) -> Result[CallBody, BodyError]:
    """Validate a request body.

    :param path: ``/v1/completions`` or ``/v1/chat/completions``
    :param body: the JSON as received
    :return: the fields that the gateway reads, or the first invalid field
    """
    try:
        parsed = _BODIES_BY_PATH[path].model_validate_json(body)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        return Error(BodyError(field, f"{field or 'body'}: {first['msg']}"))
    max_tokens = parsed.max_tokens or _DEFAULT_MAX_TOKENS
    if isinstance(parsed, _CompletionBody):
        prompt = parsed.prompt
    else:
        lines = [f"{each.role}: {_get_text(each.content)}\n" for each in parsed.messages]
        prompt = "".join(lines)
        max_tokens = parsed.max_completion_tokens or max_tokens
    return Ok(CallBody(parsed.model, prompt, bool(parsed.stream), max_tokens))
