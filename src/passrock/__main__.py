"""Entry point of ``python -m passrock``, and of the script that the build puts beside the libraries.

A controller is started with ``--config FILE`` alone. This form does not import the modules that only the command line
needs: with a fraction of a core their import takes seconds, during which no requests are served.
"""

import sys


def start(arguments: list[str]) -> int:
    """Run a controller, or the command line; return the exit code."""
    if len(arguments) == 2 and arguments[0] == "--config":
        sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]  # unused, and asyncio works without it
        from passrock.serving import run_controller

        return run_controller(arguments[1])
    from passrock.cli import main

    return main(arguments)


if __name__ == "__main__":
    sys.exit(start(sys.argv[1:]))
