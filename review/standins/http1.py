"""Small HTTP/1.1 pieces for the stand-ins of the review: standard library only, loopback only."""

import asyncio


class Head:
    """A request line or status line with its headers (names in lower case)."""

    def __init__(self, data: bytes):
        first, *lines = data.decode("latin-1").split("\r\n")
        self.first = first.split(" ", 2)
        self.headers = {}
        for line in lines:
            name, colon, value = line.partition(":")
            if colon:
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = "") -> str:
        return self.headers.get(name, default)


async def read_message(reader: asyncio.StreamReader) -> tuple[Head, bytes]:
    """The next message with a body of known length. Raises asyncio.IncompleteReadError at an end."""
    head = Head((await reader.readuntil(b"\r\n\r\n"))[:-4])
    return head, await reader.readexactly(int(head.get("content-length", "0")))


def answer(status: int, body: bytes = b"", close: bool = False, **headers: str) -> bytes:
    """The bytes of an answer; header names are given with _ for -."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines += ["Connection: close"] if close else []
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def request(address: str, data: bytes, timeout: float = 0.4) -> int:
    """Send one request on a new connection; the status of the answer, 0 if none came in time."""
    status, _ = await exchange(address, data, timeout)
    return status


async def exchange(address: str, data: bytes, timeout: float = 0.4) -> tuple[int, bytes]:
    """Status and body of the answer to one request on a new connection; (0, b"") if none came in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            head, body = await read_message(reader)
            return int(head.first[1]), body
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return 0, b""
    finally:
        if writer:
            writer.close()


class Server:
    """Serves each request by `serve(head, body) -> bytes`, or None to leave it without an answer.

    A request that asks for the close gets an answer that announces it, as RFC 9112 has it: `serve` is told.
    """

    def __init__(self, serve, written=lambda head, reply: None):
        """written: called once an answer is written to a connection that is still open."""
        self.written = written
        self.serve, self.listener, self.address, self.writers = serve, None, "", {}

    async def open(self, port: int = 0) -> str:
        self.listener = await asyncio.start_server(self.handle, "127.0.0.1", port, limit=1 << 20)
        self.address = "{}:{}".format(*self.listener.sockets[0].getsockname()[:2])
        return self.address

    async def shut(self) -> None:
        """Stop to listen and reset all connections: new ones are refused."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for writer, task in list(self.writers.items()):
            writer.transport.abort()
            task.cancel()

    async def handle(self, reader, writer) -> None:
        self.writers[writer] = asyncio.current_task()
        try:
            while True:
                head, body = await read_message(reader)
                reply = await self.serve(head, body)
                if reply is None:
                    continue
                if writer.transport.is_closing() or reader.at_eof():  # the other side has given it up
                    break
                writer.write(reply)
                self.written(head, reply)
                if b"\r\nConnection: close\r\n" in reply:
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:  # this server is shut
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()
