//! Model of a data centre: real ledgers, journals and dispatchers under faults.

pub mod checks;
pub mod host;
pub mod worker;
pub mod world;
