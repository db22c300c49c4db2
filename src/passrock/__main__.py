"""Start passrock: ``python -m passrock``, or as the script that the build puts beside the built libraries.

A controller is started with ``--config FILE``. That form goes straight to the service, without the modules that only
the command line needs: on a small share of a core their import is seconds in which nobody is served.
"""

import sys


def start(arguments: list[str]) -> int:
    """Serve, or hand the arguments to the command line; returns the exit code."""
    if len(arguments) == 2 and arguments[0] == "--config":
        sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]  # asyncio does without, and no connection uses it
        from passrock.serving import serve_from

        return serve_from(arguments[1])
    from passrock.cli import main

    return main(arguments)


if __name__ == "__main__":
    sys.exit(start(sys.argv[1:]))
