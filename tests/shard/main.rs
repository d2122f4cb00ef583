//! The core of a shard against a model of the store and the workers, with lost, late and repeated
//! messages, killed and superseded owners, and outages.

mod cases;
mod fleet;
mod random;
mod store;
mod world;
