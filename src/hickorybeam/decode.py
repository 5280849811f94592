"""From plain JSON values to frozen data classes, reporting every fault at once.

msgspec stops at the first fault; an operator who mends a settings file or a change ticket
wants them all. Sizes are small here, so clarity goes before speed.
"""

from __future__ import annotations

import dataclasses
import difflib
import enum
import math
import types
import typing
from dataclasses import dataclass
from typing import Any, TypeVar, Union, cast

__all__ = ("Fault", "decode")

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing wrong: where, what was expected and what was found."""

    key: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.key or '(top)'}: expected {self.expected}, found {self.found}"


def decode(cls: type[T], raw: object) -> tuple[T | None, tuple[Fault, ...]]:
    """Build a data class from parsed JSON.

    :param cls: a data class whose fields are data classes, enums, tuples or scalars.
    :param raw: what the JSON reader returned.
    :return: the value, or ``None`` with every fault found.
    """
    faults: list[Fault] = []
    value = _value(cls, raw, "", faults)
    if faults:
        return None, tuple(faults)
    return cast("T", value), ()


def _value(want: Any, raw: object, key: str, faults: list[Fault]) -> object:
    if dataclasses.is_dataclass(want):
        return _object(cast("type", want), raw, key, faults)
    origin = typing.get_origin(want)
    if origin is tuple:
        return _tuple(typing.get_args(want), raw, key, faults)
    if origin is dict:
        return _mapping(typing.get_args(want), raw, key, faults)
    if origin in (Union, types.UnionType):
        return _optional(typing.get_args(want), raw, key, faults)
    if isinstance(want, type) and issubclass(want, enum.Enum):
        return _enum(want, raw, key, faults)
    return _scalar(want, raw, key, faults)


def _object(cls: type, raw: object, key: str, faults: list[Fault]) -> object:
    if not isinstance(raw, dict):
        faults.append(Fault(key, "an object", _show(raw)))
        return None
    hints = typing.get_type_hints(cls)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    for name in raw:
        if name not in fields:
            near = difflib.get_close_matches(str(name), fields, n=1)
            hint = f" (did you mean {near[0]!r}?)" if near else ""
            faults.append(Fault(_join(key, name), "a known key" + hint, f"{name!r}"))
    built: dict[str, object] = {}
    before = len(faults)
    for name, field in fields.items():
        if name in raw:
            built[name] = _value(hints[name], raw[name], _join(key, name), faults)
        elif not _has_default(field):
            faults.append(Fault(_join(key, name), _describe(hints[name]), "nothing"))
    return None if len(faults) > before else cls(**built)


def _has_default(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


def _tuple(args: tuple[Any, ...], raw: object, key: str, faults: list[Fault]) -> object:
    if not isinstance(raw, list | tuple):
        faults.append(Fault(key, "a list", _show(raw)))
        return ()
    return tuple(_value(args[0], item, f"{key}[{i}]", faults) for i, item in enumerate(raw))


def _mapping(args: tuple[Any, ...], raw: object, key: str, faults: list[Fault]) -> object:
    if not isinstance(raw, dict):
        faults.append(Fault(key, "an object", _show(raw)))
        return {}
    return {name: _value(args[1], item, _join(key, name), faults) for name, item in raw.items()}


def _optional(args: tuple[Any, ...], raw: object, key: str, faults: list[Fault]) -> object:
    if raw is None and type(None) in args:
        return None
    wanted = [arg for arg in args if arg is not type(None)]
    return _value(wanted[0], raw, key, faults)


def _enum(want: type[enum.Enum], raw: object, key: str, faults: list[Fault]) -> object:
    try:
        return want(raw)
    except ValueError:
        faults.append(Fault(key, _describe(want), _show(raw)))
        return None


def _scalar(want: Any, raw: object, key: str, faults: list[Fault]) -> object:
    # bool is a kind of int in Python; `"port": true` must not pass for 1.
    if want is float and isinstance(raw, int | float) and not isinstance(raw, bool):
        if math.isfinite(raw):
            return float(raw)
    elif isinstance(raw, want) and (want is bool or not isinstance(raw, bool)):
        return raw
    faults.append(Fault(key, _describe(want), _show(raw)))
    return None


def _describe(want: Any) -> str:
    if dataclasses.is_dataclass(want):
        return "an object"
    origin = typing.get_origin(want)
    if origin is tuple:
        return "a list"
    if origin is dict:
        return "an object"
    if origin in (Union, types.UnionType):
        return " or ".join(_describe(arg) for arg in typing.get_args(want))
    if isinstance(want, type) and issubclass(want, enum.Enum):
        return "one of " + ", ".join(repr(item.value) for item in want)
    names = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}
    return names.get(want, "null" if want is type(None) else str(want))


def _show(raw: object) -> str:
    match raw:
        case None:
            return "null"
        case dict():
            return "an object"
        case list() | tuple():
            return "a list"
        case _:
            return repr(raw)


def _join(key: str, name: object) -> str:
    return f"{key}.{name}" if key else str(name)
