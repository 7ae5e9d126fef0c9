"""The list of known failures is read strictly: what it cannot mean is an error, not a pass."""

import pytest

from tests import known_red


def test_a_line_names_its_test_its_cause_and_its_issue():
    (row,) = known_red.read("# head\n\ntests/a.py::t | a cause | issue 3\n")
    assert (row.test, row.cause, row.issue) == ("tests/a.py::t", "a cause", "issue 3")
    assert row.names("tests/a.py::t[case]") and row.names("tests/a.py::t")
    assert not row.names("tests/a.py::t2") and not row.names("tests/b.py::t")


@pytest.mark.parametrize("text", ["tests/a.py::t | a cause", "t | | issue 3", "t | c | i\n" * 4])
def test_a_line_without_a_cause_or_issue_and_a_fourth_line_are_errors(text):
    with pytest.raises(pytest.UsageError, match="KNOWN-RED"):
        known_red.read(text)
