"""Estimates a load from the call detail records of several gatekeepers.

Redials are attributed to their first tries, rates are corrected for missing records, and every gap or omission is
stated in the notes of the load. Sources are lists of RFC 5424 lines. Gatekeepers have clocks of their own; windows
start at the earliest record of all sources, so that clock differences shift a call between windows by no more than
the difference itself.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from tansyspur.cdr.record import CallRecord, RecordFormatError, parse_count, parse_line, parse_record
from tansyspur.planner.fleet import CallClass, Load, Stream

MIN_CALLS_FOR_HOLDING_TIME = 20  # calls of a class; with fewer, the holding time of the model load is kept
MIN_CALLS_PER_STREAM = 5  # with fewer, the rate of a stream is noted as unreliable
CLOCK_TOLERANCE_MS = 50  # between the clocks of one network
MAX_SILENCE_MS = 30_000  # longer gaps between the records of a source are noted


@dataclass(slots=True)
class Captured:
    """An estimated load, and what it is based on."""

    load: Load
    first_tries: int
    redials: int
    windows: int  # number of windows
    malformed_lines: int = 0
    missing_records: int = 0
    records_by_source: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Source:
    """Records of one gatekeeper, in order of arrival of the calls."""

    records: list[CallRecord] = field(default_factory=list)
    malformed: int = 0  # lines
    missing: int = 0  # sequence numbers without a record
    reported_dropped: int = 0  # records that the gatekeeper reports as dropped
    call_lines: int = 0  # `call` lines of the log, which are rate-limited and lack most fields of a record


def _read(lines: Sequence[str]) -> _Source:
    source = _Source()
    seen: dict[tuple[str, str], set[int]] = defaultdict(set)  # sequence numbers, by host and process
    counts: dict[tuple[str, str], tuple[int, int]] = {}
    for text in lines:
        if not text.strip():
            continue
        try:
            line = parse_line(text)
            row, count = parse_record(line), parse_count(line)
        except RecordFormatError:
            source.malformed += 1
            continue
        process = (line.host, line.process)
        if row:
            if row[0] in seen[process]:
                continue  # the line was collected twice
            seen[process].add(row[0])
            source.records.append(row[1])
        elif count:
            counts[process] = max(count, counts.get(process, (0, 0)))
        elif line.message_id == "call":
            source.call_lines += 1
    for process, numbers in seen.items():
        last = max(*numbers, counts.get(process, (0, 0))[0]) if numbers else 0
        first = min(numbers, default=1)
        # A rotated file starts in the middle of the sequence; records before its first number are not missing.
        source.missing += last - first + 1 - len(numbers)
    source.reported_dropped = sum(dropped for _, dropped in counts.values())
    source.records.sort(key=lambda record: record.offered_ms)
    return source


def _first_tries(records: list[CallRecord], classes: Mapping[str, CallClass]) -> tuple[list[CallRecord], int]:
    """The records without redials, and the number of redials.

    A redial is a call of the same class to the same number after a try that was not answered, within the deadline of
    the class since the first try, whether or not the caller marked it as a redial.
    """
    first: list[CallRecord] = []
    # Time of the first try, and whether the last one failed
    open_tries: dict[tuple[str, str], tuple[int, bool]] = {}
    redials = 0
    for record in records:
        call_class = classes.get(record.class_name)
        key = (record.number, record.class_name)
        previous = open_tries.get(key)
        failed = record.stood_ms < 0
        within_deadline = (
            call_class
            and previous
            and record.offered_ms - previous[0] <= call_class.deadline_s * 1000 + CLOCK_TOLERANCE_MS
        )
        if previous and within_deadline and previous[1]:
            redials += 1
            open_tries[key] = (previous[0], failed)
            continue
        if record.redial or record.again:
            redials += 1  # the first try was made before the records begin, or its record is missing
            continue
        open_tries[key] = (record.offered_ms, failed)
        first.append(record)
    return first, redials


def capture(
    sources: Mapping[str, Sequence[str]], names: Sequence[str], model: Load, window_s: float = 60.0
) -> Captured:
    """Estimates the load that the records of several gatekeepers show.

    sources: lines by name of the source, one source per gatekeeper. names: of the store switches, by their exchange
    numbers. model: gives the classes (objective, worth, deadline) and the behaviour of callers; holding times are
    measured where there are enough calls. window_s: length of a window. Raises ValueError if no source has a record.
    """
    class_by_name = {call_class.name: call_class for call_class in model.classes}
    notes: list[str] = []
    parsed = {name: _read(lines) for name, lines in sources.items()}
    records_of = {name: source.records for name, source in parsed.items() if source.records}
    if not records_of:
        call_lines = sum(source.call_lines for source in parsed.values())
        hint = (
            f"; {call_lines} call lines of the log lack the necessary fields: set [records] in the operator's file"
            if call_lines
            else ""
        )
        raise ValueError(f"no call records in {', '.join(sources)}{hint}")
    for name, source in parsed.items():
        if not source.records:
            notes.append(f"{name}: no call records; the load lacks the calls of this gatekeeper")
        if source.malformed:
            notes.append(f"{name}: {source.malformed} malformed lines skipped")
        if source.missing:
            share = 100 * source.missing / (source.missing + len(source.records))
            notes.append(
                f"{name}: {source.missing} records are missing ({share:.1f}%, {source.reported_dropped} reported as "
                "dropped); its rates are increased accordingly"
            )
    begin = min(records[0].offered_ms for records in records_of.values())
    end = max(records[-1].offered_ms for records in records_of.values())
    count = max(1, int(-(-(end - begin + 1) // (window_s * 1000))))
    # The last window ends with the records; at full length, its rates would be too low.
    last_s = (end - begin) / 1000 - (count - 1) * window_s
    lengths = [window_s] * (count - 1) + [max(1.0, last_s)]
    counts: dict[tuple[str, str, str], list[float]] = defaultdict(lambda: [0.0] * count)
    holding_times_s: dict[str, list[float]] = defaultdict(list)
    total_first = total_redials = 0
    left_out: dict[str, int] = defaultdict(int)
    for name, records in records_of.items():
        own_calls = [record for record in records if not record.transit]
        for a, b in zip(records, records[1:], strict=False):
            if b.offered_ms - a.offered_ms > MAX_SILENCE_MS:
                notes.append(
                    f"{name}: no records for {(b.offered_ms - a.offered_ms) / 1000:.0f} s; counted as no calls"
                )
        first, redials = _first_tries(own_calls, class_by_name)
        total_first += len(first)
        total_redials += redials
        correction = 1 + parsed[name].missing / max(1, len(records))
        for record in first:
            if record.class_name not in class_by_name or not (
                0 <= record.origin < len(names) and 0 <= record.destination < len(names)
            ):
                left_out[
                    f"unknown class or switch: class {record.class_name!r}, "
                    f"from {record.origin} to {record.destination}"
                ] += 1
                continue
            if record.origin == record.destination:
                left_out["origin and destination are the same switch"] += 1
                continue
            w = min(count - 1, int((record.offered_ms - begin) / 1000 // window_s))
            counts[names[record.origin], names[record.destination], record.class_name][w] += correction
        for record in own_calls:
            if record.stood_ms >= 0 and record.verdict == "ended":
                holding_times_s[record.class_name].append((record.ended_ms - record.stood_ms) / 1000)
    for reason, calls in left_out.items():
        notes.append(f"{calls} calls were left out: {reason}")
    classes = []
    for call_class in model.classes:
        measured_s = holding_times_s.get(call_class.name, [])
        if len(measured_s) >= MIN_CALLS_FOR_HOLDING_TIME:
            call_class = replace(call_class, holding_time_s=max(1e-3, sum(measured_s) / len(measured_s)))
        else:
            notes.append(
                f"{call_class.name}: {len(measured_s)} calls ended, too few for a holding time; "
                f"{call_class.holding_time_s:g} s is kept"
            )
        classes.append(call_class)
    streams = []
    sparse_streams = 0
    for (a, b, class_name), calls in sorted(counts.items()):
        sparse_streams += sum(calls) < MIN_CALLS_PER_STREAM
        rates = tuple(round(n / length, 6) for n, length in zip(calls, lengths, strict=True))
        streams.append(Stream(a, b, class_name, rates))
    if sparse_streams:
        notes.append(
            f"{sparse_streams} of {len(streams)} streams have fewer than {MIN_CALLS_PER_STREAM} calls; "
            "their rates are unreliable"
        )
    empty = [w for w in range(count) if not any(calls[w] for calls in counts.values())]
    if empty:
        notes.append(f"no calls at all in the windows {', '.join(map(str, empty))}")
    load = Load(
        tuple(lengths), tuple(classes), tuple(streams), model.redial, model.holding_distribution, tuple(notes)
    )
    return Captured(
        load, total_first, total_redials, count,
        sum(source.malformed for source in parsed.values()), sum(source.missing for source in parsed.values()),
        {name: len(source.records) for name, source in parsed.items()},
    )  # fmt: skip
