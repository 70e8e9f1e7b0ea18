"""Every stored file and every frame on the wire is decoded, and encoded to the committed bytes again.

The fixtures are labelled bytes; only `form_names.py` uses names of the program.
"""

import struct

import form_names as program
import form_samples as samples
import forms
import msgspec
import pytest
from form_links import LinkEnds

ALL_SET, BY_DEFAULT = ", all set", ", by default"
FAMILIES = list(program.MESSAGES)
TORN_ENDS = [b"\xa5", b"\xa5frm\x00\x00\x01\x00half", b"\xa5frm\x00\x00\x00\x01\x00\x00\x00\x00\x90"]
JOURNAL_KINDS = {
    "agreement": {"identity", "hard", "snapshot", "entry", "cut"},
    "repeats": {"claim", "end", "drop"},
    "copies": {"holder", "fence", "claim", "end", "drop"},
    "recovery": {"list", "out", "learned"},
}
# Of 9 sessions: the codes 502 and 503 lead to the same answers, and so do 499 and 504.
DISTINCT_SESSIONS = 7
ADAPTER_ACTIONS = {1, 2, 3, 4, 5, 8, 10, 11}


def cases(*families):
    """Return (family, label) of each committed fixture."""
    return [
        pytest.param(family, label, id=f"{family}: {label}")
        for family in families
        for label in forms.load(family)
    ]


def form(family, label):
    return forms.load(family)[label]


@pytest.mark.parametrize(("family", "label"), cases(*(f"messages-{family}" for family in FAMILIES)))
def test_message_round_trips(family, label):
    message_family, fixture = program.MESSAGES[family.removeprefix("messages-")], form(family, label)
    assert message_family.written(message_family.read(fixture["read"])) == fixture["bytes"]
    assert message_family.written(message_family.read(fixture["bytes"])) == fixture["bytes"]


def wire_form(family, label):
    """Return a message as the plain list that is on the wire."""
    raw = form(f"messages-{family}", label)["bytes"]
    return msgspec.msgpack.decode(raw[len(program.MESSAGES[family].mark) :])


@pytest.mark.parametrize("family", FAMILIES)
def test_each_message_class_has_its_fixtures(family):
    known = program.MESSAGES[family].classes()
    wanted = {f"{tag}{ALL_SET}" for tag in known}
    wanted |= {f"{tag}{BY_DEFAULT}" for tag, message_class in known.items() if optional_fields(message_class)}
    labels = set(forms.load(f"messages-{family}"))
    # A message without optional fields may have a short fixture too, if it holds short records.
    assert wanted <= labels <= {tag + suffix for tag in known for suffix in (ALL_SET, BY_DEFAULT)}
    for label in labels:
        assert wire_form(family, label)[0] == label.rpartition(",")[0]


def optional_fields(message_class):
    """Return {position on the wire: default} of each field that may be missing."""
    out = {}
    for position, field in enumerate(msgspec.structs.fields(message_class), 1):
        if not field.required:
            has_factory = field.default_factory is not msgspec.NODEFAULT
            out[position] = field.default_factory() if has_factory else field.default
    return out


@pytest.mark.parametrize("family", FAMILIES)
def test_full_fixture_sets_each_optional_field_and_short_one_none(family):
    for tag, message_class in program.MESSAGES[family].classes().items():
        full, optional = wire_form(family, f"{tag}{ALL_SET}"), optional_fields(message_class)
        assert len(full) == 1 + len(msgspec.structs.fields(message_class))
        for position, default in optional.items():
            assert full[position] != msgspec.to_builtins(default), (tag, position)
        if optional:
            short = form(f"messages-{family}", f"{tag}{BY_DEFAULT}")["read"]
            plain = msgspec.msgpack.decode(short[len(program.MESSAGES[family].mark) :])
            assert len(plain) == min(optional)


@pytest.mark.parametrize("family", FAMILIES)
def test_message_with_an_unknown_tag_is_rejected(family):
    message_family = program.MESSAGES[family]
    with pytest.raises((msgspec.MsgspecError, ValueError)):
        message_family.read(message_family.mark + msgspec.msgpack.encode(["NoSuchMessage", 1]))


WRAPPERS = {
    "copies: frame": program.COPIES_FRAME,
    "copies: list": program.COPIES_LIST,
    "hello": program.HELLO,
}


@pytest.mark.parametrize(("family", "label"), cases("frames"))
def test_frame_around_messages_round_trips(family, label):
    (wrapper,) = [wrapper for name, wrapper in WRAPPERS.items() if label.startswith(name)]
    fixture = form(family, label)
    assert wrapper.written(wrapper.read(fixture["read"])) == fixture["bytes"]
    assert wrapper.written(wrapper.read(fixture["bytes"])) == fixture["bytes"]


