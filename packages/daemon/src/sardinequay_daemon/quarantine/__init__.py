"""Protection of targets from requests that crash one target after another.

The way of a request: `guarded_request` holds its features, `guard` refuses it if one of
them is held, and asks for a permit (`probe_permits`) if one may only be tried. If its
connection breaks, `end_detector` finds out whether the target ended, and the guard
records that in the core's quarantine. Other hosts hear of it by digests or by the
`replicator`, in the form that `updates` gives it. `held` shows operators what is held.
"""
