//! Whether an owner's reply is true for a client, given what became of the earlier attempts to have the request carried
//! out.

use crate::process::shard::Reply;

/// What may have become of the attempts of a request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Attempts {
    /// Nothing was carried out, nor will be.
    #[default]
    NotDone,
    /// An owner may have carried the request out, or may still do so.
    Uncertain,
}

impl Attempts {
    /// What is known after one more attempt.
    pub fn and(self, other: Attempts) -> Attempts {
        match (self, other) {
            (Attempts::NotDone, Attempts::NotDone) => Attempts::NotDone,
            _ => Attempts::Uncertain,
        }
    }
}

/// What a host makes of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is true for all attempts.
    Holds,
    /// Nobody can tell whether an earlier attempt was carried out.
    Unknown,
    /// The owner will know more later.
    AskAgain,
}

/// Judges the reply to the newest attempt, given what became of the earlier ones.
pub fn judge(earlier: Attempts, reply: Reply) -> Verdict {
    match (earlier, reply) {
        // The owner knows all records, but an earlier attempt may still reach it.
        (Attempts::Uncertain, Reply::Refused { .. }) => Verdict::Unknown,
        // The owner may not have read the record that an earlier attempt has led to.
        (Attempts::Uncertain, Reply::Unavailable) => Verdict::AskAgain,
        (Attempts::NotDone, Reply::Refused { .. } | Reply::Unavailable)
        | (
            _,
            Reply::Accepted
            | Reply::Cancelled
            | Reply::State { .. }
            | Reply::Gone
            | Reply::Backlog(_),
        ) => Verdict::Holds,
    }
}
