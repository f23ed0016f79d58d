"""A host's copy of the metadata store, and how it is kept up to date in time.

`task` owns the copy: the items (`item_table`), the catalogue that they describe
(`item_decoder`) and the core's `freshness`, which says how old the copy may be.
`reader` decides when this host reads the store and does so. `item_fetcher` asks peers
for items that they offer in their digests.
"""
