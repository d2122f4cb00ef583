//! Inputs and outputs of a lease table.

use crate::base::{Name, Token};

use super::wire::HostKind;

/// A backend server that is leased: a worker or a service instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resource {
    pub name: Name,
    pub address: Name,
    pub kind: HostKind,
}

/// A lease call to make. Its result is reported to the `LeaseTable` exactly once, with `granted`,
/// `refused`, `released` or `failed`.
///
/// A call that was not sent within 1 s after `poll` returned it must be dropped and reported with
/// `failed`, because `renew_tasks` reflects what this host knew at the time of `poll`.
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

/// What an answer that grants a lease means for the state that is kept about the resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grant {
    /// A new token: the report of the resource replaces all earlier accounting.
    New,
    /// The same token: no other host has used the resource in the meantime.
    Renewed,
    /// A new token of an incarnation that this host has not seen: nothing that ran before the
    /// restart of the resource still runs.
    Restarted,
    /// The answer has no effect, and the report in it must not be used.
    Ignored,
}

/// A lease that this host may use now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    pub token: Token,
    pub incarnation: u64,
    /// The resource finishes its running work and takes no new work.
    pub leaving: bool,
}
