"""Unification: a file's values against each other and against a schema. Every trouble is told, not the first.

Values only ever become narrower, so the order of unification does not matter. A reference is resolved in the
struct that it is written in, and outwards from there; last comes the schema's file.
"""

import math
import operator
import re
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from difflib import get_close_matches
from importlib import resources
from pathlib import Path
from typing import Any

from tansyspur.records import syntax
from tansyspur.records.syntax import Node, Place

MOST_TROUBLES = 1000
COMPARE = {"<": operator.lt, "<=": operator.le, ">": operator.gt, ">=": operator.ge, "!=": operator.ne}
SUMS = {"+": operator.add, "-": operator.sub, "*": operator.mul, "/": operator.truediv}
Scalar = str | int | float | bool | None


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    """One thing that is wrong, where it stands, and the path of the value."""

    place: Place
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.path}: {self.text}" if self.path else f"{self.place}: {self.text}"


class RecordError(Exception):
    """A record that cannot be used, with all that is wrong with it."""

    def __init__(self, troubles: Iterable[Problem]) -> None:
        self.problems = sorted(set(troubles))
        super().__init__("\n".join(map(str, self.problems)))


# Values


@dataclass(slots=True)
class Value:
    at: Place


@dataclass(slots=True)
class Bottom(Value):
    """No value; why has been told."""


@dataclass(slots=True)
class Known(Value):
    value: Scalar
    dimension: str = ""


@dataclass(slots=True)
class Kind(Value):
    """Anything of a type, within limits; `any` is everything."""

    name: str
    limits: tuple[tuple[str, Scalar], ...] = ()


@dataclass(slots=True)
class Choice(Value):
    parts: list[tuple[bool, Value]]


@dataclass(slots=True)
class Slot:
    value: Value
    optional: bool
    at: Place


@dataclass(slots=True)
class Record(Value):
    slots: dict[str, Slot] = field(default_factory=dict)
    patterns: list[tuple[Value, Value]] = field(default_factory=list)
    closed: bool = False


@dataclass(slots=True)
class Sequence(Value):
    items: list[Value]
    rest: Value | None = None  # what further items must be; None: there are none


# What a type takes: of the Python value, and of its dimension
TYPES = {
    "string": lambda value, dimension: isinstance(value, str),
    "bool": lambda value, dimension: isinstance(value, bool),
    "null": lambda value, dimension: value is None,
    "int": lambda value, dimension: _number(value) and not dimension and float(value).is_integer(),
    "number": lambda value, dimension: _number(value) and not dimension,
    "time": lambda value, dimension: _number(value) and dimension in ("", "time"),
    "load": lambda value, dimension: _number(value) and dimension in ("", "load"),
    "any": lambda value, dimension: True,
}
NAMES = {"_": "any", "float": "number", **{name: name for name in TYPES if name != "any"}}
WITHIN = {("int", "number"), ("int", "time"), ("int", "load"), ("number", "time"), ("number", "load")}
ARTICLE = {"int": "a whole number", "number": "a number", "time": "a time", "load": "a load in erlang",
           "string": "a string", "bool": "true or false", "null": "null", "any": "anything"}  # fmt: skip


def _number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def describe(value: Value) -> str:
    match value:
        case Known(value=known, dimension=dimension):
            unit = {"time": "s", "load": "erl"}.get(dimension, "")
            text = {True: "true", False: "false", None: "null"}.get(known) if not _number(known) else None
            return text or (f'"{known}"' if isinstance(known, str) else f"{known:.12g}{unit}")
        case Kind(name=name, limits=limits):
            bounds = " & ".join(
                f'{sign}"{limit}"' if isinstance(limit, str) else f"{sign}{limit:g}" for sign, limit in limits
            )
            if name == "any" and bounds:
                return f"something {bounds}"
            return f"{ARTICLE[name]} {bounds}".strip()
        case Choice(parts=parts):
            return " or ".join(describe(part) for _, part in parts)
        case Record():
            return "a struct"
        case Sequence():
            return "a list"
    return "nothing"


class Scope:
    """A struct as it is written, for the references in it."""

    def __init__(self, parent: "Scope | None", node: syntax.Struct) -> None:
        self.parent = parent
        self.fields: dict[str, list[Node]] = {}
        for one in node.fields:
            self.fields.setdefault(one.name, []).append(one.value)


