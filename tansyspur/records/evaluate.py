"""Evaluates typed records: unifies the values of a file with each other and with a schema, and yields plain data.

Unification, as in CUE, only ever narrows a value, so its order does not matter. A reference is looked up in the struct
that it is written in, then in the enclosing structs, and last in the schema's file. All problems of a file are
collected and reported together, not only the first.
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
from tansyspur.records.syntax import Node, Position

MAX_PROBLEMS = 1000
COMPARISONS = {"<": operator.lt, "<=": operator.le, ">": operator.gt, ">=": operator.ge, "!=": operator.ne}
ARITHMETIC = {"+": operator.add, "-": operator.sub, "*": operator.mul, "/": operator.truediv}
Scalar = str | int | float | bool | None


@dataclass(slots=True, frozen=True, order=True)
class Problem:
    """One fault of a record: its position in the file, the path of the value (such as `groups[0].ends`), and a text."""

    position: Position
    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.position}: {self.path}: {self.text}" if self.path else f"{self.position}: {self.text}"


class RecordError(Exception):
    """A record cannot be used. `problems` lists every fault, without duplicates, sorted by position."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = sorted(set(problems))
        super().__init__("\n".join(map(str, self.problems)))


# Values


@dataclass(slots=True)
class Value:
    position: Position


@dataclass(slots=True)
class Bottom(Value):
    """The result of a failed evaluation. Its problem has been reported already, so it causes no further ones."""


@dataclass(slots=True)
class Concrete(Value):
    """A single value. `dimension` is "time" (value in seconds), "load" (in erlang), or "" for none."""

    value: Scalar
    dimension: str = ""


@dataclass(slots=True)
class Constraint(Value):
    """Any value of a type that is within all bounds, each an operator and its operand. The type `any` takes all."""

    type_name: str
    bounds: tuple[tuple[str, Scalar], ...] = ()


@dataclass(slots=True)
class Disjunction(Value):
    """One of several alternatives, each with whether it is marked as the default."""

    alternatives: list[tuple[bool, Value]]


@dataclass(slots=True)
class FieldValue:
    value: Value
    optional: bool
    position: Position


@dataclass(slots=True)
class StructValue(Value):
    """Fields by name. A pattern constrains the value of each field whose name it matches.

    A closed struct admits no further fields, other than those that one of its patterns matches.
    """

    fields: dict[str, FieldValue] = field(default_factory=dict)
    patterns: list[tuple[Value, Value]] = field(default_factory=list)
    closed: bool = False


@dataclass(slots=True)
class ListValue(Value):
    items: list[Value]
    rest: Value | None = None  # constraint on further items; None if there may be none


# Whether a type admits a Python value with its dimension
TYPE_CHECKS = {
    "string": lambda value, dimension: isinstance(value, str),
    "bool": lambda value, dimension: isinstance(value, bool),
    "null": lambda value, dimension: value is None,
    "int": lambda value, dimension: _is_number(value) and not dimension and float(value).is_integer(),
    "number": lambda value, dimension: _is_number(value) and not dimension,
    "time": lambda value, dimension: _is_number(value) and dimension in ("", "time"),
    "load": lambda value, dimension: _is_number(value) and dimension in ("", "load"),
    "any": lambda value, dimension: True,
}
# The types by the names that records use for them
TYPE_NAMES = {"_": "any", "float": "number", **{name: name for name in TYPE_CHECKS if name != "any"}}
# Pairs of a type and a wider one
SUBTYPES = {("int", "number"), ("int", "time"), ("int", "load"), ("number", "time"), ("number", "load")}
TYPE_DESCRIPTIONS = {
    "int": "a whole number", "number": "a number", "time": "a time", "load": "a load in erlang",
    "string": "a string", "bool": "true or false", "null": "null", "any": "anything",
}  # fmt: skip


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def describe(value: Value) -> str:
    """A value in the words of an error message."""
    match value:
        case Concrete(value=scalar, dimension=dimension):
            unit = {"time": "s", "load": "erl"}.get(dimension, "")
            text = (
                {True: "true", False: "false", None: "null"}.get(scalar) if not _is_number(scalar) else None
            )
            return text or (f'"{scalar}"' if isinstance(scalar, str) else f"{scalar:.12g}{unit}")
        case Constraint(type_name=type_name, bounds=bounds):
            conditions = " & ".join(
                f'{symbol}"{limit}"' if isinstance(limit, str) else f"{symbol}{limit:g}"
                for symbol, limit in bounds
            )
            if type_name == "any" and conditions:
                return f"something {conditions}"
            return f"{TYPE_DESCRIPTIONS[type_name]} {conditions}".strip()
        case Disjunction(alternatives=alternatives):
            return " or ".join(describe(alternative) for _, alternative in alternatives)
        case StructValue():
            return "a struct"
        case ListValue():
            return "a list"
    return "nothing"


