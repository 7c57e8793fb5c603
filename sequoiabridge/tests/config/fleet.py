"""Configuration of a small fleet for tests."""

from ...config.change import Change

TEXT = """
[service reports]
hosts = reports.example.org, *.reports.example.org
[service uploads]
path_prefix = /uploads
[service images]
path_prefix = /uploads/images
[pool fast]
service = reports
slots = 3
[pool big]
service = uploads
[upstream fast-1]
pool = fast
address = 10.0.0.1:80
[upstream fast-2]
pool = fast
address = 10.0.0.2:80
slots = 1
[upstream big-1]
pool = big
address = 10.0.0.3:80
[rule verdict]
service = reports
order = 10
methods = POST
path = /orders/*/approve
key = required
[rule read]
service = reports
order = 20
methods = GET, HEAD
path = /**
idempotent = yes
hedge = yes
[rule alive]
service = reports
order = 30
methods = PUT, GET
path = /health
"""


def change(document, *entries, **more):
    """Apply a change by the author anna as the next version."""
    return document.with_change(Change(list(entries)), document.version + 1, "anna", 5.0, **more)