class Evaluator:
    def __init__(self) -> None:
        self.troubles: list[Problem] = []
        self.known: dict[tuple[int, int], Value] = {}
        self.under_way: set[tuple[int, int]] = set()
        self.kept: list[Any] = []  # scopes and nodes, as they are known by identity

    def trouble(self, at: Place, path: str, text: str) -> Bottom:
        if len(self.troubles) < MOST_TROUBLES:
            self.troubles.append(Problem(at, path, text))
        return Bottom(at)

    # From the tree

    def evaluate(self, node: Node, scope: Scope, path: str, definition: bool = False) -> Value:
        key = (id(node), id(scope))
        if key in self.known:
            return self.known[key]
        if key in self.under_way:
            return self.trouble(node.at, path, "a reference to itself")
        self.under_way.add(key)
        self.kept += [scope, node]
        try:
            found = self._evaluate(node, scope, path, definition)
        finally:
            self.under_way.discard(key)
        self.known[key] = found
        return found

    def _evaluate(self, node: Node, scope: Scope, path: str, definition: bool) -> Value:
        match node:
            case syntax.Scalar(at, value, dimension):
                return Known(at, value, dimension)
            case syntax.Reference(at, names):
                return self._refer(at, names, scope, path)
            case syntax.Both(at, parts):
                found: Value = Kind(at, "any")
                for part in parts:
                    found = self.unify(found, self.evaluate(part, scope, path, definition), path)
                return found
            case syntax.Either(at, choices):
                parts = [(default, self.evaluate(part, scope, path, definition)) for default, part in choices]
                return self._simplified(Choice(at, parts))
            case syntax.Limit(at, sign, operand):
                limit = self.settled(self.evaluate(operand, scope, path))
                if not isinstance(limit, Known) or (sign == "=~") is not isinstance(limit.value, str):
                    if isinstance(limit, Bottom):
                        return limit
                    return self.trouble(
                        at, path, f"{sign} needs {'a string' if sign == '=~' else 'a number'}"
                    )
                if sign == "=~":
                    try:
                        re.compile(str(limit.value))
                    except re.error as error:
                        return self.trouble(at, path, f"an unusable pattern: {error}")
                # A bound on a number holds for a time, too, and a bound in seconds for a time only.
                name = {"time": "time", "load": "load"}.get(limit.dimension, "any")
                return Kind(at, "string" if sign == "=~" else name, ((sign, limit.value),))
            case syntax.Binary(at, sign, left, right):
                return self._sum(at, sign, left, right, scope, path)
            case syntax.Items(at, items, rest, is_open):
                values = [
                    self.evaluate(item, scope, f"{path}[{i}]", definition) for i, item in enumerate(items)
                ]
                further = self.evaluate(rest, scope, f"{path}[]", definition) if rest else Kind(at, "any")
                return Sequence(at, values, further if is_open else None)
            case syntax.Struct():
                return self._struct(node, scope, path, definition)
        raise AssertionError(node)

    def _struct(self, node: syntax.Struct, outer: Scope, path: str, definition: bool) -> Value:
        scope = Scope(outer, node)
        made: Value = Record(node.at)
        assert isinstance(made, Record)
        patterns = [
            (self.evaluate(label, scope, path), self.evaluate(value, scope, path))
            for label, value in node.patterns
        ]
        made.patterns = patterns
        for one in node.fields:
            if one.name.startswith("#"):
                self.evaluate(one.value, scope, one.name, definition=True)
                continue
            if one.name.startswith("_"):
                continue  # for references only
            where = f"{path}.{one.name}" if path else one.name
            value = self.evaluate(one.value, scope, where, definition)
            known = made.slots.get(one.name)
            if known:
                value = self.unify(known.value, value, where)
            made.slots[one.name] = Slot(value, one.optional and (not known or known.optional), one.at)
        made.closed = definition and not node.is_open
        for embedded in node.embeds:
            # An embedded definition does not close the struct against the fields written beside it.
            part = self.evaluate(embedded, scope, path)
            if isinstance(part, Record) and isinstance(made, Record):
                part = replace(part, closed=False)
            made = self.unify(made, part, path)
        if patterns and isinstance(made, Record):
            made = self._patterned(made, path)
        return made

    def _refer(self, at: Place, names: tuple[str, ...], scope: Scope, path: str) -> Value:
        looked: Scope | None = scope
        while looked and names[0] not in looked.fields:
            looked = looked.parent
        if not looked:
            if names[0] in NAMES and len(names) == 1:
                return Kind(at, NAMES[names[0]])
            return self.trouble(at, path, f"no {names[0]!r} is known here")
        found: Value = Kind(at, "any")
        for node in looked.fields[names[0]]:
            part = self.evaluate(node, looked, names[0], definition=names[0].startswith("#"))
            found = self.unify(found, part, path)
        for i, name in enumerate(names[1:], 1):
            found = self.settled(found)
            if isinstance(found, Bottom):
                return found
            if not isinstance(found, Record) or name not in found.slots:
                return self.trouble(at, path, f"{'.'.join(names[:i])} has no {name!r}")
            found = found.slots[name].value
        # What it says is said here: a trouble must point at this line, not at the definition's.
        return replace(found, at=at) if isinstance(found, Known) else found

    def _sum(self, at: Place, sign: str, left: Node, right: Node, scope: Scope, path: str) -> Value:
        a, b = (self.settled(self.evaluate(one, scope, path)) for one in (left, right))
        if isinstance(a, Bottom) or isinstance(b, Bottom):
            return Bottom(at)
        if not (isinstance(a, Known) and isinstance(b, Known)):
            return self.trouble(at, path, f"{sign} needs known values on both sides")
        if sign == "+" and isinstance(a.value, str) and isinstance(b.value, str):
            return Known(at, a.value + b.value)
        x, y = a.value, b.value
        if not (_number(x) and _number(y)):
            return self.trouble(at, path, f"{sign} needs numbers")
        dimension = a.dimension or b.dimension
        if a.dimension and b.dimension:
            if sign == "*" or a.dimension != b.dimension:
                return self.trouble(
                    at, path, f"{describe(a)} {sign} {describe(b)} has no unit that is known here"
                )
            dimension = "" if sign == "/" else dimension
        elif sign == "/" and b.dimension:
            return self.trouble(at, path, f"{describe(a)} / {describe(b)} has no unit that is known here")
        elif dimension and sign in "+-" and x and y:
            return self.trouble(
                at, path, f"{describe(a)} {sign} {describe(b)}: one has a unit, the other none"
            )
        try:
            return Known(at, SUMS[sign](x, y), dimension)
        except (ZeroDivisionError, OverflowError) as error:
            return self.trouble(at, path, str(error))

    # Unification

    def unify(self, a: Value, b: Value, path: str) -> Value:
        """What is both; a trouble is told at b's place, or at a's where b is the schema's."""
        found = self._both(a, b, path)
        if isinstance(found, str):
            first, second = (b, a) if _rank(b) > _rank(a) else (a, b)
            where = f" ({second.at})" if _inner(second.at) != _inner(first.at) or second.at.line else ""
            at = first.at
            text = found if found != "conflict" else f"{describe(first)} is not {describe(second)}"
            return self.trouble(at, path, text + where)
        return found

    def _fits(self, a: Value, b: Value, path: str) -> Value | None:
        """Unified, or None if they cannot be; nothing is told."""
        before = len(self.troubles)
        found = self._both(a, b, path)
        told = len(self.troubles) > before
        del self.troubles[before:]
        return None if told or isinstance(found, str | Bottom) else found

    def _both(self, a: Value, b: Value, path: str) -> Value | str:
        if isinstance(a, Bottom) or isinstance(b, Bottom):
            return Bottom(a.at)
        if isinstance(a, Kind) and a.name == "any" and not a.limits:
            return b
        if isinstance(b, Kind) and b.name == "any" and not b.limits:
            return a
        if isinstance(a, Choice) or isinstance(b, Choice):
            return self._choose(a, b, path)
        if isinstance(b, Known) and isinstance(a, Kind):
            a, b = b, a
        match a, b:
            case Known(), Known():
                same = type(a.value) is type(b.value) or _number(a.value) and _number(b.value)
                if (
                    not same
                    or a.value != b.value
                    or a.dimension != b.dimension
                    and a.dimension
                    and b.dimension
                ):
                    return "conflict"
                return a if a.dimension else b
            case Known(), Kind():
                if not TYPES[b.name](a.value, a.dimension):
                    return "conflict"
                for sign, limit in b.limits:
                    if not _keeps(a.value, sign, limit):
                        return "conflict"
                if b.name in ("time", "load"):
                    return replace(a, value=float(a.value), dimension=b.name)  # type: ignore[arg-type]
                return replace(a, value=int(a.value)) if b.name == "int" else a  # type: ignore[arg-type]
            case Kind(), Kind():
                name = a.name
                if a.name != b.name:
                    if a.name == "any" or (b.name, a.name) in WITHIN:
                        name = b.name
                    elif not (b.name == "any" or (a.name, b.name) in WITHIN):
                        return "conflict"
                return Kind(a.at, name, tuple(dict.fromkeys((*a.limits, *b.limits))))
            case Record(), Record():
                return self._records(a, b, path)
            case Sequence(), Sequence():
                return self._sequences(a, b, path)
        return "conflict"

    def _choose(self, a: Value, b: Value, path: str) -> Value | str:
        """Each with each; what cannot be both falls away. A default lasts while it is possible."""
        left = a.parts if isinstance(a, Choice) else [(False, a)]
        right = b.parts if isinstance(b, Choice) else [(False, b)]
        marked = [any(d for d, _ in side) for side in (left, right)]
        parts = []
        for d, x in left:
            for e, y in right:
                both = self._fits(x, y, path)
                if both is not None:
                    parts.append(((d or not marked[0]) and (e or not marked[1]) and any(marked), both))
        if not parts:
            # With one struct or list among the choices, say what is wrong inside it.
            for one, choice in ((a, right), (b, left)):
                same = [x for _, x in choice if type(x) is type(one)]
                if len(same) == 1 and isinstance(one, Record | Sequence):
                    return self.unify(one, same[0], path)
            return "conflict"
        return self._simplified(Choice(a.at, parts))

    def _simplified(self, choice: Choice) -> Value:
        if len(choice.parts) == 1:
            return choice.parts[0][1]
        return choice

    def _records(self, a: Record, b: Record, path: str) -> Value:
        made = Record(a.at, {}, a.patterns + b.patterns, a.closed or b.closed)
        for own, other in ((a, b), (b, a)):
            if not other.closed:
                continue
            for name, slot in own.slots.items():
                if name not in other.slots and not any(
                    self._fits(Known(slot.at, name), label, path) for label, _ in other.patterns
                ):
                    near = get_close_matches(name, other.slots, 1)
                    hint = f"; is {near[0]!r} meant?" if near else f"; there are {', '.join(other.slots)}"
                    self.trouble(slot.at, _join(path, name), f"unknown field{hint}")
        for name in dict.fromkeys((*a.slots, *b.slots)):
            x, y = a.slots.get(name), b.slots.get(name)
            if x and y:
                value = self.unify(x.value, y.value, _join(path, name))
                # Where it is written, rather than where it is asked for.
                at = max((x.at, y.at), key=_written)
                made.slots[name] = Slot(value, x.optional and y.optional, at)
            else:
                made.slots[name] = x or y  # type: ignore[assignment]
        made.at = max((a.at, b.at), key=_written)
        return self._patterned(made, path) if made.patterns else made

    def _patterned(self, record: Record, path: str) -> Record:
        for name, slot in record.slots.items():
            for label, value in record.patterns:
                if self._fits(Known(slot.at, name), label, path):
                    slot = replace(slot, value=self.unify(slot.value, value, _join(path, name)))
                    record.slots[name] = slot
        return record

    def _sequences(self, a: Sequence, b: Sequence, path: str) -> Value | str:
        for one, other in ((a, b), (b, a)):
            if one.rest is None and len(other.items) > len(one.items):
                longer, most = len(other.items), len(one.items)
                return f"{longer} items, where there are to be {most}"
            if one.rest is None and other.rest is None and len(one.items) != len(other.items):
                return f"{len(one.items)} items, where there are to be {len(other.items)}"
        items = []
        for i in range(max(len(a.items), len(b.items))):
            x = a.items[i] if i < len(a.items) else a.rest
            y = b.items[i] if i < len(b.items) else b.rest
            assert x is not None and y is not None
            items.append(self.unify(x, y, f"{path}[{i}]"))
        rest = self.unify(a.rest, b.rest, f"{path}[]") if a.rest and b.rest else None
        return Sequence(max((a.at, b.at), key=_written), items, rest)

    # To plain data

    def settled(self, value: Value) -> Value:
        """A choice is its default, where it has one."""
        while isinstance(value, Choice):
            defaults = [part for marked, part in value.parts if marked]
            if len(defaults) != 1:
                return value
            value = defaults[0]
        return value

    def plain(self, value: Value, path: str, at: Place) -> Any:
        """As Python data; times in seconds, loads in erlang. What is still open is a trouble."""
        value = self.settled(value)
        match value:
            case Known(value=known):
                return known
            case Record(slots=slots):
                # A struct's missing fields are told where the struct stands in the user's file.
                here = value.at if _inner(value.at) else at
                return {
                    name: self.plain(slot.value, _join(path, name), max(here, slot.at, key=_written))
                    for name, slot in slots.items()
                    if not slot.optional
                }
            case Sequence(items=items):
                return [self.plain(item, f"{path}[{i}]", at) for i, item in enumerate(items)]
            case Bottom():
                return None
        self.trouble(at, path, f"missing; expected {describe(value)}")
        return None


