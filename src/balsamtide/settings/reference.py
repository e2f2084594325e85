"""Markdown reference of the settings, generated from the field definitions.

``python -m balsamtide.settings.reference`` prints the page.
"""

from balsamtide.settings.fields import (
    CONNECTION_ID_FILES,
    FIELDS,
    MAC_FILES,
    CryptoKeyFiles,
    Field,
)

__all__ = ["render_reference"]

INTRODUCTION = """\
# Settings

A daemon reads one INI file, `balsamtided --settings FILE.ini`. The file is in UTF-8.
Relative paths are resolved against its directory. Unknown sections and keys are errors.
All problems are reported at once, each with file, section, key, what was found and
what is allowed; the daemon does not start and exits with code 2. Contents of key files
and values that may be secrets are never printed.

The section `[agent]` applies to the role `agent`, the section `[balancer]` to the role
`balancer`. The section `[rpc_tls]` may be omitted only if `rpc` is on a loopback
address. The mode of key files and private keys must grant no permissions
to the class others (such as 0600 or 0640).

To rotate keys, add the new key on every instance (`mac_N_file` or `id_N_file`), then
make it current on every instance (`mac_current` or `id_current`), then remove the old
one. Each step takes effect when the daemon restarts.
"""

SECTIONS = {
    "balsamtide": "Settings for all roles.",
    "keys": "Keys shared by all instances.",
    "rpc_tls": "Mutual TLS for calls between instances.",
    "balancer": "Settings for the role `balancer`.",
    "agent": "Settings for the role `agent`.",
}


def _format_default(field: Field) -> str:
    if field.default is None:
        return "required"
    return f"`{field.default}`" if field.default else "none"


def _format_row(key: str, allowed: str, default: str, meaning: str) -> str:
    return f"| `{key}` | {allowed} | {default} | {meaning} |"


def _format_key_row(files: CryptoKeyFiles) -> str:
    lengths = (
        f"{files.min_bytes}"
        if files.min_bytes == files.max_bytes
        else f"{files.min_bytes} to {files.max_bytes}"
    )
    allowed = (
        f"a file with hexadecimal digits for {lengths} bytes; "
        f"N from 0 to {files.max_number}"
    )
    return _format_row(
        f"{files.prefix}_N_file", allowed, "required for the current key", files.meaning
    )


def _format_section(name: str) -> list[str]:
    rows = [
        _format_row(
            field.key, field.converter.allowed, _format_default(field), field.meaning
        )
        for field in FIELDS
        if field.section == name
    ]
    if name == "keys":
        rows += [_format_key_row(MAC_FILES), _format_key_row(CONNECTION_ID_FILES)]
    header = ["| Key | Allowed | Default | Meaning |", "| --- | --- | --- | --- |"]
    return [f"## `[{name}]`", "", SECTIONS[name], "", *header, *rows, ""]


def render_reference() -> str:
    """Return the reference page."""
    lines = [line for name in SECTIONS for line in _format_section(name)]
    return INTRODUCTION + "\n" + "\n".join(lines).rstrip() + "\n"


if __name__ == "__main__":
    print(render_reference(), end="")
