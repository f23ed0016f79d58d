"""`logs explain` finds the cause of a request's end in recorded log lines of hosts."""

import json
from pathlib import Path

import pytest

from sardinequay_cli.errors import EXIT_FINDINGS, EXIT_USAGE
from sardinequay_cli.main import main

RECORDED = Path(__file__).parent / "recorded" / "host.log"
REFUSED = "55a06241d5dae4d8"
TIMED_OUT = "ab7e580bb4a22c9e"
BROKEN_OFF = "df6d910da8914e87"
LIMITED = "r148"


def explain(capsys: pytest.CaptureFixture[str], request_id: str) -> list[dict]:
    assert main(["--json", "logs", "explain", request_id, str(RECORDED)]) == 0
    return json.loads(capsys.readouterr().out)["lines"]


def test_refused_request_shows_the_expected_wait_for_its_adapter(capsys) -> None:
    lines = explain(capsys, REFUSED)
    asked = next(x for x in lines if x["event"] == "waited for adapter")
    assert not asked["ready"]
    assert asked["expected_s"] > 1
    end = lines[-1]
    assert (end["event"], end["result"]) == ("refused", "503")
    assert end["detail"].startswith("overloaded, not_run")


def test_timed_out_request_shows_the_silent_target(capsys) -> None:
    lines = explain(capsys, TIMED_OUT)
    sent = next(x for x in lines if x["event"] == "target chosen")
    failed = next(x for x in lines if x["event"] == "attempt failed")
    assert failed["target"] == sent["target"]
    assert failed["detail"].startswith("silent for")
    assert lines[-1]["detail"].startswith("target_failed, unknown")


def test_broken_stream_shows_the_engine_that_broke_it(capsys) -> None:
    lines = explain(capsys, BROKEN_OFF)
    order = next(x for x in lines if x["event"] == "order")
    failed = next(x for x in lines if x["event"] == "attempt failed")
    assert order["target"] == failed["target"]
    assert failed["end"] == "broken_off"
    assert lines[-1]["event"] == "cut off"


def test_request_refused_for_a_rate_limit_shows_who_stated_it_and_the_permits(
    capsys,
) -> None:
    lines = explain(capsys, LIMITED)
    stated = [x for x in lines if x["event"] == "target limit"]
    asked = [x for x in lines if x["event"] == "send permit"]
    assert {x["target"] for x in asked} <= {x["target"] for x in stated}
    assert {"result", "limit_per_s", "limit_age_s"} <= set(asked[-1])
    assert asked[-1]["result"] == "denied"
    assert lines[-1]["detail"].startswith("target_limited, not_run")


def test_chosen_targets_are_logged_with_inputs_and_their_age(capsys) -> None:
    for request_id in (TIMED_OUT, BROKEN_OFF):
        chosen = [
            x for x in explain(capsys, request_id) if x["event"] == "target chosen"
        ]
        assert all({"revision", "store_age_s", "options"} <= set(x) for x in chosen)


def test_unknown_request_is_a_finding(capsys) -> None:
    assert main(["logs", "explain", "nobody", str(RECORDED)]) == EXIT_FINDINGS
    assert "no log line mentions" in capsys.readouterr().out


def test_missing_file_is_a_usage_error(capsys, tmp_path: Path) -> None:
    assert main(["logs", "explain", "x", str(tmp_path / "none")]) == EXIT_USAGE


def test_lines_that_are_not_log_lines_are_ignored(capsys, tmp_path: Path) -> None:
    path = tmp_path / "mixed"
    path.write_text(
        f"noise\n{{broken\n 3.2 h1 {RECORDED.read_text().splitlines()[0]}\n"
    )
    assert main(["logs", "explain", "x", str(path)]) == EXIT_FINDINGS
