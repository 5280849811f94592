"""Run the command line with ``python -m hickorybeam``."""

from __future__ import annotations

from hickorybeam.cli import main

if __name__ == "__main__":
    main()