def test_frames_of_copies_hold_each_message_class():
    frame = form("frames", "copies: frame, all messages")["bytes"]
    listed = form("frames", "copies: list, all messages")["bytes"]
    _, messages = msgspec.msgpack.decode(frame[len(program.COPIES_FRAME.mark) :])
    known = set(program.MESSAGES["copies"].classes())
    assert (
        {message[0] for message in messages}
        == {message[0] for message in msgspec.msgpack.decode(listed)}
        == known
    )


def test_first_bytes_distinguish_frames():
    # Raft messages begin with a MessagePack list, and C1 is never used by MessagePack: alone it marks the
    # frames of replicas, followed by R recovery messages.
    assert (program.COPIES_FRAME.mark, program.MESSAGES["recovery"].mark) == (b"\xc1", b"\xc1R")
    for forms_of in (forms.load("messages-agreement"), forms.load("frames")):
        for label, fixture in forms_of.items():
            assert (fixture["bytes"][:1] == b"\xc1") == label.startswith("copies: frame")
    assert all(fixture["bytes"][1:2] != b"R" for fixture in forms.load("frames").values())


@pytest.fixture
def link_ends():
    ends = LinkEnds(*samples.LINK_WHO)
    yield ends
    ends.close()


def test_link_sends_the_committed_bytes(link_ends):
    stream = form("link", "stream")["bytes"]
    assert link_ends.sends(samples.LINK_CONTENTS, len(stream)) == stream


def test_link_receives_the_committed_bytes_and_acknowledges_each_frame():
    stream, receiver = form("link", "stream")["bytes"], LinkEnds("fleet-1", "n1", "life-n1")
    try:
        received, acknowledgements = receiver.receives(stream, len(samples.LINK_CONTENTS))
    finally:
        receiver.close()
    assert received == [("n0", "life-n0", content) for content in samples.LINK_CONTENTS]
    assert acknowledgements == b"." * len(samples.LINK_CONTENTS)


# Journals


def open_and_close(directory, name, raw):
    """Open a journal of these bytes; return its bytes afterwards and its compacted records."""
    directory.mkdir(exist_ok=True)
    (directory / name).write_bytes(raw)
    kept = program.JOURNALS[name]()
    journal = program.open_journal(directory, name, samples.JOURNAL_OWNERS[name], kept)
    program.close_journal(journal)
    return (directory / name).read_bytes(), program.compacted_records(kept)


def frame_contents(raw):
    """Return (frame, content) of each frame of a journal, beginning with its head."""
    at, out = len(program.JOURNAL_MAGIC), []
    assert raw.startswith(b"mastledge journal\n")
    assert program.JOURNAL_MAGIC == b"mastledge journal\n"
    while at < len(raw):
        content = program.whole_frame(raw, at)
        assert content is not None
        out.append((raw[at : at + program.JOURNAL_FRAME_HEAD.size + len(content)], content))
        at += program.JOURNAL_FRAME_HEAD.size + len(content)
    return out


@pytest.mark.parametrize("name", program.JOURNALS)
@pytest.mark.parametrize("suffix", ["", ", written anew"])
def test_each_frame_of_a_journal_round_trips(name, suffix):
    raw = form("journals", name + suffix)["bytes"]
    (head, _), *frames = frame_contents(raw)
    assert program.journal_head(samples.JOURNAL_OWNERS[name]) == program.JOURNAL_MAGIC + head
    for frame, content in frames:
        assert program.frame_of_records(program.records_of_content(content)) == frame


@pytest.mark.parametrize("name", program.JOURNALS)
def test_journal_fixture_has_each_kind_of_record(name):
    _, *frames = frame_contents(form("journals", name)["bytes"])
    assert {
        record[0] for _, content in frames for record in msgspec.msgpack.decode(content)
    } == JOURNAL_KINDS[name]


@pytest.mark.parametrize("name", program.JOURNALS)
def test_opening_a_journal_leaves_it_unchanged(name, tmp_path):
    raw = form("journals", name)["bytes"]
    assert open_and_close(tmp_path, name, raw)[0] == raw


@pytest.mark.parametrize("name", program.JOURNALS)
def test_compacted_journal_has_the_committed_bytes(name, tmp_path):
    compacted = form("journals", f"{name}, written anew")["bytes"]
    assert forms.rewritten_journal(tmp_path, name, form("journals", name)["bytes"]) == compacted
    assert forms.rewritten_journal(tmp_path, name, compacted) == compacted


