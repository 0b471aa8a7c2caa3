"""Parses HTTP/1.1 messages with httptools, and encodes requests."""

import dataclasses

import httptools

from kumquatspur.core.routing import ClientRequest
from kumquatspur.policy.response_limits import (
    MAX_BODY_BYTES,
    MAX_HEADERS,
    max_chunks,
    max_framing_bytes,
)

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Start of the names of headers that are used between entry hosts only.
HOST_HEADER_PREFIX = b"x-kumquatspur-"
_BODYLESS_STATUSES = frozenset({204, 304})


@dataclasses.dataclass(slots=True)
class RawMessage:
    """A request or response that is being read.

    Attributes:
        target: Request target; empty for a response.
        method: Request method; empty for a response.
        status: Response status; 0 for a request.
        headers: Pairs of lower-case name and value, trailers included.
        head_count: Number of headers that are not trailers, once all headers of
            a request were read.
        buffer: The body so far. It is not kept in pieces, which may be one
            byte long and take fifty times as much memory.
        keep_alive: Whether the connection may be reused.
        headers_done: Whether all headers were read.
        complete: Whether the whole message was read.
        ended_by_close: Whether the end of the connection was its end, so that
            it may not be whole.
    """

    target: bytes = b""
    method: bytes = b""
    status: int = 0
    headers: list[tuple[bytes, bytes]] = dataclasses.field(default_factory=list)
    buffer: bytearray = dataclasses.field(default_factory=bytearray)
    keep_alive: bool = True
    headers_done: bool = False
    complete: bool = False
    ended_by_close: bool = False
    head_count: int = 0

    def body(self) -> bytes:
        """Returns the body."""
        return bytes(self.buffer)

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; None if there is none."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def end_to_end_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Returns the headers without the hop-by-hop headers."""
        listed = self.header(b"connection") or b""
        named = {item.strip().lower() for item in listed.split(b",")}
        dropped = HOP_BY_HOP | named
        return tuple(item for item in self.headers if item[0] not in dropped)


class MessageError(Exception):
    """The bytes are not a valid message, or exceed a limit.

    Attributes:
        status: HTTP status to answer with.
    """

    def __init__(self, message: str, status: int = 400):
        super().__init__(message)
        self.status = status


def encode_request(request: ClientRequest, extra_headers: bytes) -> bytes:
    """Encodes a request for forwarding.

    Args:
        request: The client's request.
        extra_headers: Encoded header lines to add.
    """
    before, after = split_request(request)
    return b"".join((before, extra_headers, after))


def split_request(request: ClientRequest) -> tuple[bytes, bytes]:
    """Encodes a request that is sent to several searchers.

    Args:
        request: The client's request.

    Returns:
        The bytes before and after the header lines that differ.
    """
    lines = [
        f"{request.method} {request.target} HTTP/1.1\r\n".encode("latin-1")
    ]
    for name, value in request.headers:
        lines.append(b"%b: %b\r\n" % (name, value))
    end = b"\r\n"
    if request.body or request.method not in ("GET", "HEAD"):
        end = b"content-length: %d\r\n\r\n" % len(request.body)
    return b"".join(lines), end + request.body


class _ParserCallbacks:
    """Callbacks of the httptools parser.

    Attributes:
        message: The message being read; None between messages.
        finished: Complete messages not yet returned by feed().
        parsed_header_bytes: Bytes of the current headers that were parsed.
    """

    def __init__(self):
        self.message = None
        self.finished = []
        self.parsed_header_bytes = 0
        self.parser = None

    def on_message_begin(self):
        self.message = RawMessage()
        self.parsed_header_bytes = 0

    def on_header(self, name, value):
        # Four bytes for the colon, the space and the line end.
        self.parsed_header_bytes += len(name) + len(value) + 4
        self.message.headers.append((name.lower(), value))

    def on_body(self, chunk):
        self.message.buffer += chunk


