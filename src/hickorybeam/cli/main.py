"""Entry point of the command line."""

from __future__ import annotations

import sys
from pathlib import Path

import anyio
import fire
import msgspec

from hickorybeam.cli.client import OperatorClient, RefusedError, UnreachableError, read_key
from hickorybeam.cli.exits import Exit
from hickorybeam.cli.keys import KeyCommands
from hickorybeam.cli.render import as_json, format_lines, table
from hickorybeam.cli.tickets import TicketCommands
from hickorybeam.clock import SystemClock
from hickorybeam.errors import ERROR_RESPONSES, GatewayError
from hickorybeam.settings import load_settings

__all__ = ("Commands", "main")


PLATFORM_DEMO = "platform"


class Commands:
    """Hickorybeam, a multi-region inference gateway.

    Operator commands read the key from HICKORYBEAM_KEY or from --key-file.
    """

    def __init__(self) -> None:
        self.ticket = TicketCommands()
        self.key = KeyCommands()

    def run(self, settings: str) -> None:
        """Run the daemon of one entry VM until SIGTERM or SIGINT.

        :param settings: a settings file in JSON with comments.
        """
        from hickorybeam.telemetry import logs

        cfg = load_settings(settings)
        with logs.process_logging(cfg.log):
            if cfg.gateway is not None:
                from hickorybeam import gateway

                gateway.serve(cfg, settings)
                return
            from hickorybeam import daemon

            anyio.run(daemon.run, cfg)

    def check(self, *settings: str) -> str:
        """Check settings files and list every error."""
        for path in settings:
            load_settings(path)
        return f"{len(settings)} settings files are right"

    def effective(self, settings: str) -> str:
        """Print the settings with every default filled in."""
        return as_json(msgspec.to_builtins(load_settings(settings)))

    def status(self, *, url: str, key_file: str | None = None, json: bool = False) -> str:
        """Show the fleet as one entry VM sees it."""
        vm_status = OperatorClient(url, read_key(key_file)).status()
        return as_json(vm_status) if json else "\n".join(format_lines(vm_status))

    def drain(self, *, url: str, key_file: str | None = None) -> str:
        """Shut one entry VM down gracefully."""
        OperatorClient(url, read_key(key_file)).drain()
        return f"{url} is draining"

    def kinds(self, *, json: bool = False) -> str:
        """List every error kind with its response."""
        rows = [
            (kind.value, response.status, response.ran.value, response.retry.value, response.text)
            for kind, response in ERROR_RESPONSES.items()
        ]
        header = ("code", "status", "ran", "retry", "meaning")
        if json:
            return as_json([dict(zip(header, row, strict=True)) for row in rows])
        return table(rows, header)

    def authority(self, folder: str, *vms: str) -> str:
        """Create a development CA and a certificate for each VM, or one for the fleet.

        :param folder: folder for the files; a CA that is in it already is reused.
        """
        from hickorybeam.peers import make_authority, make_certificate

        path, wall_ms = Path(folder), SystemClock().wall()
        if not (path / "authority.crt").exists():
            make_authority(path, wall_ms=wall_ms)
        for vm in vms or ("",):
            make_certificate(path, wall_ms=wall_ms, vm=vm)
        return "\n".join(sorted(str(file) for file in path.iterdir()))

    def demo(self, deployment: str = "tour-de-terre", *, keep: bool = False) -> None:
        """Run a whole deployment in one process and print what happens.

        :param deployment: ``tour-de-terre`` or ``umoja``, or a folder with the same layout;
            ``platform`` for the gateway connected to the platform's stand-ins.
        :param keep: keep it running afterwards, until interrupted.
        """
        if deployment == PLATFORM_DEMO:
            from hickorybeam.demo import platform

            anyio.run(platform.tell, print)
            return
        from hickorybeam import demo

        demo.run(deployment, keep=keep)


def main() -> None:
    """Run the command line and exit with a documented code."""
    try:
        fire.Fire(Commands(), name="hickorybeam")
    except RefusedError as exc:
        _fail(Exit.REFUSED, str(exc), exc.error.get("faults", ()))
    except UnreachableError as exc:
        _fail(Exit.UNREACHABLE, str(exc), ())
    except GatewayError as exc:
        _fail(Exit.USAGE, str(exc), exc.faults)
    except (ValueError, OSError) as exc:
        _fail(Exit.USAGE, str(exc), ())


def _fail(code: Exit, text: str, faults: tuple[str, ...]) -> None:
    print(f"hickorybeam: {text}", file=sys.stderr)
    for fault in faults:
        print(f"  {fault}", file=sys.stderr)
    sys.exit(code)
