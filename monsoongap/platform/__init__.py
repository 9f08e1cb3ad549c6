"""The adapter between the users' platform and the product.

Everything that knows the platform's names, paths and fields is here; each wire form
is decoded once, into types of `monsoongap.protocol.messages`. The settings file needs
no code: the platform fills in the template `deploy/entry.ini`.
"""

# The variable in which the platform names a process's settings file.
SETTINGS_VARIABLE = "MONSOONGAP_NODE_FILE"
