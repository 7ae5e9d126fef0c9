"""Runs the library example of the README, so that a change of the interface cannot leave it outdated."""

import contextlib
import io
import re
from pathlib import Path


def test_the_example_prints_the_documented_output():
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S).group(1)
    expected = re.search(r"^# (\[.*\])$", code, re.M).group(1)
    out = io.StringIO()
    with contextlib.redirect_stdout(out):
        exec(code, {})
    assert out.getvalue().strip() == expected
