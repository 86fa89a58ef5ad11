//! Entry-VM membership, shard ownership and spread of configuration revisions.
