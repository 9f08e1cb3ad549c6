"""Tests of the replay: schema, bounds, and equal trees on every replica."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from monsoongap.protocol.messages import LogRecord
from monsoongap.protocol.tree import Change, Decision, Entry, Snapshot, Verdict
from monsoongap.state.tree import (
    RECENT_VERDICTS,
    Tree,
    advance,
    decide,
    encode_record,
    load_snapshot,
    take_snapshot,
    tree_digest,
)
from monsoongap.state.tree_schema import parse_root, parse_team
from monsoongap.state.tree_schema import team_in_force as clamp
from tests.coordination.tree_world import change

HASH = "sha256:" + "0f" * 32


def replay(records: list[str], tree: Tree | None = None) -> list[Tree]:
    """Return the tree after each record, from the tree's own offset on."""
    trees = [tree or Tree()]
    for offset in range(trees[0].offset, len(records)):
        trees.append(advance(trees[-1], LogRecord(offset, records[offset])).tree)
    return trees


def accept(tree: Tree, item: Change) -> Tree:
    step = advance(tree, LogRecord(tree.offset, encode_record(item)))
    assert step.verdict is not None and step.verdict.accepted
    return step.tree


@pytest.mark.parametrize(
    ("subtree", "values", "faulty"),
    [
        ("teams/a", {"quota_slots": "-1", "max_tasks": "x", "speed": "9"}, 3),
        ("teams/a", {"max_deadline_ms": "0", "token_hashes": "secret-token"}, 2),
        ("teams/a", {"token_hashes": "sha256:" + "0F" * 32}, 1),
        ("root", {"quota_slots": "1", "operator_hashes": HASH + "\n"}, 1),
        ("teams/a", {"operator_hashes": f"anna={HASH}, {HASH}"}, 0),
        ("teams/a", {"token_hashes": ""}, 0),
        ("teams/a", {}, 1),
    ],
)
def test_every_fault_of_a_change_is_listed_and_none_repeats_a_secret(
    subtree: str, values: dict[str, str], faulty: int
) -> None:
    verdict = decide(Tree(), change(1, subtree, **values), 0)
    assert len(verdict.faults) == faulty
    assert verdict.accepted == (faulty == 0)
    assert "secret-token" not in repr(verdict)
    for key in values if faulty > 1 else ():
        assert any(fault.startswith(f"{key}:") for fault in verdict.faults)


def test_parent_bounds_its_children_and_no_child_holds_up_its_parent() -> None:
    tree = accept(Tree(), change(1, "root", max_team_quota_slots=100))
    beyond = change(2, "teams/a", quota_slots=101, max_tasks=20_000)
    verdict = decide(tree, beyond, 1)
    assert verdict.decision is Decision.INVALID
    assert verdict.faults == (
        "quota_slots: 101 is beyond the bound 100 that max_team_quota_slots of root"
        " sets",
    )
    hashes = f" {HASH},,a={HASH} "
    wanted = change(3, "teams/a", quota_slots=100, max_tasks=20_000)
    wanted = replace(wanted, set=(*wanted.set, Entry("token_hashes", hashes)))
    tree = accept(tree, wanted)
    canonical = Entry("token_hashes", f"{HASH}, a={HASH}")
    assert tree.subtree("teams/a").values[2] == canonical
    tree = accept(tree, change(4, "root", 1, max_team_quota_slots=50, max_team_tasks=7))
    root = parse_root(tree.subtree("root").values)
    own = parse_team("teams/a", tree.subtree("teams/a").values)
    bounded = clamp(own, root)
    assert (bounded.quota_slots, bounded.max_tasks) == (50, 7)
    tree = accept(tree, change(5, "teams/a", 1, unset=("quota_slots", "max_tasks")))
    assert tree.subtree("teams/a").values == (canonical,)


def test_an_old_change_id_is_forgotten_and_still_not_applied_twice() -> None:
    first = change("first", "teams/a", 0, quota_slots=1)
    tree = accept(Tree(), first)
    for number in range(RECENT_VERDICTS):
        tree = accept(tree, change(number, "teams/b", number, quota_slots=number))
    assert len(tree.recent) == RECENT_VERDICTS
    assert tree.verdict(first.id) is None
    again = advance(tree, LogRecord(tree.offset, encode_record(first)))
    assert again.verdict is not None
    assert again.verdict.decision is Decision.STALE
    assert again.tree.subtree("teams/a") == tree.subtree("teams/a")


records = st.one_of(
    st.builds(
        lambda number, team, base, value: ("change", number, team, base, value),
        st.integers(0, 12),
        st.sampled_from(["root", "teams/a", "teams/b"]),
        st.integers(0, 4),
        st.integers(0, 3),
    ),
    st.tuples(st.just("snapshot"), st.integers(0, 6)),
    st.tuples(st.just("noise"), st.text(max_size=20)),
)


def build(plan: list[tuple]) -> list[str]:
    """Turn a plan into log records; snapshots state an offset that is past."""
    built: list[str] = []
    for item in plan:
        match item:
            case ("change", number, subtree, base, value):
                key = "max_team_tasks" if subtree == "root" else "max_tasks"
                made = change(number, subtree, base, **{key: value})
                built.append(encode_record(made))
            case ("snapshot", back):
                trees = replay(built)
                held = trees[max(0, len(trees) - 1 - back)]
                built.append(encode_record(take_snapshot(held)))
            case ("noise", text):
                built.append(text)
    return built


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(records, max_size=25))
def test_replicas_agree_wherever_they_start_and_nothing_reverts(plan: list) -> None:
    built = build(plan)
    trees = replay(built)
    accepted: list[Verdict] = []
    for offset, data in enumerate(built):
        step = advance(trees[offset], LogRecord(offset, data))
        if step.verdict is not None and step.verdict.accepted and not step.duplicate:
            accepted.append(step.verdict)
        if isinstance(step.snapshot, Snapshot):
            started = load_snapshot(step.snapshot)
            resumed = replay(built, started)
            assert list(map(tree_digest, resumed)) == list(
                map(tree_digest, trees[started.offset :])
            )
    assert len({verdict.change for verdict in accepted}) == len(accepted)
    for before, after in zip(trees, trees[1:], strict=False):
        for name, subtree in before.subtrees.items():
            kept = after.subtree(name)
            assert kept == subtree or kept.revision == subtree.revision + 1
    for name, subtree in trees[-1].subtrees.items():
        mine = [verdict for verdict in accepted if verdict.subtree == name]
        assert subtree.revision == len(mine)
        assert subtree.change == mine[-1].change
