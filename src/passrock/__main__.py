"""``python -m passrock``."""

import sys

from passrock.cli import main

sys.exit(main())
