"""Run passrock from a checkout, with the sources and the built libraries on the module path."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "service")]

from passrock.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