@pytest.mark.parametrize("name", program.JOURNALS)
@pytest.mark.parametrize("torn", TORN_ENDS, ids=["a byte", "half a frame", "a spoilt frame"])
def test_torn_end_of_a_journal_is_truncated(name, torn, tmp_path):
    raw = form("journals", name)["bytes"]
    after, records = open_and_close(tmp_path / "torn", name, raw + torn)
    whole, expected = open_and_close(tmp_path / "whole", name, raw)
    assert after == whole == raw
    assert program.frame_of_records(records) == program.frame_of_records(expected)


@pytest.mark.parametrize("name", program.JOURNALS)
def test_journal_cut_in_its_last_frame_keeps_earlier_frames(name, tmp_path):
    raw = form("journals", name)["bytes"]
    last, _ = frame_contents(raw)[-1]
    after, _ = open_and_close(tmp_path, name, raw[:-1])
    assert after == raw[: -len(last)]


def test_member_writes_the_committed_records():
    written = program.frame_of_records(program.records_of_member(samples.STATE, forms.heard_by_member()))
    fixture = form("journal-records", "agreement: a member")["bytes"]
    assert written == fixture
    assert {record[0] for record in msgspec.msgpack.decode(fixture[12:])} == JOURNAL_KINDS["agreement"]


@pytest.mark.parametrize(("label", "claim"), [("repeats: a book", ""), ("copies: a book", "1.run-1.n0")])
def test_key_table_writes_the_committed_records(label, claim):
    written = program.frame_of_records(program.records_of_key_table(program.new_key_table(), claim))
    fixture = form("journal-records", label)["bytes"]
    assert written == fixture
    assert {record[0] for record in msgspec.msgpack.decode(fixture[12:])} == JOURNAL_KINDS["repeats"]


def test_replica_writes_the_committed_records():
    fixture = form("journal-records", "copies: a holder")["bytes"]
    assert forms.frame_of_replica() == fixture
    assert {record[0] for record in msgspec.msgpack.decode(fixture[12:])} == JOURNAL_KINDS["copies"]


def test_recovery_writes_the_committed_records():
    fixture = form("journal-records", "recovery: a dispatcher")["bytes"]
    assert forms.frame_of_start() == fixture
    assert {record[0] for record in msgspec.msgpack.decode(fixture[12:])} == JOURNAL_KINDS["recovery"]


@pytest.mark.parametrize(
    "label", ["agreement: a member", "repeats: a book", "copies: a holder", "recovery: a dispatcher"]
)
def test_written_records_are_loaded_at_the_next_start(label, tmp_path):
    name, frame = label.partition(":")[0], form("journal-records", label)["bytes"]
    raw = program.journal_head(samples.JOURNAL_OWNERS[name]) + frame
    after, records = open_and_close(tmp_path, name, raw)
    assert after == raw
    assert records


# Documents, and files between sibling processes


@pytest.mark.parametrize(("family", "label"), cases("snapshots"))
def test_fleet_snapshot_round_trips(family, label):
    raw = form(family, label)["bytes"]
    assert program.fleet_snapshot_again(raw) == raw


def test_fleet_snapshot_has_the_committed_bytes():
    assert forms.snapshots_of() == {
        label: {"bytes": fixture["bytes"]} for label, fixture in forms.load("snapshots").items()
    }


FILES = {
    "state": (program.HANDOVER_STATE, program.read_handover_state, program.write_handover_state),
    "learned": (program.HANDOVER_LEARNED, program.read_handover_learned, program.write_handover_learned),
    "said": ("said", program.read_said, program.write_said),
    "taken": ("taken", program.read_taken, program.write_taken),
}


@pytest.mark.parametrize("label", FILES)
def test_file_between_sibling_processes_round_trips(label, tmp_path):
    raw, (name, read, write) = form("handover", label)["bytes"], FILES[label]
    read_directory, written_directory = tmp_path / "there", tmp_path / "back"
    read_directory.mkdir()
    (read_directory / name).write_bytes(raw)
    # `taken` is read by the other process only, so its reader must have another process id.
    process, clock = forms.patched_process()
    with clock:
        if label == "taken":
            content = read(read_directory)
            assert content == {"from": samples.PROCESS, "index": samples.TAKEN["index"]}
        else:
            with process:
                content = read(read_directory)
    assert content
    assert forms.by_file(written_directory, name, write, content) == raw


def test_state_shared_with_the_sibling_process_has_the_committed_bytes(tmp_path):
    content = {**samples.SAID, "state": program.shared_fleet_state(samples.STATE)}
    raw = form("handover", "said by a fleet")["bytes"]
    assert forms.by_file(tmp_path, "said", program.write_said, content) == raw