def _inner(place: Place) -> int:
    """1 for a user's file, 0 for a schema of the package: a trouble is the user's to mend."""
    return 0 if place.file.startswith("<") else 1


def _written(place: Place) -> tuple[int, Place]:
    """Of two places, the one where a value is used rather than defined."""
    return _inner(place), place


def _rank(value: Value) -> tuple[int, bool]:
    """What a trouble is told of: the user's part, and of that what is no demand."""
    return _inner(value.at), isinstance(value, Known)


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _keeps(value: Scalar, sign: str, limit: Scalar) -> bool:
    if sign == "=~":
        return isinstance(value, str) and re.search(str(limit), value) is not None
    if sign == "!=":
        return value != limit
    if _number(value) and _number(limit) or isinstance(value, str) and isinstance(limit, str):
        return bool(COMPARE[sign](value, limit))
    return False


def schemas() -> list[str]:
    """The names of the schemas that ship with the package."""
    folder = resources.files("tansyspur.records").joinpath("schemas")
    return sorted(one.name.removesuffix(".cue") for one in folder.iterdir() if one.name.endswith(".cue"))


def schema_text(name: str) -> str:
    if name not in schemas():
        raise ValueError(f"no schema is named {name!r}; there are {', '.join(schemas())}")
    return resources.files("tansyspur.records").joinpath("schemas", f"{name}.cue").read_text()


