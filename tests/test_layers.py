"""Tests that imports go downwards only, from programs to transport to state."""

import ast
from collections.abc import Iterator
from pathlib import Path

import monsoongap

PACKAGE = Path(monsoongap.__file__).parent
LAYERS = (
    ("entry", "cli", "load", "standin"),
    ("daemon",),
    ("platform",),
    ("transport",),
    ("coordination", "metrics"),
    ("state",),
    ("protocol",),
    ("logs", "settings", "errors", "timers", "util", ""),
)
RANKS = {part: rank for rank, parts in enumerate(LAYERS) for part in parts}
PROGRAMS = LAYERS[0]


def part_of(dotted: str) -> str:
    """Return the part of the package that a dotted module name lies in."""
    return (dotted.split(".") + [""])[1]


def imports(path: Path) -> Iterator[str]:
    """Yield the package's modules that a source file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.ImportFrom(module=str(module), level=0):
                yield from [module] if module.startswith("monsoongap") else []
            case ast.Import(names=names):
                yield from (n.name for n in names if n.name.startswith("monsoongap"))


def violations(root: Path) -> Iterator[str]:
    """Yield each import that goes upwards or from one program to another."""
    for path in sorted(root.rglob("*.py")):
        inside = ".".join((root.name, *path.relative_to(root).with_suffix("").parts))
        part = part_of(inside)
        part = "" if part == "__init__" else part
        for target in imports(path):
            other = part_of(target)
            upwards = RANKS[other] < RANKS[part]
            sideways = part in PROGRAMS and other in PROGRAMS and part != other
            if upwards or (sideways and (part, other) != ("load", "standin")):
                yield f"{inside} imports {target}"


def test_imports_go_downwards_only() -> None:
    assert list(violations(PACKAGE)) == []


def test_an_upward_import_is_found(tmp_path: Path) -> None:
    module = tmp_path / "monsoongap" / "state" / "directory.py"
    module.parent.mkdir(parents=True)
    module.write_text("from monsoongap.transport.http_client import HttpClient\n")
    assert list(violations(tmp_path / "monsoongap")) == [
        "monsoongap.state.directory imports monsoongap.transport.http_client"
    ]