def test_learned_values_round_trip(tmp_path):
    raw = form("handover", "learned by decisions")["bytes"]
    name, write = program.HANDOVER_LEARNED, program.write_handover_learned
    assert forms.by_file(tmp_path / "there", name, write, program.learned_of_decisions()) == raw
    _, clock = forms.patched_process()
    with clock:
        learned = program.read_handover_learned(tmp_path / "there")
    assert forms.by_file(tmp_path / "back", name, write, program.learned_again(learned)) == raw


@pytest.mark.parametrize("job", samples.JOBS)
def test_handed_off_job_round_trips(job, tmp_path):
    raw = form("handover", f"datagram: {job}")["bytes"]
    taken_job = program.take_over_job(raw)
    assert taken_job == samples.JOBS[job]
    assert program.hand_off_job(tmp_path, taken_job) == raw


def test_offered_job_round_trips():
    raw = {label: fixture["bytes"] for label, fixture in forms.load("offers").items()}
    job = program.read_offer_messages(raw["offer"], raw["release"])
    sample = samples.JOBS["a job in the midst of its answer"]
    assert sample == {**job, "rest": sample["rest"]}
    written = program.offer_messages(job)
    assert {label: fixture["bytes"] for label, fixture in written.items()} == raw


def test_each_file_and_datagram_between_sibling_processes_has_its_test():
    assert set(forms.load("handover")) == {
        *FILES,
        "learned by decisions",
        "said by a fleet",
        *(f"datagram: {job}" for job in samples.JOBS),
    }


# Load messages and the adapter


@pytest.mark.parametrize("label", samples.BALANCE_MESSAGES)
def test_load_message_round_trips(label):
    raw = form("balance-messages", label)["bytes"]
    assert program.load_message(*samples.BALANCE_MESSAGES[label]) == raw
    assert program.reencoded_load_message(raw) == raw


@pytest.mark.parametrize(("family", "label"), cases("adapter"))
def test_adapter_answers_a_session_with_the_committed_bytes(family, label):
    fixture = form(family, label)
    assert forms.adapter_answers(fixture["read"]) == fixture["bytes"]


def test_each_outcome_has_a_session_and_seven_results_differ():
    assert set(program.ENDINGS) == set(samples.ENDING_CODES)
    sessions = {label: fixture["bytes"] for label, fixture in forms.load("adapter").items()}
    assert set(sessions) == {"session", *(f"ending {code}" for code in samples.ENDING_CODES)}
    assert len(set(sessions.values())) == DISTINCT_SESSIONS


def test_session_covers_each_kind_of_event_and_answer():
    fixture = form("adapter", "session")
    events = {code for _, records, _ in program.event_frames(fixture["read"]) for code, *_ in records}
    assert events == set(program.EVENT_LAYOUTS)
    assert len(events) == 12
    answers = {
        struct.unpack(">H", record[:2])[0]
        for records, _ in forms.answers_of(fixture["bytes"])
        for record in records
    }
    assert answers == set(program.ACTION_LAYOUTS) == ADAPTER_ACTIONS


def test_each_frame_of_the_session_round_trips():
    raw = form("adapter", "session")["read"]
    encoded = [
        samples.event_frame(clock, records, tail) for clock, records, tail in program.event_frames(raw)
    ]
    assert b"".join(encoded) == raw


def test_each_answer_of_the_session_round_trips():
    raw = form("adapter", "session")["bytes"]
    assert b"".join(program.answer_of(records, tail) for records, tail in forms.answers_of(raw)) == raw


@pytest.mark.parametrize("code", ADAPTER_ACTIONS)
def test_each_record_of_an_answer_round_trips(code):
    pack = program.ACTION_LAYOUTS[code]
    layout = pack.__self__
    for records, _ in forms.answers_of(form("adapter", "session")["bytes"]):
        for record in records:
            if record[:2] == struct.pack(">H", code):
                assert len(record) == program.ACTION_BYTES
                assert pack(*layout.unpack(record)) == record


# The fixtures themselves


def test_every_fixture_file_is_used():
    used = {f"messages-{family}" for family in FAMILIES} | {
        "frames",
        "link",
        "journals",
        "journal-records",
        "snapshots",
        "handover",
        "offers",
        "balance-messages",
        "adapter",
    }
    assert {path.stem for path in forms.FIXTURES.iterdir()} == used


def test_existing_fixture_is_not_replaced(tmp_path, monkeypatch, capsys):
    monkeypatch.setattr(forms, "FIXTURES", tmp_path)
    monkeypatch.setattr(forms, "everything", lambda directory: {"one": {"label": {"bytes": b"new"}}})
    (tmp_path / "one.json").write_text("{}")
    forms.write_missing(tmp_path)
    assert (tmp_path / "one.json").read_text() == "{}"
    assert "stays" in capsys.readouterr().out
