//! How many connections, and how much memory for them, the listeners of a host admit.

use crate::connection::{Inbound, InboundLimits};

/// Of the memory of a host, a quarter is for the connections of its clients, an eighth for the requests that have arrived
/// over them, and an eighth for calls of other hosts. Jobs, buffers of its own calls and allocations that are not used as a
/// whole take the rest.
const CLIENT_MEMORY_DIVISOR: u64 = 4;
const REQUEST_MEMORY_DIVISOR: u64 = 8;
const PEER_MEMORY_DIVISOR: u64 = 8;
/// A sixteenth is for the jobs that an owner holds: some thousand of the usual size.
pub(super) const JOB_MEMORY_DIVISOR: u64 = 16;
/// Of the descriptors, a quarter is for each of them. The others are for the store, workers, other hosts and files.
const DESCRIPTOR_DIVISOR: u32 = 4;
/// Largest body as a part of the memory of a host: with what its steps take beside it, it fits into the memory for requests.
const BODY_DIVISOR: u64 = 96;
/// Connections for readiness checks, of which there is one a second, and for readers of the metrics.
const READINESS_CONNECTIONS: usize = 32;
const METRICS_CONNECTIONS: usize = 16;
/// Memory for such a connection with its buffers in the kernel, in bytes; its requests have no body.
const CHECK_MEMORY: u64 = 64 << 10;

/// The limits of all listeners.
pub(super) struct Admission {
    pub clients: Inbound,
    pub peers: Inbound,
    pub readiness: Inbound,
    pub metrics: Inbound,
    /// Memory for the requests of clients that have arrived and are not answered, in bytes.
    pub request_memory: u64,
    /// Largest body that a client can send whatever the configuration allows, in bytes.
    pub most_body: u64,
}

impl Admission {
    /// Divides the memory, in bytes, and the descriptors of a host.
    pub fn new(memory: u64, descriptors: u32) -> Admission {
        let client_memory = memory / CLIENT_MEMORY_DIVISOR;
        let connections = (descriptors / DESCRIPTOR_DIVISOR) as usize;
        let open = |purpose, memory, connections| {
            Inbound::new(
                purpose,
                InboundLimits {
                    memory,
                    connections,
                },
            )
        };
        let check = |purpose, connections: usize| {
            open(purpose, CHECK_MEMORY * connections as u64, connections)
        };
        Admission {
            clients: open("clients", client_memory, connections),
            peers: open("peers", memory / PEER_MEMORY_DIVISOR, connections),
            readiness: check("readiness", READINESS_CONNECTIONS),
            metrics: check("metrics", METRICS_CONNECTIONS),
            request_memory: memory / REQUEST_MEMORY_DIVISOR,
            most_body: memory / BODY_DIVISOR,
        }
    }
}
