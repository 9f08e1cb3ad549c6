"""The adapter between the users' platform and the product.

Everything that knows the platform's names, paths, fields and its settings file is
here; each wire form is decoded once, into types of `monsoongap.protocol.fleet`.
"""
