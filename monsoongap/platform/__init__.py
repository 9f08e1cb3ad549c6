"""The adapter between the users' platform and monsoongap.

All code that depends on the platform's names, paths and fields is in this package. Each
wire format is decoded once, into types of `monsoongap.protocol.messages`. The settings
file is the template `deploy/entry.ini`, which the platform fills in; only the limits
that not every platform has are taken from a list (`bounds`).
"""

# Environment variable in which the platform passes the path of the settings file.
SETTINGS_VARIABLE = "MONSOONGAP_NODE_FILE"
