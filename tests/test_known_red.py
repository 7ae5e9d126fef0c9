"""Tests of the list of known failures: a line that cannot be understood is an error, not a pass."""

import pytest

from tests import known_red


def test_a_line_has_a_test_a_cause_and_an_issue():
    (row,) = known_red.parse("# head\n\ntests/a.py::t | a cause | issue 3\n")
    assert (row.test, row.cause, row.issue) == ("tests/a.py::t", "a cause", "issue 3")
    assert row.covers("tests/a.py::t[case]") and row.covers("tests/a.py::t")
    assert not row.covers("tests/a.py::t2") and not row.covers("tests/b.py::t")


@pytest.mark.parametrize("text", ["tests/a.py::t | a cause", "t | | issue 3"])
def test_a_missing_cause_or_issue_is_an_error(text):
    with pytest.raises(pytest.UsageError, match="KNOWN-RED"):
        known_red.parse(text)


def test_any_number_of_tests_may_be_listed():
    rows = known_red.parse("".join(f"tests/a.py::t{number} | c | i\n" for number in range(9)))
    assert [row.test for row in rows] == [f"tests/a.py::t{number}" for number in range(9)]
