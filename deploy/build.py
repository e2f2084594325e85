"""Build of the folder that `deploy/system.toml` runs the daemons from.

Processes may start while a build runs, from the files of the build before.  So a file
is replaced in one step, stays as it is if its content is the same, and is removed
only after all new files are there.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from fcntl import LOCK_EX, flock
from os import replace
from pathlib import Path
from platform import machine
from py_compile import compile as compile_file
from shutil import copyfile, rmtree
from subprocess import run
from sys import executable, version_info

__all__ = ["build", "install_packages", "synchronize"]

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "balsamtide"
CACHE = "__pycache__"
# Names the kind of machine and the requirements that packages were installed for.
STAMP = "installed-for.txt"


def build(root: Path = ROOT) -> None:
    """Bring ``target/deps`` up to date with sources and requirements."""
    target = root / "target"
    target.mkdir(exist_ok=True)
    with _locked(target / "build.lock"):
        packages = target / "packages"
        dependencies = target / "deps"
        install_packages(root / "deploy" / "requirements.txt", packages)
        synchronize(packages, dependencies, keep=PACKAGE)
        synchronize(root / "src" / PACKAGE, dependencies / PACKAGE)


@contextmanager
def _locked(path: Path) -> Iterator[None]:
    """Hold a lock, so that builds that were started together run in turn."""
    with path.open("w") as file:
        flock(file, LOCK_EX)
        yield


def install_packages(requirements: Path, folder: Path) -> None:
    """Install packages into a folder, unless it has them for this kind of machine."""
    stamp = (
        f"{machine()} Python {version_info.major}.{version_info.minor}\n"
        f"{requirements.read_text()}"
    )
    stamp_file = folder / STAMP
    if stamp_file.exists() and stamp_file.read_text() == stamp:
        return
    rmtree(folder, ignore_errors=True)
    options = ["--quiet", "--no-compile", "--disable-pip-version-check"]
    command = [executable, "-m", "pip", "install", *options]
    run([*command, "--target", str(folder), "-r", str(requirements)], check=True)
    stamp_file.write_text(stamp)


def synchronize(source: Path, destination: Path, *, keep: str = "") -> None:
    """Give a folder the files of another one, and compile its modules.

    Parameters
    ----------
    source, destination : Path
        Folders; compiled modules of the source are left out.
    keep : str
        Name of an entry of the destination that is not part of the source.
    """
    wanted = {
        path.relative_to(source)
        for path in source.rglob("*")
        if path.is_file() and CACHE not in path.parts
    }
    for name in sorted(wanted):
        _update_file(source / name, destination / name)
    _remove_others(destination, wanted, keep)


def _update_file(source: Path, destination: Path) -> None:
    is_same = destination.is_file() and (
        destination.read_bytes() == source.read_bytes()
    )
    if not is_same:
        destination.parent.mkdir(parents=True, exist_ok=True)
        # Not a module's name, so that an import never finds a part of the file.
        unfinished = destination.with_name(f"{destination.name}.new")
        copyfile(source, unfinished)
        replace(unfinished, destination)
    if destination.suffix == ".py" and not (is_same and _is_compiled(destination)):
        # Packages may contain modules for other versions of Python.
        compile_file(str(destination), doraise=False, quiet=2)


def _is_compiled(module: Path) -> bool:
    return any((module.parent / CACHE).glob(f"{module.stem}.*.pyc"))


def _remove_others(folder: Path, wanted: set[Path], keep: str) -> None:
    """Remove files that are not wanted, their compiled forms and empty folders."""
    modules = {name.parent / name.stem for name in wanted}
    # In reverse order, the entries of a folder come before the folder itself.
    for path in sorted(folder.rglob("*"), reverse=True):
        name = path.relative_to(folder)
        if name.parts[0] == keep:
            continue
        if path.is_dir():
            if not any(path.iterdir()):
                path.rmdir()
        elif name.parent.name == CACHE:
            if name.parent.parent / name.name.partition(".")[0] not in modules:
                path.unlink()
        elif name not in wanted:
            path.unlink()


if __name__ == "__main__":
    build()
