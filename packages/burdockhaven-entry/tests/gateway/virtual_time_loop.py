"""An event loop whose clock jumps to the next timer instead of waiting for it."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop):
        super().__init__()
        self.loop = loop

    def select(self, timeout=None):
        if timeout:
            self.loop.now_s += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in virtual time; for tests that use no sockets."""

    def __init__(self):
        self.now_s = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self):
        return self.now_s


def run_in_virtual_time(main):
    """Run an async function that is given the loop's clock; return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main(loop.time))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
