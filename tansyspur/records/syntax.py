"""Parses the text of a typed record into a syntax tree, each node with its position in the file.

The only file that is read is the grammar, grammar.lark. `parse` is the entry point.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cache
from importlib import resources

import lark

# Factors to seconds and to erlang; a percentage becomes a plain number.
UNITS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, "erl": 1.0, "%": 0.01}
DIMENSIONS = {"us": "time", "ms": "time", "s": "time", "min": "time", "h": "time", "erl": "load"}
# Tokens that can end a value; a line end after one of them counts as a comma.
VALUE_END_TOKENS = {
    "IDENT",
    "DEFINITION",
    "NUMBER",
    "STRING",
    "RBRACE",
    "RSQB",
    "RPAR",
    "ELLIPSIS",
    "__ANON_0",
    "OPTIONAL",
}
MAX_DEPTH = 64  # of nested brackets; a file that nests without end would otherwise exceed the recursion limit


@dataclass(slots=True, frozen=True, order=True)
class Position:
    """A position in a file; line and column count from 1."""

    file: str = ""
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class RecordSyntaxError(Exception):
    """A text that the grammar does not admit; `position` is that of the first token that does not fit."""

    def __init__(self, position: Position, text: str) -> None:
        super().__init__(f"{position}: {text}")
        self.position, self.text = position, text


@dataclass(slots=True, eq=False)
class Node:
    position: Position


@dataclass(slots=True, eq=False)
class ScalarLiteral(Node):
    value: str | float | int | bool | None
    dimension: str = ""  # "time" (value in seconds), "load" (in erlang), or "" for none


@dataclass(slots=True, eq=False)
class Reference(Node):
    names: tuple[str, ...]  # the parts of a dotted name


@dataclass(slots=True, eq=False)
class Arithmetic(Node):
    symbol: str  # + - * /
    left: Node
    right: Node


@dataclass(slots=True, eq=False)
class Bound(Node):
    symbol: str  # < <= > >= != =~
    operand: Node


@dataclass(slots=True, eq=False)
class Conjunction(Node):
    operands: list[Node]


@dataclass(slots=True, eq=False)
class Disjunction(Node):
    alternatives: list[tuple[bool, Node]]  # each with whether it is marked as the default


@dataclass(slots=True, eq=False)
class Field:
    position: Position
    name: str
    value: Node
    optional: bool = False


@dataclass(slots=True, eq=False)
class StructLiteral(Node):
    fields: list[Field] = field(default_factory=list)
    # Constraint on the field name, and the value that each matching field must unify with
    patterns: list[tuple[Node, Node]] = field(default_factory=list)
    embeds: list[Node] = field(default_factory=list)
    is_open: bool = False  # written with "...": admits further fields


@dataclass(slots=True, eq=False)
class ListLiteral(Node):
    items: list[Node]
    rest: Node | None = None  # constraint on further items; None: anything
    is_open: bool = False  # written with "...": admits further items


class _LineEndCommas:
    """Turns the end of a line into a comma if the token before it can end a value, and drops it otherwise."""

    always_accept = ("_NL",)

    def process(self, stream: Iterator[lark.Token]) -> Iterator[lark.Token]:
        previous: lark.Token | None = None
        for token in stream:
            if token.type == "_NL":
                if previous is None or previous.type not in VALUE_END_TOKENS:
                    continue
                token = lark.Token.new_borrow_pos("_COMMA", ",", token)
            if previous is not None and previous.type == "_COMMA" and token.type == "_COMMA":
                continue
            previous = token
            yield token


@cache
def _parser() -> lark.Lark:
    grammar = resources.files("tansyspur.records").joinpath("grammar.lark").read_text()
    return lark.Lark(
        grammar,
        parser="lalr",
        lexer="basic",
        postlex=_LineEndCommas(),
        propagate_positions=True,
        maybe_placeholders=True,
    )


class _TreeBuilder(lark.visitors.Interpreter):  # type: ignore[type-arg]
    """Builds nodes from lark's parse tree. The public methods are named after the rules of the grammar.

    Exceptions are `position` and `node`, which are helpers.
    """

    def __init__(self, file: str) -> None:
        self.file = file

    def position(self, element: lark.Tree | lark.Token) -> Position:  # type: ignore[type-arg]
        if isinstance(element, lark.Token):
            return Position(self.file, element.line or 0, element.column or 0)
        return Position(self.file, getattr(element.meta, "line", 0), getattr(element.meta, "column", 0))

    def node(self, tree: lark.Tree) -> Node:  # type: ignore[type-arg]
        return self.visit(tree)

    def start(self, tree) -> StructLiteral:
        return self._struct(tree, Position(self.file, 1, 1))

    def struct(self, tree) -> StructLiteral:
        return self._struct(tree, self.position(tree))

    def _struct(self, tree, position: Position) -> StructLiteral:
        struct = StructLiteral(position)
        declarations = tree.children[0]
        for declaration in declarations.children if declarations is not None else ():
            if declaration.data == "field":
                entry = self.field(declaration)
                struct.patterns.append(entry) if isinstance(entry, tuple) else struct.fields.append(entry)
            elif declaration.data == "ellipsis":
                struct.is_open = True
            else:
                struct.embeds.append(self.node(declaration.children[0]))
        return struct

    def field(self, tree) -> Field | tuple[Node, Node]:
        """A field, or a pattern with its value. `a: b: 1` is short for `a: {b: 1}`."""
        label, mark, value = tree.children
        position = self.position(label)
        if value.data == "field":
            inner = self.field(value)
            node: Node = StructLiteral(position)
            assert isinstance(node, StructLiteral)
            node.patterns.append(inner) if isinstance(inner, tuple) else node.fields.append(inner)
        else:
            node = self.node(value)
        if label.data == "pattern":
            return self.node(label.children[0]), node
        name = str(label.children[0])
        if label.data == "quoted":
            name = self._text(label.children[0])
        return Field(position, name, node, bool(mark.children))

    def _text(self, token: lark.Token) -> str:
        try:
            return json.loads(str(token))
        except ValueError as error:
            raise RecordSyntaxError(self.position(token), f"invalid string: {error}") from None

    def disjunction(self, tree) -> Node:
        alternatives = []
        for alternative in tree.children:
            *default_mark, value = alternative.children
            alternatives.append((bool(default_mark), self.node(value)))
        if len(alternatives) == 1:
            return alternatives[0][1]
        return Disjunction(self.position(tree), alternatives)

    def unify(self, tree) -> Node:
        operands = [self.node(operand) for operand in tree.children]
        return operands[0] if len(operands) == 1 else Conjunction(self.position(tree), operands)

    def _arithmetic(self, tree, symbol: str) -> Node:
        left, right = tree.children
        return Arithmetic(self.position(tree), symbol, self.node(left), self.node(right))

    def add(self, tree) -> Node:
        return self._arithmetic(tree, "+")

    def subtract(self, tree) -> Node:
        return self._arithmetic(tree, "-")

    def multiply(self, tree) -> Node:
        return self._arithmetic(tree, "*")

    def divide(self, tree) -> Node:
        return self._arithmetic(tree, "/")

    def negative(self, tree) -> Node:
        position = self.position(tree)
        return Arithmetic(position, "-", ScalarLiteral(position, 0), self.node(tree.children[0]))

    def bound(self, tree) -> Node:
        return Bound(self.position(tree), str(tree.children[0]), self.node(tree.children[1]))

    def number(self, tree) -> Node:
        text = str(tree.children[0]).replace("_", "")
        unit = next((unit for unit in sorted(UNITS, key=len, reverse=True) if text.endswith(unit)), "")
        digits = text[: len(text) - len(unit)]
        value: float | int = int(digits) if digits.isdigit() else float(digits)
        if unit:
            value = float(value) * UNITS[unit]
        return ScalarLiteral(self.position(tree), value, DIMENSIONS.get(unit, ""))

    def string(self, tree) -> Node:
        return ScalarLiteral(self.position(tree), self._text(tree.children[0]))

    def reference(self, tree) -> Node:
        names = tuple(str(token) for token in tree.children)
        position = self.position(tree)
        keywords = {"true": True, "false": False, "null": None}
        return (
            ScalarLiteral(position, keywords[names[0]])
            if names[0] in keywords and len(names) == 1
            else Reference(position, names)
        )

    def list(self, tree) -> Node:
        literal = ListLiteral(self.position(tree), [])
        items = tree.children[0]
        for item in items.children if items is not None else ():
            if item.data == "ellipsis":
                literal.is_open = True
                literal.rest = self.node(item.children[0]) if item.children[0] is not None else None
            else:
                literal.items.append(self.node(item))
        return literal


# Tokens as error messages describe them; others are left out of the list of what was expected.
TOKEN_DESCRIPTIONS = {
    "_COMMA": "a comma or a new line", "COLON": "':'", "RBRACE": "'}'", "RSQB": "']'", "RPAR": "')'",
    "IDENT": "a name", "NUMBER": "a number", "STRING": "a string", "$END": "the end",
}  # fmt: skip


def parse(text: str, file: str) -> StructLiteral:
    """Parses `text`; `file` is its name in positions. Raises RecordSyntaxError at the first token that does not fit."""
    depth = 0
    for number, line in enumerate(text.split("\n"), 1):
        for character in line:
            depth += (character in "{[(") - (character in "}])")
            if depth > MAX_DEPTH:
                raise RecordSyntaxError(Position(file, number, 1), f"nested deeper than {MAX_DEPTH}")
    try:
        return _TreeBuilder(file).start(_parser().parse(text))
    except lark.exceptions.VisitError as error:
        raise error.orig_exc from None
    except lark.UnexpectedToken as error:
        expected_tokens = [
            TOKEN_DESCRIPTIONS[name] for name in sorted(error.expected) if name in TOKEN_DESCRIPTIONS
        ]
        unexpected = "the end of the file" if error.token.type == "$END" else repr(str(error.token))
        if error.token.type == "_COMMA":
            unexpected = "a comma or the line's end"
        end = text.count("\n") + 1, len(text) - text.rfind("\n")
        position = Position(file, *(end if error.token.type == "$END" else (error.line, error.column)))
        expected = f"; expected {' or '.join(expected_tokens)}" if expected_tokens else ""
        raise RecordSyntaxError(position, f"unexpected {unexpected}{expected}") from None
    except lark.UnexpectedCharacters as error:
        raise RecordSyntaxError(
            Position(file, error.line, error.column), f"unexpected character {text[error.pos_in_stream]!r}"
        ) from None
