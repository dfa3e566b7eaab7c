"""The path of one machine to the store. While it is cut, nothing passes and nobody is told."""

import asyncio


class CuttablePath:
    def __init__(self, target):
        self._target, self._passes, self._server, self._writers = target, asyncio.Event(), None, set()
        self._passes.set()

    async def start(self, host):
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[1]

    def cut(self):
        self._passes.clear()

    def heal(self):
        """What was held up passes, unless its sender has closed the connection."""
        self._passes.set()

    async def stop(self):
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.heal()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._passes.wait()
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            self._writers.add(far_writer)
            await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))
        except OSError:
            pass
        finally:
            writer.close()

    async def _copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self._passes.wait()
                writer.write(data)
        except OSError:
            pass
        finally:
            writer.close()
            self._writers.discard(writer)
