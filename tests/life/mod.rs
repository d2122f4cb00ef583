//! A simulated data centre under faults. Its hosts have real ledgers, journals and dispatchers.

pub mod checks;
pub mod host;
pub mod worker;
pub mod world;