class Scope:
    """The fields of a struct literal by name, for resolving the references written in it."""

    def __init__(self, parent: "Scope | None", node: syntax.StructLiteral) -> None:
        self.parent = parent
        self.fields: dict[str, list[Node]] = {}
        for declaration in node.fields:
            self.fields.setdefault(declaration.name, []).append(declaration.value)


class Evaluator:
    """Evaluates and unifies nodes, and collects what is wrong with them in `problems`, up to MAX_PROBLEMS."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []
        self.cache: dict[tuple[int, int], Value] = {}  # by the ids of node and scope
        self.in_progress: set[tuple[int, int]] = set()
        # Keeps evaluated nodes and scopes alive: the id of a collected object could come to denote another one.
        self.kept_alive: list[Any] = []

    def report(self, position: Position, path: str, text: str) -> Bottom:
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(Problem(position, path, text))
        return Bottom(position)

    # Evaluation of syntax nodes

    def evaluate(self, node: Node, scope: Scope, path: str, definition: bool = False) -> Value:
        """The value of a node. Structs in a definition (a field whose name begins with #) are closed."""
        key = (id(node), id(scope))
        if key in self.cache:
            return self.cache[key]
        if key in self.in_progress:
            return self.report(node.position, path, "a reference to itself")
        self.in_progress.add(key)
        self.kept_alive += [scope, node]
        try:
            value = self._evaluate(node, scope, path, definition)
        finally:
            self.in_progress.discard(key)
        self.cache[key] = value
        return value

    def _evaluate(self, node: Node, scope: Scope, path: str, definition: bool) -> Value:
        match node:
            case syntax.ScalarLiteral(position, value, dimension):
                return Concrete(position, value, dimension)
            case syntax.Reference(position, names):
                return self._resolve(position, names, scope, path)
            case syntax.Conjunction(position, operands):
                unified: Value = Constraint(position, "any")
                for operand in operands:
                    unified = self.unify(unified, self.evaluate(operand, scope, path, definition), path)
                return unified
            case syntax.Disjunction(position, choices):
                alternatives = [
                    (default, self.evaluate(choice, scope, path, definition)) for default, choice in choices
                ]
                return self._simplify(Disjunction(position, alternatives))
            case syntax.Bound(position, symbol, operand):
                limit = self.resolve_default(self.evaluate(operand, scope, path))
                if not isinstance(limit, Concrete) or (symbol == "=~") is not isinstance(limit.value, str):
                    if isinstance(limit, Bottom):
                        return limit
                    return self.report(
                        position, path, f"{symbol} needs {'a string' if symbol == '=~' else 'a number'}"
                    )
                if symbol == "=~":
                    try:
                        re.compile(str(limit.value))
                    except re.error as error:
                        return self.report(position, path, f"invalid regular expression: {error}")
                # A plain number as limit also bounds a time or a load; a limit with a unit bounds only its dimension.
                type_name = {"time": "time", "load": "load"}.get(limit.dimension, "any")
                return Constraint(
                    position, "string" if symbol == "=~" else type_name, ((symbol, limit.value),)
                )
            case syntax.Arithmetic(position, symbol, left, right):
                return self._calculate(position, symbol, left, right, scope, path)
            case syntax.ListLiteral(position, items, rest, is_open):
                values = [
                    self.evaluate(item, scope, f"{path}[{i}]", definition) for i, item in enumerate(items)
                ]
                further = (
                    self.evaluate(rest, scope, f"{path}[]", definition)
                    if rest
                    else Constraint(position, "any")
                )
                return ListValue(position, values, further if is_open else None)
            case syntax.StructLiteral():
                return self._evaluate_struct(node, scope, path, definition)
        raise AssertionError(node)

    def _evaluate_struct(
        self, node: syntax.StructLiteral, outer: Scope, path: str, definition: bool
    ) -> Value:
        scope = Scope(outer, node)
        struct: Value = StructValue(node.position)
        assert isinstance(struct, StructValue)
        patterns = [
            (self.evaluate(label, scope, path), self.evaluate(value, scope, path))
            for label, value in node.patterns
        ]
        struct.patterns = patterns
        for declaration in node.fields:
            if declaration.name.startswith("#"):
                self.evaluate(declaration.value, scope, declaration.name, definition=True)
                continue
            if declaration.name.startswith("_"):
                continue  # hidden: only references use it
            field_path = f"{path}.{declaration.name}" if path else declaration.name
            value = self.evaluate(declaration.value, scope, field_path, definition)
            earlier = struct.fields.get(declaration.name)
            if earlier:
                value = self.unify(earlier.value, value, field_path)
            struct.fields[declaration.name] = FieldValue(
                value, declaration.optional and (not earlier or earlier.optional), declaration.position
            )
        struct.closed = definition and not node.is_open
        for embedded in node.embeds:
            # An embedded definition does not close the struct against the fields declared beside it.
            part = self.evaluate(embedded, scope, path)
            if isinstance(part, StructValue) and isinstance(struct, StructValue):
                part = replace(part, closed=False)
            struct = self.unify(struct, part, path)
        if patterns and isinstance(struct, StructValue):
            struct = self._apply_patterns(struct, path)
        return struct

    def _resolve(self, position: Position, names: tuple[str, ...], scope: Scope, path: str) -> Value:
        """The value that a dotted reference refers to."""
        declaring: Scope | None = scope
        while declaring and names[0] not in declaring.fields:
            declaring = declaring.parent
        if not declaring:
            if names[0] in TYPE_NAMES and len(names) == 1:
                return Constraint(position, TYPE_NAMES[names[0]])
            return self.report(position, path, f"unknown name {names[0]!r}")
        target: Value = Constraint(position, "any")
        for node in declaring.fields[names[0]]:
            part = self.evaluate(node, declaring, names[0], definition=names[0].startswith("#"))
            target = self.unify(target, part, path)
        for i, name in enumerate(names[1:], 1):
            target = self.resolve_default(target)
            if isinstance(target, Bottom):
                return target
            if not isinstance(target, StructValue) or name not in target.fields:
                return self.report(position, path, f"{'.'.join(names[:i])} has no field {name!r}")
            target = target.fields[name].value
        # The value takes the position of the reference, so that a problem points at this line, not the definition's.
        return replace(target, position=position) if isinstance(target, Concrete) else target

    def _calculate(
        self, position: Position, symbol: str, left: Node, right: Node, scope: Scope, path: str
    ) -> Value:
        """Arithmetic on concrete numbers, with their units, or the concatenation of two strings."""
        a, b = (self.resolve_default(self.evaluate(operand, scope, path)) for operand in (left, right))
        if isinstance(a, Bottom) or isinstance(b, Bottom):
            return Bottom(position)
        if not (isinstance(a, Concrete) and isinstance(b, Concrete)):
            return self.report(position, path, f"{symbol} needs concrete values on both sides")
        if symbol == "+" and isinstance(a.value, str) and isinstance(b.value, str):
            return Concrete(position, a.value + b.value)
        x, y = a.value, b.value
        if not (_is_number(x) and _is_number(y)):
            return self.report(position, path, f"{symbol} needs numbers")
        dimension = a.dimension or b.dimension
        if a.dimension and b.dimension:
            if symbol == "*" or a.dimension != b.dimension:
                return self.report(
                    position, path, f"{describe(a)} {symbol} {describe(b)} has no supported unit"
                )
            dimension = "" if symbol == "/" else dimension
        elif symbol == "/" and b.dimension:
            return self.report(position, path, f"{describe(a)} / {describe(b)} has no supported unit")
        elif dimension and symbol in "+-" and x and y:
            return self.report(
                position, path, f"{describe(a)} {symbol} {describe(b)}: only one operand has a unit"
            )
        try:
            return Concrete(position, ARITHMETIC[symbol](x, y), dimension)
        except (ZeroDivisionError, OverflowError) as error:
            return self.report(position, path, str(error))

    # Unification

    def unify(self, a: Value, b: Value, path: str) -> Value:
        """The value that satisfies both. A conflict is reported at b if its `_report_rank` is higher, else at a."""
        unified = self._unify(a, b, path)
        if isinstance(unified, str):
            first, second = (b, a) if _report_rank(b) > _report_rank(a) else (a, b)
            where = (
                f" ({second.position})"
                if _is_user_file(second.position) != _is_user_file(first.position) or second.position.line
                else ""
            )
            position = first.position
            text = unified if unified != "conflict" else f"{describe(first)} is not {describe(second)}"
            return self.report(position, path, text + where)
        return unified

    def _try_unify(self, a: Value, b: Value, path: str) -> Value | None:
        """Unifies without reporting problems; None if the values conflict."""
        before = len(self.problems)
        unified = self._unify(a, b, path)
        failed = len(self.problems) > before
        del self.problems[before:]
        return None if failed or isinstance(unified, str | Bottom) else unified

    def _unify(self, a: Value, b: Value, path: str) -> Value | str:
        """The unified value; if a and b conflict, the text of the problem, or "conflict" for the general one."""
        if isinstance(a, Bottom) or isinstance(b, Bottom):
            return Bottom(a.position)
        if isinstance(a, Constraint) and a.type_name == "any" and not a.bounds:
            return b
        if isinstance(b, Constraint) and b.type_name == "any" and not b.bounds:
            return a
        if isinstance(a, Disjunction) or isinstance(b, Disjunction):
            return self._unify_disjunctions(a, b, path)
        if isinstance(b, Concrete) and isinstance(a, Constraint):
            a, b = b, a
        match a, b:
            case Concrete(), Concrete():
                same_type = type(a.value) is type(b.value) or _is_number(a.value) and _is_number(b.value)
                if (
                    not same_type
                    or a.value != b.value
                    or a.dimension != b.dimension
                    and a.dimension
                    and b.dimension
                ):
                    return "conflict"
                return a if a.dimension else b
            case Concrete(), Constraint():
                if not TYPE_CHECKS[b.type_name](a.value, a.dimension):
                    return "conflict"
                for symbol, limit in b.bounds:
                    if not _satisfies(a.value, symbol, limit):
                        return "conflict"
                if b.type_name in ("time", "load"):
                    return replace(a, value=float(a.value), dimension=b.type_name)  # type: ignore[arg-type]
                return replace(a, value=int(a.value)) if b.type_name == "int" else a  # type: ignore[arg-type]
            case Constraint(), Constraint():
                type_name = a.type_name
                if a.type_name != b.type_name:
                    if a.type_name == "any" or (b.type_name, a.type_name) in SUBTYPES:
                        type_name = b.type_name
                    elif not (b.type_name == "any" or (a.type_name, b.type_name) in SUBTYPES):
                        return "conflict"
                return Constraint(a.position, type_name, tuple(dict.fromkeys((*a.bounds, *b.bounds))))
            case StructValue(), StructValue():
                return self._unify_structs(a, b, path)
            case ListValue(), ListValue():
                return self._unify_lists(a, b, path)
        return "conflict"

    def _unify_disjunctions(self, a: Value, b: Value, path: str) -> Value | str:
        """Unifies each alternative of a with each of b and drops the pairs that conflict.

        A unified alternative is a default if it comes from a default on each side that has one.
        """
        left = a.alternatives if isinstance(a, Disjunction) else [(False, a)]
        right = b.alternatives if isinstance(b, Disjunction) else [(False, b)]
        has_default = [any(default for default, _ in side) for side in (left, right)]
        alternatives = []
        for left_default, left_value in left:
            for right_default, right_value in right:
                unified = self._try_unify(left_value, right_value, path)
                if unified is not None:
                    alternatives.append(
                        (
                            (left_default or not has_default[0])
                            and (right_default or not has_default[1])
                            and any(has_default),
                            unified,
                        )
                    )
        if not alternatives:
            # If just one alternative is a struct or list like the other value, report what is wrong inside it.
            for value, choices in ((a, right), (b, left)):
                same_type = [choice for _, choice in choices if type(choice) is type(value)]
                if len(same_type) == 1 and isinstance(value, StructValue | ListValue):
                    return self.unify(value, same_type[0], path)
            return "conflict"
        return self._simplify(Disjunction(a.position, alternatives))

    def _simplify(self, disjunction: Disjunction) -> Value:
        if len(disjunction.alternatives) == 1:
            return disjunction.alternatives[0][1]
        return disjunction

    def _unify_structs(self, a: StructValue, b: StructValue, path: str) -> Value:
        struct = StructValue(a.position, {}, a.patterns + b.patterns, a.closed or b.closed)
        for own, other in ((a, b), (b, a)):
            if not other.closed:
                continue
            for name, entry in own.fields.items():
                if name not in other.fields and not any(
                    self._try_unify(Concrete(entry.position, name), label, path)
                    for label, _ in other.patterns
                ):
                    similar = get_close_matches(name, other.fields, 1)
                    hint = (
                        f"; did you mean {similar[0]!r}?"
                        if similar
                        else f"; known fields: {', '.join(other.fields)}"
                    )
                    self.report(entry.position, _join(path, name), f"unknown field{hint}")
        for name in dict.fromkeys((*a.fields, *b.fields)):
            x, y = a.fields.get(name), b.fields.get(name)
            if x and y:
                value = self.unify(x.value, y.value, _join(path, name))
                # The position where the value is given, rather than where the schema declares it.
                position = max((x.position, y.position), key=_user_file_last)
                struct.fields[name] = FieldValue(value, x.optional and y.optional, position)
            else:
                struct.fields[name] = x or y  # type: ignore[assignment]
        struct.position = max((a.position, b.position), key=_user_file_last)
        return self._apply_patterns(struct, path) if struct.patterns else struct

    def _apply_patterns(self, struct: StructValue, path: str) -> StructValue:
        for name, entry in struct.fields.items():
            for label, value in struct.patterns:
                if self._try_unify(Concrete(entry.position, name), label, path):
                    entry = replace(entry, value=self.unify(entry.value, value, _join(path, name)))
                    struct.fields[name] = entry
        return struct

    def _unify_lists(self, a: ListValue, b: ListValue, path: str) -> Value | str:
        for closed_list, other in ((a, b), (b, a)):
            if closed_list.rest is None and len(other.items) > len(closed_list.items):
                count, expected = len(other.items), len(closed_list.items)
                return f"a list of {count} items, expected {expected}"
            if closed_list.rest is None and other.rest is None and len(closed_list.items) != len(other.items):
                return f"a list of {len(closed_list.items)} items, expected {len(other.items)}"
        items = []
        for i in range(max(len(a.items), len(b.items))):
            a_item = a.items[i] if i < len(a.items) else a.rest
            b_item = b.items[i] if i < len(b.items) else b.rest
            assert a_item is not None and b_item is not None
            items.append(self.unify(a_item, b_item, f"{path}[{i}]"))
        rest = self.unify(a.rest, b.rest, f"{path}[]") if a.rest and b.rest else None
        return ListValue(max((a.position, b.position), key=_user_file_last), items, rest)

    # Conversion to plain data

    def resolve_default(self, value: Value) -> Value:
        """Replaces a disjunction by its default, if it has exactly one."""
        while isinstance(value, Disjunction):
            defaults = [alternative for is_default, alternative in value.alternatives if is_default]
            if len(defaults) != 1:
                return value
            value = defaults[0]
        return value

    def to_data(self, value: Value, path: str, position: Position) -> Any:
        """A value as Python data, with times in seconds and loads in erlang.

        A value that is not concrete is reported as missing, at `position`.
        """
        value = self.resolve_default(value)
        match value:
            case Concrete(value=scalar):
                return scalar
            case StructValue(fields=fields):
                # The missing fields of a struct are reported where the struct begins in the user's file.
                struct_position = value.position if _is_user_file(value.position) else position
                return {
                    name: self.to_data(
                        entry.value,
                        _join(path, name),
                        max(struct_position, entry.position, key=_user_file_last),
                    )
                    for name, entry in fields.items()
                    if not entry.optional
                }
            case ListValue(items=items):
                return [self.to_data(item, f"{path}[{i}]", position) for i, item in enumerate(items)]
            case Bottom():
                return None
        self.report(position, path, f"missing; expected {describe(value)}")
        return None


def _is_user_file(position: Position) -> int:
    """1 for a user's file, 0 for a schema of the package. Problems are reported in the file that the user can edit."""
    return 0 if position.file.startswith("<") else 1


def _user_file_last(position: Position) -> tuple[int, Position]:
    """Sort key that puts positions in a user's file, where values are given, after those in a schema."""
    return _is_user_file(position), position


def _report_rank(value: Value) -> tuple[int, bool]:
    """Sort key: of two conflicting values, the greater is the one to report, with its position.

    A value of the user ranks above one of the schema, and then a concrete value above a constraint.
    """
    return _is_user_file(value.position), isinstance(value, Concrete)


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _satisfies(value: Scalar, symbol: str, limit: Scalar) -> bool:
    if symbol == "=~":
        return isinstance(value, str) and re.search(str(limit), value) is not None
    if symbol == "!=":
        return value != limit
    if _is_number(value) and _is_number(limit) or isinstance(value, str) and isinstance(limit, str):
        return bool(COMPARISONS[symbol](value, limit))
    return False


def schemas() -> list[str]:
    """The names of the schemas that ship with the package."""
    folder = resources.files("tansyspur.records").joinpath("schemas")
    return sorted(
        entry.name.removesuffix(".cue") for entry in folder.iterdir() if entry.name.endswith(".cue")
    )


def schema_text(name: str) -> str:
    """The source of a schema. Raises ValueError if the package has none of this name."""
    if name not in schemas():
        raise ValueError(f"unknown schema {name!r}; available: {', '.join(schemas())}")
    return resources.files("tansyspur.records").joinpath("schemas", f"{name}.cue").read_text()


def loads(text: str, schema: str | None = None, file: str = "<text>") -> Any:
    """Evaluates the record in `text` to plain data; `file` is its name in error messages.

    With a schema, the record is first unified with the schema's `#Record`. Times become seconds, loads erlang.
    Raises RecordError with all problems, each with file, line, column and path, and ValueError if the package has no
    such schema.
    """
    evaluator = Evaluator()
    try:
        tree = syntax.parse(text, file)
        schema_scope = None
        if schema is not None:
            schema_tree = syntax.parse(schema_text(schema), f"<{schema}.cue>")
            schema_scope = Scope(None, schema_tree)
        record = evaluator.evaluate(
            tree, schema_scope or Scope(None, syntax.StructLiteral(tree.position)), ""
        )
        if schema_scope:
            required = evaluator.evaluate(
                schema_scope.fields["#Record"][0], schema_scope, "", definition=True
            )
            record = evaluator.unify(record, required, "")
        data = evaluator.to_data(record, "", Position(file, 1, 1))
    except syntax.RecordSyntaxError as error:
        raise RecordError([Problem(error.position, "", error.text)]) from None
    if evaluator.problems:
        raise RecordError(evaluator.problems)
    return data


def load(path: str | Path, schema: str | None = None) -> Any:
    """Evaluates the record in a file; see `loads`. A file that cannot be read raises RecordError as well."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise RecordError([Problem(Position(str(path), 0, 0), "", f"cannot be read: {reason}")]) from None
    return loads(text, schema, str(path))
