"""Load settings and other operator files written in JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import json5

from hickorybeam.decode import Fault, decode
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.settings.checks import check_settings
from hickorybeam.settings.types import Settings

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ("load_file", "load_settings")

T = TypeVar("T")

# The reader takes 20 s for a megabyte.
MAX_FILE_BYTES = 131_072


def load_settings(path: str | Path) -> Settings:
    """Load and check a settings file.

    :param path: a file in JSON with comments.
    :raises GatewayError: ``SETTINGS_INVALID`` with every fault.
    """
    return load_file(Settings, path, kind=ErrorKind.SETTINGS_INVALID, check=check_settings)


def load_file(
    cls: type[T],
    path: str | Path,
    *,
    kind: ErrorKind,
    check: Callable[[T], tuple[Fault, ...]] = lambda _: (),
) -> T:
    """Load a file in JSON with comments into a data class.

    :param kind: the error kind raised if the file has faults.
    :param check: returns the faults that type checks cannot find.
    """
    try:
        raw = json5.loads(_read(Path(path)))
    except (OSError, ValueError, RecursionError) as exc:
        raise GatewayError(kind, f"{path}: {exc}", faults=(f"{path}: {exc}",)) from exc
    value, faults = decode(cls, raw)
    if value is not None:
        faults = check(value)
    if value is None or faults:
        texts = tuple(f"{path}: {fault}" for fault in faults)
        raise GatewayError(kind, f"{len(texts)} faults: " + "; ".join(texts), faults=texts)
    return value


def _read(path: Path) -> str:
    """Return the text of a file.

    :raises ValueError: it is longer than any file of settings, or no text.
    """
    with path.open("rb") as file:
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        raise ValueError(f"longer than {MAX_FILE_BYTES} bytes")
    return data.decode("utf-8")
