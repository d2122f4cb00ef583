//! Stand-ins for the platform: log, host list, workers and service instances.

fn main() {}
