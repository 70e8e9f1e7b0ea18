"""Create and load the fixtures of the stored files and of the frames on the wire, as labelled bytes.

`python tests/forms.py` writes missing fixtures to `tests/fixtures/forms` and never replaces one.
`test_stored_and_wire_forms.py` compares the program with the fixtures and writes none.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from unittest import mock

import msgspec

ROOT = Path(__file__).resolve().parent.parent
if str(ROOT) not in sys.path:
    sys.path.insert(0, str(ROOT))

import form_names as program  # noqa: E402 - the path is set first
import form_samples as samples  # noqa: E402 - the path is set first

FIXTURES = ROOT / "tests" / "fixtures" / "forms"


def adapter_answers(session):
    """Return what the adapter writes to standard output for these frames on standard input."""
    adapter = subprocess.run(
        [sys.executable, "-m", program.ADAPTER_MODULE],
        input=session,
        capture_output=True,
        timeout=60,
        cwd=ROOT,
    )
    assert adapter.returncode == 0, adapter.stderr.decode()
    return adapter.stdout


def answers_of(raw):
    """Return (records, tail) of each answer."""
    out, at = [], 0
    while at < len(raw):
        count, length = program.ANSWER_HEAD.unpack_from(raw, at)
        body = raw[at + program.ANSWER_HEAD.size : at + length]
        records = [body[n * program.ACTION_BYTES : (n + 1) * program.ACTION_BYTES] for n in range(count)]
        out.append((records, body[count * program.ACTION_BYTES :]))
        at += length
    return out


def pack(plain):
    return msgspec.msgpack.encode(plain)


def patched_process():
    """Return patches that set the process id and the monotonic clock to the values of the samples."""
    return (
        mock.patch.object(os, "getpid", return_value=samples.PROCESS),
        mock.patch.object(time, "monotonic_ns", return_value=samples.MONOTONIC_NS),
    )


def patched_time():
    """Return a patch that sets the Unix time to the value of the samples."""
    return mock.patch.object(time, "time_ns", return_value=program.JOURNAL_NOW * 1_000)


def frame_of_start():
    """Return the frame of records that a dispatcher stores for its next start."""
    _, clock = patched_process()
    with clock, patched_time():
        return program.frame_of_records(program.records_of_start())


def frame_of_replica():
    """Return the frame of records that a replica stores of the messages on keys."""
    fingerprint = b"\x01" * 16
    messages = [
        ["Claim", n, 3, "t", b"key-%d" % n, fingerprint, f"{n}.run-1.n1", 9_000_000] for n in range(3)
    ]
    messages.append(["End", 5, 3, "t", b"key-1", fingerprint, "1.run-1.n1", True, 200, b"content", 9_000_000])
    messages.append(["Drop", 6, "t", b"key-2", "2.run-1.n1"])
    received = [("n1", "holder-1", pack(message)) for message in messages]
    # A new replica scans for its keys, after which messages of earlier placements are refused.
    received.append(("n2", "holder-2", pack(["Scan", 3, 0])))
    return program.frame_of_records(program.records_of_replica(samples.STATE["copies"], received))


def by_file(directory, name, write, content):
    """Return what `write` leaves in the file of this name."""
    directory.mkdir(parents=True, exist_ok=True)
    process, clock = patched_process()
    with process, clock:
        write(directory, content)
    return (directory / name).read_bytes()


def messages_of(family):
    """Return {label: {"bytes", "read"}}; `read` is the shorter form of an older version."""
    message_family, out = program.MESSAGES[family], {}
    for full, required in samples.SAMPLES[family]:
        label = f"{full[0]}, all set"
        out[label] = {"bytes": message_family.written(message_family.read(message_family.mark + pack(full)))}
        if required is not None:
            short = message_family.mark + pack(required)
            out[f"{full[0]}, by default"] = {
                "bytes": message_family.written(message_family.read(short)),
                "read": short,
            }
    return out


def frames_of():
    """Return frames, lists and hellos that hold messages."""
    copies = [full for full, _ in samples.SAMPLES["copies"]]
    frame = program.COPIES_FRAME.mark + pack(["holder-0", copies])
    empty = program.COPIES_FRAME.mark + pack(["", []])
    hello = pack([*samples.OLD_HELLO, 2])
    return {
        "copies: frame, all messages": {
            "bytes": program.COPIES_FRAME.written(program.COPIES_FRAME.read(frame))
        },
        "copies: frame, nothing": {"bytes": program.COPIES_FRAME.written(program.COPIES_FRAME.read(empty))},
        "copies: list, all messages": {
            "bytes": program.COPIES_LIST.written(program.COPIES_LIST.read(pack(copies)))
        },
        "hello: all set": {"bytes": program.HELLO.written(program.HELLO.read(hello))},
        "hello: by default": {
            "bytes": program.HELLO.written(program.HELLO.read(pack(samples.OLD_HELLO))),
            "read": pack(samples.OLD_HELLO),
        },
    }


def link_stream():
    """Return the bytes that a link sends: its hello, then frames."""
    hello = program.frame_on_link(program.HELLO.written(program.HELLO.read(pack(samples.OLD_HELLO))))
    return hello + b"".join(program.frame_on_link(content) for content in samples.LINK_CONTENTS)


def journal_file(name):
    head = program.journal_head(samples.JOURNAL_OWNERS[name])
    return head + b"".join(program.frame_of_records(records) for records in samples.JOURNAL_FRAMES[name])


def rewritten_journal(directory, name, raw):
    """Return the journal with these bytes after it was loaded and compacted."""
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / name
    path.write_bytes(raw)
    kept = program.JOURNALS[name]()
    opened = program.open_journal(directory, name, samples.JOURNAL_OWNERS[name], kept)
    try:
        opened.rewrite(program.compacted_records(kept))
    finally:
        program.close_journal(opened)
    return path.read_bytes()


def heard_by_member():
    """Return messages that make a raft member write each kind of its records."""
    longer = [*samples.SAMPLES["agreement"][5][0][:1], 8, 1, 1, [samples.NOOP, samples.ENTRY], 1, 5, 0, 1, 0]
    other = ["Append", 9, 2, 3, [[9, "c", {"kind": "noop"}]], 1, 6, 0, 1, 0]
    poll = ["Poll", 10, 9, 3, False]
    install = ["Install", 10, 9, 9, samples.STATE, 7]
    return [pack(message) for message in (longer, other, poll, install)]


def produced():
    """Return a frame of records as the program writes it to a journal, for each source."""
    return {
        "agreement: a member": {
            "bytes": program.frame_of_records(program.records_of_member(samples.STATE, heard_by_member()))
        },
        "copies: a holder": {"bytes": frame_of_replica()},
        "recovery: a dispatcher": {"bytes": frame_of_start()},
        "repeats: a book": {
            "bytes": program.frame_of_records(program.records_of_key_table(program.new_key_table(), ""))
        },
        "copies: a book": {
            "bytes": program.frame_of_records(
                program.records_of_key_table(program.new_key_table(), "1.run-1.n0")
            )
        },
    }


def handed_over(directory):
    """Return the files and datagrams that pass between two sibling processes."""
    out = {
        "state": by_file(directory, program.HANDOVER_STATE, program.write_handover_state, samples.HANDOVER),
        "learned": by_file(
            directory, program.HANDOVER_LEARNED, program.write_handover_learned, samples.LEARNED
        ),
        "learned by decisions": by_file(
            directory,
            program.HANDOVER_LEARNED,
            program.write_handover_learned,
            program.learned_of_decisions(),
        ),
        "said by a fleet": by_file(
            directory,
            "said",
            program.write_said,
            {**samples.SAID, "state": program.shared_fleet_state(samples.STATE)},
        ),
        "said": by_file(directory, "said", program.write_said, samples.SAID),
        "taken": by_file(directory, "taken", program.write_taken, samples.TAKEN),
    }
    out.update(
        {f"datagram: {label}": program.hand_off_job(directory, job) for label, job in samples.JOBS.items()}
    )
    return {label: {"bytes": raw} for label, raw in out.items()}


def snapshots_of():
    state = program.state_of_new_fleet({"balancers": 1}, 1_000_000, {"n0": ("127.0.0.1:7000", "life-n0")})
    return {
        "all set": {"bytes": program.fleet_snapshot(samples.STATE, "fleet-1", "n0", program.JOURNAL_NOW)},
        "as formed": {"bytes": program.fleet_snapshot(state, "fleet-1", "n0", 0)},
    }


def adapter_sessions():
    sessions = {"session": samples.adapter_session()}
    sessions.update({f"ending {code}": samples.ending_session(code) for code in samples.ENDING_CODES})
    return {label: {"read": raw, "bytes": adapter_answers(raw)} for label, raw in sessions.items()}


def everything(directory):
    """Return {family: {label: {"bytes", "read"}}} as the present program produces them."""
    journals = {}
    for name in program.JOURNALS:
        raw = journal_file(name)
        journals[name] = {"bytes": raw}
        journals[f"{name}, written anew"] = {"bytes": rewritten_journal(directory / "journals", name, raw)}
    return {
        **{f"messages-{family}": messages_of(family) for family in program.MESSAGES},
        "frames": frames_of(),
        "link": {"stream": {"bytes": link_stream()}},
        "journals": journals,
        "journal-records": produced(),
        "snapshots": snapshots_of(),
        "handover": handed_over(directory / "handover"),
        "offers": program.offer_messages(samples.JOBS["a job in the midst of its answer"]),
        "balance-messages": {
            label: {"bytes": program.load_message(*message)}
            for label, message in samples.BALANCE_MESSAGES.items()
        },
        "adapter": adapter_sessions(),
    }


def load(family):
    """Return {label: {"bytes", "read"}} of a committed fixture; a missing `read` equals `bytes`."""
    document = json.loads((FIXTURES / f"{family}.json").read_text())
    out = {}
    for label, forms in document.items():
        forms = {name: bytes.fromhex("".join(lines)) for name, lines in forms.items()}
        out[label] = {"read": forms["bytes"], **forms}
    return out


HEX_DIGITS_PER_LINE = 100


def lines_of(raw):
    text = raw.hex()
    return [text[at : at + HEX_DIGITS_PER_LINE] for at in range(0, len(text), HEX_DIGITS_PER_LINE)]


def write_missing(directory):
    """Write the missing fixtures."""
    FIXTURES.mkdir(parents=True, exist_ok=True)
    for family, labelled_forms in everything(Path(directory)).items():
        path = FIXTURES / f"{family}.json"
        if path.exists():
            print(f"{path.name} exists and stays")
            continue
        plain = {
            label: {name: lines_of(raw) for name, raw in forms.items()}
            for label, forms in labelled_forms.items()
        }
        path.write_text(json.dumps(plain, indent=1) + "\n")
        print(f"{path.name} was written")


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as directory:
        write_missing(directory)
