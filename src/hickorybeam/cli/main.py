"""Entry point of the command line."""

from __future__ import annotations

import fire

import hickorybeam

__all__ = ("Commands", "main")


class Commands:
    """Hickorybeam, a multi-region inference gateway."""

    def kinds(self) -> None:
        """Print every error kind with its answer."""
        for kind, answer in hickorybeam.errors.ANSWERS.items():
            print(f"{kind.value:24} {answer.status} ran={answer.ran.value} {answer.text}")


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name="hickorybeam")
