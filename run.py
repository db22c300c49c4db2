"""Start passrock from a checkout: puts the built libraries and the sources on the path."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "service")]

from passrock.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
