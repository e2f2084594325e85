"""Tests of the build of the folder that the daemons run from."""

from importlib.util import module_from_spec, spec_from_file_location
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SPEC = spec_from_file_location("deploy_build", ROOT / "deploy" / "build.py")
deploy_build = module_from_spec(SPEC)
SPEC.loader.exec_module(deploy_build)
synchronize = deploy_build.synchronize

BEFORE = {"a.py": "A = 1\n", "b/__init__.py": "", "b/c.py": "C = 1\n", "old.py": ""}
AFTER = {"a.py": "A = 2\n", "b/__init__.py": "", "b/c.py": "C = 1\n", "new.py": ""}


def write_files(folder, files):
    """Write files by name, and return their folder."""
    for name, text in files.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
    return folder


def read_modules(folder):
    """Return the contents of a folder's modules by name."""
    return {
        str(path.relative_to(folder)): path.read_text() for path in folder.rglob("*.py")
    }


@pytest.fixture
def built(tmp_path):
    """Return a folder that was built from `BEFORE`."""
    synchronize(write_files(tmp_path / "before", BEFORE), tmp_path / "built")
    return tmp_path / "built"


def test_build_gives_the_files_of_the_source(built, tmp_path):
    """A later build replaces changed files, adds new ones and removes the others."""
    assert read_modules(built) == BEFORE
    synchronize(write_files(tmp_path / "after", AFTER), built)
    assert read_modules(built) == AFTER
    compiled = {path.name.partition(".")[0] for path in built.rglob("*.pyc")}
    assert compiled == {"a", "__init__", "c", "new"}


def test_process_that_starts_during_a_build_finds_each_file(
    built, tmp_path, monkeypatch
):
    """At each step, a file of both builds is there as a whole, the old or the new one.

    It guards against processes that end by themselves since a module is missing.
    """
    steps = []
    both = BEFORE.keys() & AFTER.keys()

    def checked(step):
        def run(*args, **options):
            result = step(*args, **options)
            found = read_modules(built)
            for name in both:
                assert found[name] in (BEFORE[name], AFTER[name])
            steps.append(step.__name__)
            return result

        return run

    for name in ("copyfile", "replace", "compile_file"):
        monkeypatch.setattr(deploy_build, name, checked(getattr(deploy_build, name)))
    monkeypatch.setattr(Path, "unlink", checked(Path.unlink))
    synchronize(write_files(tmp_path / "after", AFTER), built)
    assert {"replace", "unlink"} <= set(steps)


def test_build_of_the_same_sources_changes_nothing(built, tmp_path):
    """A repeated build leaves all files as they are."""

    def states():
        files = sorted(path for path in built.rglob("*") if path.is_file())
        return [(path, path.stat().st_ino, path.stat().st_mtime_ns) for path in files]

    before = states()
    synchronize(tmp_path / "before", built)
    assert states() == before


def test_build_keeps_the_entry_of_another_source(built, tmp_path):
    """Files of an entry that another source has are left alone."""
    write_files(built, {"other/x.py": ""})
    synchronize(tmp_path / "before", built, keep="other")
    assert (built / "other" / "x.py").exists()
    synchronize(tmp_path / "before", built)
    assert not (built / "other").exists()


@pytest.mark.parametrize(
    ("changes", "installs"),
    [
        ({}, 1),
        ({"requirements": "h11\ntrio\n"}, 2),
        ({"machine": "x86_64"}, 2),
    ],
    ids=["same", "other-requirements", "other-machine"],
)
def test_packages_are_installed_once_for_each_machine_and_requirements(
    tmp_path, monkeypatch, changes, installs
):
    """Packages of another kind of machine, or for other requirements, are replaced."""
    commands = []

    def install(command, **_):
        commands.append(command)
        Path(command[command.index("--target") + 1]).mkdir()

    monkeypatch.setattr(deploy_build, "run", install)
    monkeypatch.setattr(deploy_build, "machine", lambda: "aarch64")
    requirements = tmp_path / "requirements.txt"
    requirements.write_text("h11\n")
    deploy_build.install_packages(requirements, tmp_path / "packages")
    requirements.write_text(changes.get("requirements", "h11\n"))
    if "machine" in changes:
        monkeypatch.setattr(deploy_build, "machine", lambda: changes["machine"])
    deploy_build.install_packages(requirements, tmp_path / "packages")
    assert len(commands) == installs