class RequestReader(_ParserCallbacks):
    """Reads requests from the bytes of one connection.

    Attributes:
        header_limit: Maximum size of the headers, in bytes.
        body_limit: Maximum size of a body, in bytes.
        received_header_bytes: Bytes received since the headers of the current
            request began.
        received_body_bytes: Bytes received since the current request's body
            began, with the sizes and extensions of its chunks.
    """

    def __init__(self, header_limit: int, body_limit: int):
        super().__init__()
        self.header_limit = header_limit
        self.body_limit = body_limit
        self.parser = httptools.HttpRequestParser(self)
        self.received_header_bytes = 0
        self.received_body_bytes = 0

    def on_url(self, url):
        """Appends a chunk of the request target."""
        self.message.target += url
        self.parsed_header_bytes += len(url)
        self._check_headers()

    def on_header(self, name, value):
        """Adds a header."""
        super().on_header(name, value)
        self._check_headers()

    def on_headers_complete(self):
        """Checks the message framing at the end of the headers.

        Raises:
            MessageError: The framing is ambiguous, or the body too long.
        """
        message = self.message
        message.method = self.parser.get_method()
        message.keep_alive = self.parser.should_keep_alive()
        message.headers_done = True
        message.head_count = len(message.headers)
        names = [name for name, _ in message.headers]
        length_header_count = names.count(b"content-length")
        if length_header_count and b"transfer-encoding" in names:
            raise MessageError("length and transfer encoding")
        if length_header_count > 1 or names.count(b"host") > 1:
            raise MessageError("repeated header")
        length = message.header(b"content-length")
        if length is not None and int(length) > self.body_limit:
            raise MessageError("body too long", 413)

    def on_body(self, chunk):
        """Appends a chunk of the body."""
        super().on_body(chunk)
        if len(self.message.buffer) > self.body_limit:
            raise MessageError("body too long", 413)

    def on_message_complete(self):
        """Marks the request as complete."""
        self.message.complete = True
        self.finished.append(self.message)
        self.message = None

    def feed(self, data: bytes) -> list[RawMessage]:
        """Parses bytes received from the connection.

        Args:
            data: The bytes.

        Returns:
            The requests completed by these bytes.

        Raises:
            MessageError: The bytes are not a request, or exceed a limit.
        """
        # The parser reports a header only at its end, so received bytes are
        # limited too. The latest ones are exempt, as they may belong to a body.
        if self.message is None or not self.message.headers_done:
            self.received_header_bytes += len(data)
            if self.received_header_bytes > self.header_limit + len(data):
                raise MessageError("headers too long", 431)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.finished:
                self.finished[-1].keep_alive = False
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            if isinstance(cause, MessageError):
                raise cause from None
            raise MessageError(str(error)) from error
        except httptools.HttpParserError as error:
            raise MessageError(str(error)) from error
        found, self.finished = self.finished, []
        if found or (self.message and self.message.headers_done):
            self.received_header_bytes = 0
        self._check_framing(len(data), bool(found))
        return found

    def _check_framing(self, latest: int, completed: bool) -> None:
        """Limits the bytes that are received with a body besides it.

        Args:
            latest: Number of bytes received last. They are exempt, as the
                parser may not have reported them yet.
            completed: Whether they completed a request.
        """
        if completed or not self.is_in_body():
            self.received_body_bytes = 0
            return
        body_bytes = len(self.message.buffer)
        framing = self.received_body_bytes - body_bytes
        self.received_body_bytes += latest
        limit = max_framing_bytes(body_bytes)
        if framing > limit:
            raise MessageError(
                f"{framing} bytes besides the body, limit {limit}", 413
            )

    def _check_headers(self):
        if self.parsed_header_bytes > self.header_limit:
            raise MessageError("headers too long", 431)

    def is_in_body(self) -> bool:
        """Returns whether the headers were read, but not the whole body."""
        return self.message is not None and self.message.headers_done

    def is_between_requests(self) -> bool:
        """Returns whether no bytes of a further request have arrived."""
        return self.message is None and not self.received_header_bytes


