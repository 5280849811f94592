"""Start one VM's daemon with the settings file that the environment names.

It goes round the command line, whose library costs a twentieth of a second at each start.
"""

from __future__ import annotations

import os

import anyio

from hickorybeam.gateway import run
from hickorybeam.settings import load_settings
from hickorybeam.telemetry import logs

SETTINGS_VARIABLE = "HICKORYBEAM_CONFIG"


def main() -> None:
    """Run until SIGTERM."""
    path = os.environ[SETTINGS_VARIABLE]
    cfg = load_settings(path)
    with logs.process_logging(cfg.log):
        anyio.run(run, cfg, path)


if __name__ == "__main__":
    main()
