"""What targets state of themselves in their answers, as known to one host.

A statement binds until the target says otherwise, its time is over, or its process has
ended. It outlives the target's entry in the store, which may lapse and come back.
"""
