"""The little HTTP/1.1 that the soak needs on both sides."""
import asyncio
from dataclasses import dataclass


@dataclass
class Message:
    start: str
    headers: dict
    body: bytes

    @property
    def status(self):
        return int(self.start.split()[1])


class Incomplete(Exception):
    """The connection ended within a message."""


async def read_message(reader):
    """Reads one message; returns None when the connection ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Incomplete("the head is cut") from error
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)}
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise Incomplete("the body is cut") from error
    return Message(start, headers, body)


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(method, path, host, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *(f"{name}: {value}" for name, value in headers)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
