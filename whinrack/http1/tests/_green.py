"""Runs a green server together with a blocking client in a thread."""

import threading

import eventlet

_POLL_SECONDS = 0.005


def run_green(main):
    """Call `main` in the hub; run the blocking function that it returns in a thread."""
    client = main()
    results = []

    def run():
        try:
            results.append((client(), None))
        except BaseException as error:
            results.append((None, error))

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    while thread.is_alive():
        eventlet.sleep(_POLL_SECONDS)
    value, error = results[0]
    if error is not None:
        raise error
    return value