class ResponseReader(_ParserCallbacks):
    """Reads responses from the bytes of one connection.

    Attributes:
        has_extra_bytes: Whether bytes followed the response of the last
            request.
        until_close: Whether the body ends when the connection closes.
        body_limit: Maximum size of a body, in bytes; infinite if the response
            has no body whatever its headers say.
        received_bytes: Bytes received so far.
        total_body_bytes: Bytes of all bodies so far.
        chunks: Chunks of all bodies so far.
    """

    def __init__(self, body_limit: float = MAX_BODY_BYTES):
        super().__init__()
        self.body_limit = body_limit
        self.received_bytes = 0
        self.total_body_bytes = 0
        self.chunks = 0
        self.has_extra_bytes = False
        self.until_close = False
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name, value):
        """Adds a header or a trailer.

        Raises:
            MessageError: There are too many.
        """
        super().on_header(name, value)
        if len(self.message.headers) > MAX_HEADERS:
            raise MessageError(f"more than {MAX_HEADERS} headers")

    def on_chunk_header(self):
        """Counts a chunk.

        Raises:
            MessageError: There are too many.
        """
        self.chunks += 1
        limit = max_chunks(self.total_body_bytes)
        if self.chunks > limit:
            raise MessageError(
                f"{self.chunks} chunks for {self.total_body_bytes} bytes of"
                f" body, limit {limit}"
            )

    def on_headers_complete(self):
        """Determines the status and the framing of the body."""
        message = self.message
        message.status = self.parser.get_status_code()
        message.keep_alive = self.parser.should_keep_alive()
        message.headers_done = True
        names = [name for name, _ in message.headers]
        framed = b"content-length" in names or b"transfer-encoding" in names
        bodyless = message.status in _BODYLESS_STATUSES or message.status < 200
        self.until_close = not framed and not bodyless
        length = message.header(b"content-length") or b""
        if length.isdigit() and int(length) > self.body_limit:
            raise MessageError(
                f"body has {int(length)} bytes, limit {self.body_limit}"
            )

    def on_body(self, chunk):
        """Appends a chunk of the body."""
        super().on_body(chunk)
        self.total_body_bytes += len(chunk)

    def on_message_complete(self):
        """Marks the response as complete, unless it is an interim one."""
        message, self.message = self.message, None
        if message.status >= 200:
            message.complete = True
            self.finished.append(message)

    def feed(self, data: bytes) -> list[RawMessage]:
        """Parses bytes received from the connection.

        Args:
            data: The bytes.

        Returns:
            The responses completed by these bytes.

        Raises:
            MessageError: The bytes are not a response, or exceed a limit.
        """
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if not self.finished:
                cause = error.__context__
                if isinstance(cause, MessageError):
                    raise cause from None
                raise MessageError(str(error)) from error
            self.has_extra_bytes = True
        found, self.finished = self.finished, []
        if found and self.message is not None:
            self.has_extra_bytes = True
        if not found:
            self._check_limits(len(data))
        return found

    def _check_limits(self, latest: int) -> None:
        """Checks the limits while no response is complete.

        The parser reports a header only at its end, so all bytes outside of
        bodies are counted.

        Args:
            latest: Number of bytes received last, which may be of a body that
                the parser has not reported yet.
        """
        if self.total_body_bytes > self.body_limit:
            raise MessageError(
                f"body has over {self.total_body_bytes} bytes,"
                f" limit {self.body_limit}"
            )
        framing = self.received_bytes - self.total_body_bytes - latest
        limit = max_framing_bytes(self.total_body_bytes)
        if framing > limit:
            raise MessageError(
                f"{framing} bytes outside of the body, limit {limit}"
            )

    def end(self) -> RawMessage | None:
        """Handles the orderly close of the connection.

        Returns:
            The response whose body ends with the close; None if there is none.
        """
        if self.message is None or not self.until_close:
            return None
        message, self.message = self.message, None
        message.complete = message.headers_done
        message.keep_alive = False
        message.ended_by_close = True
        return message if message.complete else None
