//! What goes into and comes out of a lease table.

use crate::base::{Name, Token};

use super::wire::HostKind;

/// A worker or a service instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resource {
    pub name: Name,
    pub address: Name,
    pub kind: HostKind,
}

/// A call to make. Each is answered once, with `granted`, `refused`, `released` or `failed`.
///
/// A call that was not sent within 1 s of the `poll` that returned it must fail instead: its
/// `renew_tasks` rests on what this host knew then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    Acquire {
        resource: Resource,
    },
    Renew {
        resource: Resource,
        token: Token,
        renew_tasks: bool,
    },
    Release {
        resource: Resource,
        token: Token,
    },
}

/// What a granted lease means for the state kept about its resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// A new token: earlier accounting of the resource is void, the report replaces it.
    New,
    /// The same token: nobody else has used the resource since.
    Renewed,
    /// A new token of an incarnation that this host has not seen: nothing of the former one runs.
    Restarted,
    /// The answer has no effect, and its report must not be used.
    Ignored,
}

/// A lease that may be used now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    pub token: Token,
    pub incarnation: u64,
    /// The resource finishes what it runs and takes no new work.
    pub leaving: bool,
}
