"""The command-line tool balsamctl."""
