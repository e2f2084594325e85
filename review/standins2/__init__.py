"""Stand-ins of the users' platform for the scripts in review/6 and later."""
