"""Decode JSON values into frozen data classes and report all faults at once.

msgspec stops at the first fault, but an operator who corrects a settings file or a change ticket
needs all of them. The inputs are small, so this code favours clarity over speed.
"""

from __future__ import annotations

import dataclasses
import difflib
import enum
import sys
import types
import typing
from dataclasses import dataclass
from typing import Any, TypeVar, Union, cast

__all__ = ("Fault", "decode")

T = TypeVar("T")

MAX_SHOWN = 10**18


@dataclass(frozen=True, slots=True)
class Fault:
    """One invalid value: its key, what was expected and what was found."""

    key: str
    expected: str
    found: str

    def __str__(self) -> str:
        return f"{self.key or '(top)'}: expected {self.expected}, found {self.found}"


def decode(cls: type[T], raw: object) -> tuple[T | None, tuple[Fault, ...]]:
    """Build a data class from parsed JSON.

    :param cls: a data class whose fields are data classes, enums, tuples or scalars.
    :param raw: what the JSON reader returned.
    :return: the value and no faults, or ``None`` and all faults.
    """
    faults: list[Fault] = []
    value = _decode_value(cls, raw, "", faults)
    if faults:
        return None, tuple(faults)
    return cast("T", value), ()


def _decode_value(expected_type: Any, raw: object, key: str, faults: list[Fault]) -> object:
    if dataclasses.is_dataclass(expected_type):
        return _decode_object(cast("type", expected_type), raw, key, faults)
    origin = typing.get_origin(expected_type)
    if origin is tuple:
        return _decode_tuple(typing.get_args(expected_type), raw, key, faults)
    if origin is dict:
        return _decode_mapping(typing.get_args(expected_type), raw, key, faults)
    if origin in (Union, types.UnionType):
        return _decode_optional(typing.get_args(expected_type), raw, key, faults)
    if isinstance(expected_type, type) and issubclass(expected_type, enum.Enum):
        return _decode_enum(expected_type, raw, key, faults)
    return _decode_scalar(expected_type, raw, key, faults)


def _decode_object(cls: type, raw: object, key: str, faults: list[Fault]) -> object:
    if not isinstance(raw, dict):
        faults.append(Fault(key, "an object", _value_text(raw)))
        return None
    hints = typing.get_type_hints(cls)
    fields = {field.name: field for field in dataclasses.fields(cls)}
    for name in raw:
        if name not in fields:
            similar = difflib.get_close_matches(str(name), fields, n=1)
            hint = f" (did you mean {similar[0]!r}?)" if similar else ""
            faults.append(Fault(_join_key(key, name), "a known key" + hint, f"{name!r}"))
    values: dict[str, object] = {}
    faults_before = len(faults)
    for name, field in fields.items():
        if name in raw:
            values[name] = _decode_value(hints[name], raw[name], _join_key(key, name), faults)
        elif not _has_default(field):
            faults.append(Fault(_join_key(key, name), _type_text(hints[name]), "nothing"))
    return None if len(faults) > faults_before else cls(**values)


def _has_default(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


def _decode_tuple(args: tuple[Any, ...], raw: object, key: str, faults: list[Fault]) -> object:
    if not isinstance(raw, list | tuple):
        faults.append(Fault(key, "a list", _value_text(raw)))
        return ()
    return tuple(_decode_value(args[0], item, f"{key}[{i}]", faults) for i, item in enumerate(raw))


def _decode_mapping(args: tuple[Any, ...], raw: object, key: str, faults: list[Fault]) -> object:
    if not isinstance(raw, dict):
        faults.append(Fault(key, "an object", _value_text(raw)))
        return {}
    return {
        name: _decode_value(args[1], item, _join_key(key, name), faults)
        for name, item in raw.items()
    }


def _decode_optional(args: tuple[Any, ...], raw: object, key: str, faults: list[Fault]) -> object:
    if raw is None and type(None) in args:
        return None
    alternatives = [arg for arg in args if arg is not type(None)]
    return _decode_value(alternatives[0], raw, key, faults)


def _decode_enum(
    expected_type: type[enum.Enum], raw: object, key: str, faults: list[Fault]
) -> object:
    try:
        return expected_type(raw)
    except ValueError:
        faults.append(Fault(key, _type_text(expected_type), _value_text(raw)))
        return None


def _decode_scalar(expected_type: Any, raw: object, key: str, faults: list[Fault]) -> object:
    # bool is a subclass of int; `"port": true` must not be taken for 1.
    if expected_type is float and isinstance(raw, int | float) and not isinstance(raw, bool):
        # An integer may have more digits than a float can hold.
        if -sys.float_info.max <= raw <= sys.float_info.max:
            return float(raw)
    elif isinstance(raw, expected_type) and (expected_type is bool or not isinstance(raw, bool)):
        return raw
    faults.append(Fault(key, _type_text(expected_type), _value_text(raw)))
    return None


def _type_text(expected_type: Any) -> str:
    if dataclasses.is_dataclass(expected_type):
        return "an object"
    origin = typing.get_origin(expected_type)
    if origin is tuple:
        return "a list"
    if origin is dict:
        return "an object"
    if origin in (Union, types.UnionType):
        return " or ".join(_type_text(arg) for arg in typing.get_args(expected_type))
    if isinstance(expected_type, type) and issubclass(expected_type, enum.Enum):
        return "one of " + ", ".join(repr(item.value) for item in expected_type)
    names = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}
    return names.get(expected_type, "null" if expected_type is type(None) else str(expected_type))


def _value_text(raw: object) -> str:
    match raw:
        case None:
            return "null"
        case dict():
            return "an object"
        case list() | tuple():
            return "a list"
        case _ if isinstance(raw, int) and abs(raw) > MAX_SHOWN:
            # Too many digits are an error to write out.
            return "a number of many digits"
        case _:
            return repr(raw)


def _join_key(key: str, name: object) -> str:
    return f"{key}.{name}" if key else str(name)
