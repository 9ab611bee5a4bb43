"""Bridge between eventlet green threads and asyncio coroutines on one event loop.

eventlet's asyncio hub runs both. All code that depends on both is in this module, so that
the rest could move off eventlet, whose maintainers advise against new use.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import TypeVar

import eventlet
from eventlet.event import Event
from eventlet.hubs import get_hub

__all__ = ["run_coroutine", "run_in_green_thread", "spawn_coroutine"]

T = TypeVar("T")


def run_coroutine(coroutine: Coroutine[None, None, T]) -> T:
    """Run a coroutine from a green thread and wait for its result.

    The coroutine is cancelled if the green thread is interrupted.
    """
    task = get_hub().loop.create_task(coroutine)
    done = Event()
    task.add_done_callback(lambda _task: done.send(None))
    try:
        done.wait()
    except BaseException:
        task.cancel()
        raise
    return task.result()


def spawn_coroutine(coroutine: Coroutine[None, None, object]) -> asyncio.Task:
    """Start a coroutine from a green thread without waiting."""
    return get_hub().loop.create_task(coroutine)


async def run_in_green_thread(function: Callable[..., T], *args: object) -> T:
    """Run a blocking function in a new green thread and await its result."""
    future = asyncio.get_running_loop().create_future()

    def run() -> None:
        try:
            result = function(*args)
        except BaseException as error:
            if not future.cancelled():
                future.set_exception(error)
        else:
            if not future.cancelled():
                future.set_result(result)

    eventlet.spawn_n(run)
    return await future
