"""What targets state of themselves in their answers: recorded, shared and kept to.

The way of a statement: the `recorders` hear it in an answer or from a peer, one for
each kind (`limit_recorder`, `leaving_recorder`, `backoff_recorder`), and keep it in the
core's `statements`. The choice of a target goes by these. A chosen target may have to
be waited for (`parts`): for the end of a backoff, for a permit (`target_limiter`,
`permit_issuer`) or for room (`room_client`, `room_issuer`). Right before the bytes
leave, the attempt asks once more. `tunnel_gate` does the same for the requests of peers
that this host passes on.
"""
