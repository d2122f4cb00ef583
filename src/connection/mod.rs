//! State that lives as long as a connection: leases, clients, peers and wire types.

pub mod wire;
