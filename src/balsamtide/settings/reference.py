"""The reference of the settings as Markdown, made from the fields themselves.

``python -m balsamtide.settings.reference`` prints the page.
"""

from balsamtide.settings.fields import FIELDS, ID_FILES, MAC_FILES, Field, KeyFiles

__all__ = ["render_reference"]

INTRODUCTION = """\
# Settings

A daemon reads one INI file, `balsamtided --settings FILE.ini`. The file is in UTF-8.
Relative paths in it start at its own directory. Unknown sections and keys are errors.
All problems are reported at once, each with file, section, key, what was found and
what is allowed; nothing is started and the exit code is 2. Contents of key files, and
values that look like a secret, are never printed.

The section `[agent]` belongs to the role `agent`, the section `[balancer]` to the role
`balancer`. The section `[rpc_tls]` can be left out only where `rpc` is on a loopback
address. Key files and private keys must not be accessible by others (mode 0600).

For a change of keys, add the new key on every instance, then make it current on
every instance, then remove the old one.
"""

SECTIONS = {
    "balsamtide": "For every role.",
    "keys": "Keys shared by all instances of one installation.",
    "rpc_tls": "Mutual TLS for calls between instances.",
    "balancer": "For the role `balancer`.",
    "agent": "For the role `agent`.",
}


def _default(field: Field) -> str:
    if field.default is None:
        return "required"
    return f"`{field.default}`" if field.default else "none"


def _row(key: str, allowed: str, default: str, meaning: str) -> str:
    return f"| `{key}` | {allowed} | {default} | {meaning} |"


def _key_row(files: KeyFiles) -> str:
    octets = (
        f"{files.low}" if files.low == files.high else f"{files.low} to {files.high}"
    )
    allowed = (
        f"a file with hexadecimal digits for {octets} octets; "
        f"N from 0 to {files.max_number}"
    )
    return _row(f"{files.prefix}_N_file", allowed, "the current one", files.meaning)


def _section(name: str) -> list[str]:
    rows = [
        _row(field.key, field.converter.allowed, _default(field), field.meaning)
        for field in FIELDS
        if field.section == name
    ]
    if name == "keys":
        rows += [_key_row(MAC_FILES), _key_row(ID_FILES)]
    header = ["| Key | Allowed | Default | Meaning |", "| --- | --- | --- | --- |"]
    return [f"## `[{name}]`", "", SECTIONS[name], "", *header, *rows, ""]


def render_reference() -> str:
    """Return the page."""
    lines = [line for name in SECTIONS for line in _section(name)]
    return INTRODUCTION + "\n" + "\n".join(lines).rstrip() + "\n"


if __name__ == "__main__":
    print(render_reference(), end="")
