"""Guards against a leaf process that fails to start or mixes up the leaves that it serves."""

import json
import urllib.request

from filbertreach_standins import StandInProcess


def test_two_leaves_in_one_process_answer_for_their_own_shards():
    leaves = ["leaf_id=a shards=s-0 versions=41,42", "leaf_id=b shards=s-1 versions=42"]
    arguments = [part for leaf in leaves for part in ("--leaf", leaf)]
    with StandInProcess(module="leaf", arguments=arguments) as process:
        answers = []
        for control, shard in zip(process.controls, ["s-0", "s-1"], strict=True):
            headers = {"x-call-id": "c", "x-shard": shard, "x-index-version": "42"}
            request = urllib.request.Request(
                f"{control.base_url}/v1/search", b'{"rows": 2}', headers, method="POST"
            )
            with urllib.request.urlopen(request, timeout=10) as response:
                answers.append(json.load(response))
        ids = [control.id for control in process.controls]
        started = [control.counters()["by_call_id"]["c"]["started"] for control in process.controls]
    assert ids == ["a", "b"]
    assert [answer["shard"] for answer in answers] == ["s-0", "s-1"]
    assert [[row["id"] for row in answer["rows"]] for answer in answers] == [
        ["s-0-0", "s-0-1"],
        ["s-1-0", "s-1-1"],
    ]
    assert started == [1, 1]
