"""Loss formulas against published tables, exact summation and each other, and the command `tansyspur plan erlang`."""

import json
import math
import subprocess
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tansyspur.planner import erlang
from tests.world import ROOT

# Erlang B tables as printed in teletraffic handbooks: blocking, then circuits and the load in erlang offered to them
PUBLISHED = {
    0.001: {2: 0.046, 3: 0.194, 5: 0.762, 10: 3.09, 20: 9.41, 50: 32.5, 100: 75.2},
    0.01: {
        1: 0.0101, 2: 0.153, 3: 0.455, 4: 0.869, 5: 1.36, 6: 1.91, 7: 2.50, 8: 3.13, 9: 3.78, 10: 4.46,
        11: 5.16, 12: 5.88, 13: 6.61, 14: 7.35, 15: 8.11, 20: 12.0, 25: 16.1, 30: 20.3, 40: 29.0, 50: 37.9,
        100: 84.1,
    },
    0.02: {1: 0.0204, 2: 0.223, 3: 0.602, 4: 1.09, 5: 1.66, 10: 5.08, 20: 13.2, 30: 21.9, 50: 40.3, 100: 88},
    0.05: {1: 0.0526, 2: 0.381, 3: 0.899, 4: 1.52, 5: 2.22, 10: 6.22, 20: 15.2, 30: 24.8, 50: 44.5},
    0.10: {1: 0.111, 2: 0.595, 3: 1.27, 4: 2.05, 5: 2.88, 10: 7.51, 20: 17.6, 30: 28.1, 50: 49.6, 100: 104.0},
}  # fmt: skip
POINTS = [(load, n, b) for b, row in PUBLISHED.items() for n, load in row.items()]


def rounding_error(value):
    """Half a unit in the last printed place, for tables of three significant digits."""
    return 0.5 * 10 ** (math.floor(math.log10(value)) - 2)


@pytest.mark.parametrize("load, circuits, blocking", POINTS)
def test_blocking_agrees_with_the_published_tables(load, circuits, blocking):
    error = max(rounding_error(load), 0.0005) if load < 0.2 and blocking == 0.001 else rounding_error(load)
    assert (
        erlang.blocking(load - error * 1.01, circuits)
        <= blocking
        <= erlang.blocking(load + error * 1.01, circuits)
    )


def test_there_are_at_least_forty_published_points():
    assert len(POINTS) >= 40


@pytest.mark.parametrize(
    "load, circuits", [(0.01, 1), (3.5, 7), (20, 30), (120, 100), (1000, 1020), (1e5, 1e5)]
)
def test_blocking_agrees_with_direct_summation(load, circuits):
    """The recursion against A^n/n! divided by its sum, evaluated in logarithms."""
    n = int(circuits)
    log_terms = [k * math.log(load) - math.lgamma(k + 1) for k in range(n + 1)]
    largest = max(log_terms)
    expected = math.exp(log_terms[-1] - largest) / math.fsum(math.exp(term - largest) for term in log_terms)
    assert erlang.blocking(load, n) == pytest.approx(expected, rel=1e-6)


@given(st.floats(0.01, 300), st.floats(1e-6, 0.9))
def test_circuits_for_returns_the_smallest_sufficient_number(load, max_blocking):
    n = erlang.circuits_for(load, max_blocking)
    assert erlang.blocking(load, n) <= max_blocking * (1 + 1e-9)
    assert n == 0 or erlang.blocking(load, n - 1) > max_blocking


@pytest.mark.parametrize("n", [1, 2, 7, 100])
def test_circuits_for_accepts_a_blocking_that_is_met_exactly(n):
    assert erlang.circuits_for(float(n), erlang.blocking(float(n), n)) == n


@given(st.floats(0.1, 60), st.integers(1, 60))
def test_general_formulas_reduce_to_erlang_b(load, n):
    assert erlang.kaufman_roberts([load], [1], n)[0] == pytest.approx(erlang.blocking(load, n), abs=1e-12)
    assert erlang.with_reservation(load, 0, n, 2)[0] == pytest.approx(erlang.blocking(load, n), abs=1e-12)
    assert erlang.with_reservation(load / 2, load / 2, n, 0) == pytest.approx([erlang.blocking(load, n)] * 2)


def test_kaufman_roberts_agrees_with_enumeration_of_all_states():
    """The product form summed over every state of two classes on ten circuits."""
    loads, widths, n = [2.0, 0.7], [1, 3], 10
    states = {
        (i, j): loads[0] ** i / math.factorial(i) * loads[1] ** j / math.factorial(j)
        for i in range(n + 1)
        for j in range(n // 3 + 1)
        if i + 3 * j <= n
    }
    total = sum(states.values())
    for k, width in enumerate(widths):
        blocking = sum(p for (i, j), p in states.items() if i + 3 * j + width > n) / total
        assert erlang.kaufman_roberts(loads, widths, n)[k] == pytest.approx(blocking, rel=1e-12)


def test_a_class_wider_than_the_group_is_always_blocked():
    assert erlang.kaufman_roberts([1.0, 1.0], [1, 8], 7)[1] == 1.0
    assert erlang.blocking(3.0, 0) == 1.0 and erlang.with_reservation(1.0, 1.0, 0, 1) == (1.0, 1.0)


def test_waiting_agrees_with_a_published_example():
    assert erlang.waiting(2.0, 3) == pytest.approx(4 / 9)  # M/M/3 at two erlang
    assert erlang.waiting(5.0, 3) == 1.0


@pytest.mark.parametrize("load", [-1.0, math.nan, math.inf])
def test_a_negative_or_non_finite_load_is_refused(load):
    with pytest.raises(ValueError, match="offered"):
        erlang.blocking(load, 3)


def tool(*arguments):
    """Runs `tansyspur` with these arguments to its end."""
    return subprocess.run(
        [sys.executable, "-m", "tansyspur", *arguments], cwd=ROOT, capture_output=True, text=True
    )


def test_the_command_prints_json():
    result = tool("plan", "erlang", "--offered", "20", "--circuits", "30", "--format", "json")
    assert result.returncode == 0 and json.loads(result.stdout) == {
        "blocking": pytest.approx(0.00845750, rel=1e-6)
    }
    result = tool("plan", "erlang", "--offered", "20", "--blocking", "0.01", "--format", "json")
    assert json.loads(result.stdout) == {"circuits": 30}


@pytest.mark.parametrize(
    "arguments, message",
    [
        (["plan", "erlang", "--offered", "-1", "--circuits", "3"], "offered"),
        (["plan", "erlang", "--offered", "1"], "--circuits"),
        (["plan", "erlang", "--offered", "1", "--blocking", "2"], "blocking"),
        (["plan", "no-such"], "no-such"),
        (["no-such"], "no-such"),
    ],
)
def test_invalid_arguments_exit_with_status_two_and_a_message(arguments, message):
    result = tool(*arguments)
    assert result.returncode == 2 and message in result.stderr and "Traceback" not in result.stderr


def test_the_gatekeeper_does_not_import_the_libraries_of_the_tools():
    code = (
        "import sys, tansyspur.__main__;"
        "print([n for n in sys.modules if n.split('.')[0] in ('click', 'lark', 'numpy', 'structlog')"
        " or n.startswith(('tansyspur.cli', 'tansyspur.planner'))])"
    )
    result = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert result.stdout.strip() == "[]"
