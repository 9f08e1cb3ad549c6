"""Tests that a module imports only from its own layer and from lower layers."""

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
    """Return the top-level part of the package that contains a module."""
    return (dotted.split(".") + [""])[1]


def imports(path: Path) -> Iterator[str]:
    """Yield the modules of the package that a source file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.ImportFrom(module=str(module), level=0):
                yield from [module] if module.startswith("monsoongap") else []
            case ast.Import(names=aliases):
                yield from (a.name for a in aliases if a.name.startswith("monsoongap"))


def violations(root: Path) -> Iterator[str]:
    """Yield each import from a higher layer or from another program."""
    for path in sorted(root.rglob("*.py")):
        module = ".".join((root.name, *path.relative_to(root).with_suffix("").parts))
        part = part_of(module)
        part = "" if part == "__init__" else part
        for imported in imports(path):
            imported_part = part_of(imported)
            is_higher_layer = RANKS[imported_part] < RANKS[part]
            is_other_program = (
                part in PROGRAMS and imported_part in PROGRAMS and part != imported_part
            )
            if is_higher_layer or (
                is_other_program and (part, imported_part) != ("load", "standin")
            ):
                yield f"{module} imports {imported}"


def test_no_import_from_a_higher_layer() -> None:
    assert list(violations(PACKAGE)) == []


def test_import_from_a_higher_layer_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "monsoongap" / "state" / "directory.py"
    path.parent.mkdir(parents=True)
    path.write_text("from monsoongap.transport.http_client import HttpClient\n")
    assert list(violations(tmp_path / "monsoongap")) == [
        "monsoongap.state.directory imports monsoongap.transport.http_client"
    ]
