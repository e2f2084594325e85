"""The pages agree with the repository: links, code blocks, commands and names."""

from ast import PyCF_ALLOW_TOP_LEVEL_AWAIT
from importlib import import_module
from pathlib import Path
from re import DOTALL, MULTILINE
from re import compile as compile_pattern
from textwrap import dedent

import pytest

from balsamtide.cli.application import ControlApplication

ROOT = Path(__file__).parent.parent
PAGES = (ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md")))
PACKAGES = sorted(
    f"balsamtide.{path.parent.name}"
    for path in (ROOT / "src/balsamtide").glob("*/__init__.py")
)
LINK = compile_pattern(r"\]\(([^)\s]+)\)")
FENCE = compile_pattern(r"^( *)```(\w*)\n(.*?)^\1```", MULTILINE | DOTALL)
INLINE = compile_pattern(r"`([^`\n]+)`")
MAKE = compile_pattern(r"(?:^|[$&;] ?)\s*make ([a-z]+)\b", MULTILINE)
TARGET = compile_pattern(r"^([a-z]+):", MULTILINE)
CONTROL = compile_pattern(r"\bbalsamctl ([a-z]+(?: [a-z]+)?)")
EXTERNAL = ("http://", "https://")


def page_name(page: Path) -> str:
    """Return the path of a page within the repository."""
    return str(page.relative_to(ROOT))


def code_of(text: str) -> list[str]:
    """Return all code of a page, without the prose between."""
    fenced = [dedent(code) for _, _, code in FENCE.findall(text)]
    return fenced + INLINE.findall(FENCE.sub("", text))


def python_blocks(text: str) -> list[str]:
    """Return the Python blocks of a page."""
    blocks = FENCE.findall(text)
    return [dedent(code) for _, language, code in blocks if language == "python"]


def missing_links(text: str, folder: Path) -> list[str]:
    """Return the relative links that lead nowhere."""
    links = [link.partition("#")[0] for link in LINK.findall(FENCE.sub("", text))]
    relative = [link for link in links if link and not link.startswith(EXTERNAL)]
    return [link for link in relative if not (folder / link).exists()]


def unknown_make_targets(text: str) -> list[str]:
    """Return the targets that are named and that the Makefile lacks."""
    known = TARGET.findall((ROOT / "Makefile").read_text())
    named = [name for code in code_of(text) for name in MAKE.findall(code)]
    return [name for name in named if name not in known]


def unknown_control_commands(text: str) -> list[str]:
    """Return the commands of balsamctl that are named and don't exist."""
    application = ControlApplication()
    named = [words for code in code_of(text) for words in CONTROL.findall(code)]
    return [
        words
        for words in named
        if not application.has(words) and not application.has(words.split()[0])
    ]


def uncompilable_blocks(text: str) -> list[str]:
    """Return what is wrong with the Python blocks."""
    problems = []
    for code in python_blocks(text):
        try:
            compile(code, "block", "exec", flags=PyCF_ALLOW_TOP_LEVEL_AWAIT)
        except SyntaxError as error:
            problems.append(str(error))
    return problems


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_links_lead_to_files(page):
    """Every relative link names a file of the repository."""
    assert missing_links(page.read_text(), page.parent) == []


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_commands_exist(page):
    """Every target of make and command of balsamctl in code exists."""
    text = page.read_text()
    assert unknown_make_targets(text) == []
    assert unknown_control_commands(text) == []


@pytest.mark.parametrize("page", PAGES, ids=page_name)
def test_python_blocks_compile(page):
    """Every Python block is valid Python."""
    assert uncompilable_blocks(page.read_text()) == []


@pytest.mark.parametrize(
    ("text", "problems"),
    [
        ("[a](there-is-no-such.md#part)", (1, 0, 0, 0)),
        ("[a](docs/cli.md) and [b](https://example.org)", (0, 0, 0, 0)),
        ("```\nmake nothing\n```", (0, 1, 0, 0)),
        ("`make test`, and in prose we make nothing", (0, 0, 0, 0)),
        ("`balsamctl fly --high`", (0, 0, 1, 0)),
        ("`balsamctl patch fly x.json`", (0, 0, 1, 0)),
        ("`balsamctl version wait 4`", (0, 0, 0, 0)),
        ("  ```python\n  x = = 1\n  ```", (0, 0, 0, 1)),
        ("```python\nawait f()\n```", (0, 0, 0, 0)),
    ],
)
def test_faults_of_pages_are_found(text, problems):
    """Each kind of fault in a page is found, and nothing else."""
    found = (
        missing_links(text, ROOT),
        unknown_make_targets(text),
        unknown_control_commands(text),
        uncompilable_blocks(text),
    )
    assert tuple(len(faults) for faults in found) == problems


@pytest.mark.parametrize("package", PACKAGES)
def test_public_names_are_listed(package):
    """The page of the API has a section with every public name of a package."""
    page = (ROOT / "docs/api.md").read_text()
    _, _, rest = page.partition(f"\n## `{package}`\n")
    section = rest.partition("\n## ")[0]
    assert section
    missing = [
        name
        for name in getattr(import_module(package), "__all__", ())
        if f"`{name}`" not in section
    ]
    assert missing == []


def test_embedding_example_runs(capsys):
    """The example of the README that needs no network ends at the agent."""
    blocks = python_blocks((ROOT / "README.md").read_text())
    example = next(block for block in blocks if "Forwarder(" in block)
    exec(compile(example, "README.md", "exec"), {})
    assert "octets to ('10.0.0.1', 7201)" in capsys.readouterr().out
