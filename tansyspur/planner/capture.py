"""A load from the gatekeepers' call records: redials with their first tries, gaps told, nothing silently too small.

Sources are lists of RFC 5424 lines; no I/O. Each gatekeeper's clock is its own: windows are laid over each source's
own first record, so that clocks that disagree shift no call between windows by more than they disagree.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from tansyspur.cdr.record import CallRecord, RecordFormatError, parse_count, parse_line, parse_record
from tansyspur.planner.fleet import CallClass, Load, Stream

LEAST_CALLS = 20  # of a class, to say anything of its holding time
LEAST_STREAM = 5  # of a stream, to say anything of its rate
EDGE_MS = 50  # clocks of one net
GAP_MS = 30_000  # without a record from a source that has some


@dataclass(slots=True)
class Captured:
    load: Load
    first_tries: int
    redials: int
    windows: int
    spoilt: int = 0
    missing: int = 0
    per_source: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Source:
    records: list[CallRecord] = field(default_factory=list)
    spoilt: int = 0
    missing: int = 0  # numbered, and not there
    counted: int = 0  # of these the gatekeeper says that it dropped
    legacy: int = 0  # call lines of the log, which are held to a rate and lack most of a record


def _read(lines: Sequence[str]) -> _Source:
    found = _Source()
    seen: dict[tuple[str, str], set[int]] = defaultdict(set)
    told: dict[tuple[str, str], tuple[int, int]] = {}
    for text in lines:
        if not text.strip():
            continue
        try:
            line = parse_line(text)
            row, count = parse_record(line), parse_count(line)
        except RecordFormatError:
            found.spoilt += 1
            continue
        process = (line.host, line.process)
        if row:
            if row[0] in seen[process]:
                continue  # a line that was collected twice
            seen[process].add(row[0])
            found.records.append(row[1])
        elif count:
            told[process] = max(count, told.get(process, (0, 0)))
        elif line.message_id == "call":
            found.legacy += 1
    for process, numbers in seen.items():
        last = max(*numbers, told.get(process, (0, 0))[0]) if numbers else 0
        first = min(numbers, default=1)
        # A file that was rotated begins in the middle; before its first number nothing is known.
        found.missing += last - first + 1 - len(numbers)
    found.counted = sum(dropped for _, dropped in told.values())
    found.records.sort(key=lambda one: one.offered_ms)
    return found


def _first_tries(records: list[CallRecord], kinds: Mapping[str, CallClass]) -> tuple[list[CallRecord], int]:
    """Without the redials: a call of a number again, after a try of it that did not stand, within the deadline of its
    class since the first; marked or not."""
    first: list[CallRecord] = []
    open_tries: dict[tuple[str, str], tuple[int, bool]] = {}
    redials = 0
    for one in records:
        kind = kinds.get(one.class_name)
        key = (one.number, one.class_name)
        known = open_tries.get(key)
        failed = one.stood_ms < 0
        within = kind and known and one.offered_ms - known[0] <= kind.deadline_s * 1000 + EDGE_MS
        if known and within and known[1]:
            redials += 1
            open_tries[key] = (known[0], failed)
            continue
        if one.redial or one.again:
            redials += 1  # its first try came before the records begin, or was lost from them
            continue
        open_tries[key] = (one.offered_ms, failed)
        first.append(one)
    return first, redials


def capture(
    sources: Mapping[str, Sequence[str]], names: Sequence[str], like: Load, window_s: float = 60.0
) -> Captured:
    """The load that the records of several gatekeepers show.

    names: of the store switches, by their numbers. like: gives the classes (aims, worths, deadlines) and what callers
    do; holding times are measured, where there are enough calls. Raises ValueError where nothing can be read.
    """
    kinds = {kind.name: kind for kind in like.classes}
    notes: list[str] = []
    read_from = {name: _read(lines) for name, lines in sources.items()}
    records_of = {name: one.records for name, one in read_from.items() if one.records}
    if not records_of:
        legacy = sum(one.legacy for one in read_from.values())
        hint = (
            f"; {legacy} call lines of the log hold too little: set [records] in the operator's file"
            if legacy
            else ""
        )
        raise ValueError(f"no call records in {', '.join(sources)}{hint}")
    for name, one in read_from.items():
        if not one.records:
            notes.append(f"{name}: no call records; the load lacks what this gatekeeper took")
        if one.spoilt:
            notes.append(f"{name}: {one.spoilt} spoilt lines were passed over")
        if one.missing:
            share = 100 * one.missing / (one.missing + len(one.records))
            notes.append(
                f"{name}: {one.missing} records are missing ({share:.1f}%, {one.counted} told as dropped); "
                "its rates are raised by so much"
            )
    begin = min(records[0].offered_ms for records in records_of.values())
    end = max(records[-1].offered_ms for records in records_of.values())
    count = max(1, int(-(-(end - begin + 1) // (window_s * 1000))))
    # A last window that was cut off would look like a lull.
    last_s = (end - begin) / 1000 - (count - 1) * window_s
    lengths = [window_s] * (count - 1) + [max(1.0, last_s)]
    counts: dict[tuple[str, str, str], list[float]] = defaultdict(lambda: [0.0] * count)
    holds: dict[str, list[float]] = defaultdict(list)
    total_first = total_redials = 0
    unknown: dict[str, int] = defaultdict(int)
    for name, records in records_of.items():
        mine = [one for one in records if not one.transit]
        for a, b in zip(records, records[1:], strict=False):
            if b.offered_ms - a.offered_ms > GAP_MS:
                notes.append(
                    f"{name}: nothing for {(b.offered_ms - a.offered_ms) / 1000:.0f} s; taken as no calls"
                )
        first, redials = _first_tries(mine, kinds)
        total_first += len(first)
        total_redials += redials
        raised = 1 + read_from[name].missing / max(1, len(records))
        for one in first:
            if one.class_name not in kinds or not (
                0 <= one.origin < len(names) and 0 <= one.destination < len(names)
            ):
                unknown[f"class {one.class_name!r}, from {one.origin} to {one.destination}"] += 1
                continue
            if one.origin == one.destination:
                unknown["a call to its own switch"] += 1
                continue
            w = min(count - 1, int((one.offered_ms - begin) / 1000 // window_s))
            counts[names[one.origin], names[one.destination], one.class_name][w] += raised
        for one in mine:
            if one.stood_ms >= 0 and one.verdict == "ended":
                holds[one.class_name].append((one.ended_ms - one.stood_ms) / 1000)
    for what, calls in unknown.items():
        notes.append(f"{calls} calls were left out: {what}")
    classes = []
    for kind in like.classes:
        held = holds.get(kind.name, [])
        if len(held) >= LEAST_CALLS:
            kind = replace(kind, holding_time_s=max(1e-3, sum(held) / len(held)))
        else:
            notes.append(
                f"{kind.name}: {len(held)} calls ended, too few for a holding time; {kind.holding_time_s:g} s is kept"
            )
        classes.append(kind)
    streams = []
    thin = 0
    for (a, b, class_name), calls in sorted(counts.items()):
        thin += sum(calls) < LEAST_STREAM
        rates = tuple(round(n / length, 6) for n, length in zip(calls, lengths, strict=True))
        streams.append(Stream(a, b, class_name, rates))
    if thin:
        notes.append(
            f"{thin} of {len(streams)} streams show under {LEAST_STREAM} calls: their rates are guesses"
        )
    empty = [w for w in range(count) if not any(calls[w] for calls in counts.values())]
    if empty:
        notes.append(f"no calls at all in the windows {', '.join(map(str, empty))}")
    load = Load(
        tuple(lengths), tuple(classes), tuple(streams), like.redial, like.holding_distribution, tuple(notes)
    )
    return Captured(
        load, total_first, total_redials, count,
        sum(one.spoilt for one in read_from.values()), sum(one.missing for one in read_from.values()),
        {name: len(one.records) for name, one in read_from.items()},
    )  # fmt: skip