def loads(text: str, schema: str | None = None, file: str = "<text>") -> Any:
    """The record in a text, unified with `#Record` of a schema of the package, as plain data.

    Times become seconds, loads erlang. Raises RecordError with all that is wrong, each with file, line,
    column and path; ValueError if there is no such schema.
    """
    evaluator = Evaluator()
    try:
        tree = syntax.parse(text, file)
        outer = None
        if schema is not None:
            above = syntax.parse(schema_text(schema), f"<{schema}.cue>")
            outer = Scope(None, above)
        found = evaluator.evaluate(tree, outer or Scope(None, syntax.Struct(tree.at)), "")
        if outer:
            wanted = evaluator.evaluate(outer.fields["#Record"][0], outer, "", definition=True)
            found = evaluator.unify(found, wanted, "")
        plain = evaluator.plain(found, "", Place(file, 1, 1))
    except syntax.SyntaxTrouble as error:
        raise RecordError([Problem(error.place, "", error.text)]) from None
    if evaluator.troubles:
        raise RecordError(evaluator.troubles)
    return plain


def load(path: str | Path, schema: str | None = None) -> Any:
    """The record in a file; see `loads`."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise RecordError([Problem(Place(str(path), 0, 0), "", f"cannot be read: {reason}")]) from None
    return loads(text, schema, str(path))
