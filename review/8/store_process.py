"""The platform's store and the paths of the gateways to it, as a process of its own, so that the load of the other stand-ins
doesn't delay it. Reads commands as lines of JSON from standard input."""

import asyncio
import base64
import json
import random
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "platform" / "standin"))

from store import Store  # noqa: E402


class StorePath:
    """The path of one gateway. While it is cut, connections are reset and new ones end at once."""

    def __init__(self):
        self._is_cut, self._writers = False, set()

    async def start(self, host, target):
        self._target = target
        server = await asyncio.start_server(self._connection, host, 0)
        return f"{host}:{server.sockets[0].getsockname()[1]}"

    def cut(self):
        self._is_cut = True
        for writer in list(self._writers):
            self._reset(writer)

    def heal(self):
        self._is_cut = False

    @staticmethod
    def _reset(writer):
        if not writer.is_closing():
            option = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        writer.transport.abort()

    async def _connection(self, reader, writer):
        if self._is_cut:
            return self._reset(writer)
        store_reader, store_writer = await asyncio.open_connection(*self._target)
        self._writers |= {writer, store_writer}
        await asyncio.gather(self._forward(reader, store_writer), self._forward(store_reader, writer))
        self._writers -= {writer, store_writer}

    @staticmethod
    async def _forward(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


async def main(host, count):
    store = Store(random.Random(1))
    port = await store.start(host, 0)
    paths = [StorePath() for _ in range(count)]
    print(json.dumps([await path.start(host, (host, port)) for path in paths]), flush=True)
    loop = asyncio.get_running_loop()
    commands = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while line := await commands.readline():
        command = json.loads(line)
        if command[0] == "put":
            store.put(command[1], command[2], base64.b64decode(command[3]))
        elif command[0] == "remove":
            store.remove(command[1], command[2])
        elif command[0] == "cut":
            paths[command[1]].cut()
        else:
            paths[command[1]].heal()


asyncio.run(main(sys.argv[1], int(sys.argv[2])))
