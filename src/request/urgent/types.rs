//! Inputs and outputs of `UrgentRouter`.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::base::{Millis, Name, Ran, Token};
use crate::connection::wire::{Answer, ErrorBody};

/// Names one caller that waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Names one message to an instance or a peer; never used twice by a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DispatchId(pub u64);

/// Orders the messages of one host to another across lost connections and restarts.
///
/// After a connection was lost, messages sent before it must not start a request any more, since
/// the sender goes by what the peer answered later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MessageEpoch {
    /// Incarnation of the sender; a later one is larger.
    pub incarnation: u64,
    /// Counts lost messages to this peer.
    pub number: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrgentLimits {
    /// Longest queue per service.
    pub max_queued: usize,
    /// Assumed mean service time until the first answers arrive.
    pub mean: Millis,
    /// Time that a forward to a peer costs; a peer must save more than this.
    pub hop: Millis,
    /// Retries allowed before the first success.
    pub retries: u32,
    /// Retries that can be saved up.
    pub saved_retries: u32,
    /// Peers are asked for running ids this long after contact with them was (re-)established.
    pub handover: Millis,
    /// Delay before a misdirected forward or a failed question to a peer is repeated, and before
    /// an instance that refused a request gets another one.
    pub delay: Millis,
    /// How long a host does not run an id after it told a peer that it has no such id.
    pub cede: Millis,
    /// Requests are queued this long after the last instance of a service was known, because its
    /// leases may be changing hands: a lapse takes 3 s, the next try 1 s, a heartbeat 0.5 s.
    pub takeover: Millis,
    /// Silence after which a peer counts as dead. A longer gap between two events means that this
    /// process was stopped, so that peers may have taken over its instances and its ids.
    pub silence: Millis,
}

impl Default for UrgentLimits {
    fn default() -> Self {
        UrgentLimits {
            max_queued: 10_000,
            mean: Millis(20),
            hop: Millis(1),
            retries: 10,
            // A burst of the requests on six instances of 8 slots; more would let retries exceed a
            // tenth of the attempts for seconds after a quiet time.
            saved_retries: 50,
            handover: Millis(30_000),
            delay: Millis(100),
            // Longer than the 2 s after which a silent peer counts as dead, plus two heartbeats.
            cede: Millis(5_000),
            takeover: Millis(5_000),
            silence: Millis(2_000),
        }
    }
}

/// One submission of an urgent request, by a caller or by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrgentRequest {
    pub ticket: Ticket,
    /// Chosen by the caller; unique per customer.
    pub id: Name,
    pub customer: Name,
    pub class: Name,
    pub service: Name,
    /// Whether the class may run more than once.
    pub idempotent: bool,
    /// Core time by which the caller wants the answer.
    pub deadline: Millis,
    /// The class's deadline, from submission; at-most-once ids are remembered ten times as long.
    pub class_deadline: Millis,
    /// 0 from a caller, 1 at the id's home, 2 at the peer that the home chose.
    pub hops: u8,
    /// Entry host that forwarded the request; `None` from a caller.
    pub forwarded_by: Option<Name>,
    /// Asks only for a running attempt to wait for; starts nothing and carries no body.
    pub attach: bool,
    /// As sent by the peer; the default from a caller.
    pub epoch: MessageEpoch,
    pub body: Bytes,
}

/// Service instance whose lease this host holds and may use now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedInstance {
    pub name: Name,
    pub service: Name,
    pub address: Name,
    pub token: Token,
    pub slots: u32,
    pub connections: u32,
    /// `running` of the instance's latest report, as sent in `UrgentAction::Send`.
    pub running: Vec<Name>,
    /// Core time at which the lease request that brought this report was sent.
    pub report_requested: Millis,
    pub leaving: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceResult {
    /// The whole body arrived.
    Answer { status: u16, body: Bytes },
    /// The instance did not run the request: stale token, busy, leaving, or never reached.
    Refused,
    /// Connection lost or answer truncated; the request may have run or may still run.
    Broken,
}

/// A request on its way to a peer; the same as `wire::Forward` apart from the shared body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrgentForward {
    pub id: Name,
    pub customer: Name,
    pub class: Name,
    /// Time left until the deadline.
    pub deadline: Millis,
    pub hops: u8,
    /// As in `UrgentRequest`.
    pub attach: bool,
    pub epoch: MessageEpoch,
    pub body: Bytes,
}

/// What a caller or a forwarding peer gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrgentAnswer {
    /// HTTP status.
    pub status: u16,
    /// `None` for the answer of an instance.
    pub ran: Option<Ran>,
    pub body: Bytes,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UrgentAction {
    Send {
        dispatch: DispatchId,
        instance: Name,
        address: Name,
        token: Token,
        /// `customer:request`, which needs no escaping in a URL path: request ids are unique only per customer.
        key: Name,
        /// Time left until the deadline.
        deadline: Millis,
        body: Bytes,
    },
    Forward {
        dispatch: DispatchId,
        host: Name,
        forward: UrgentForward,
    },
    Answer {
        ticket: Ticket,
        answer: UrgentAnswer,
    },
}

/// Why the router answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Refusal {
    #[error("the expected wait exceeds the time left")]
    Overloaded,
    #[error("the deadline passed before the request could start")]
    Expired,
    #[error("no further attempt is allowed")]
    RetriesExhausted,
    #[error("the connection was lost while the request may have been running")]
    Interrupted,
    #[error("this id of an at-most-once class was received before")]
    Repeated,
    #[error("the host that knew the recent ids of this at-most-once class was lost")]
    Forgotten,
    #[error("the id is in use by a request with another class or body")]
    Conflict,
    #[error("this host is not the one to run the id")]
    Misdirected,
    #[error("no attempt of the id is known here")]
    NotAttached,
}

impl Refusal {
    fn kind(self) -> &'static str {
        match self {
            Refusal::Overloaded => "overloaded",
            Refusal::Expired => "deadline_exceeded",
            Refusal::RetriesExhausted => "retries_exhausted",
            Refusal::Interrupted => "interrupted",
            Refusal::Repeated => "repeated",
            Refusal::Forgotten => "recent_ids_lost",
            Refusal::Conflict => "request_id_in_use",
            Refusal::Misdirected => "misdirected",
            Refusal::NotAttached => "not_attached",
        }
    }

    fn status(self) -> u16 {
        match self {
            Refusal::Overloaded | Refusal::Forgotten => 503,
            Refusal::Expired => 504,
            Refusal::Interrupted | Refusal::RetriesExhausted => 502,
            Refusal::Repeated | Refusal::Conflict => 409,
            Refusal::Misdirected => MISDIRECTED,
            Refusal::NotAttached => 404,
        }
    }
}

/// RFC 9110, 421 Misdirected Request.
const MISDIRECTED: u16 = 421;

impl UrgentAnswer {
    /// Answer of a peer that took no action, so that the sender tries again later.
    ///
    /// A peer that is draining must not give it to `attach`, since it may be running the id.
    pub fn unavailable() -> Self {
        UrgentAnswer::refusal(Refusal::Misdirected, Ran::NotRun)
    }

    pub(super) fn refusal(refusal: Refusal, ran: Ran) -> Self {
        let body = ErrorBody {
            error: refusal.kind().into(),
            field: None,
            reason: refusal.to_string(),
            ran: Some(ran),
        };
        UrgentAnswer {
            status: refusal.status(),
            ran: Some(ran),
            body: serde_json::to_vec(&body).unwrap_or_default().into(),
        }
    }

    /// Whether a `NotRun` refusal came before any message to an instance.
    pub(super) fn is_before_send(&self) -> bool {
        matches!(self.status, 503 | 504 | MISDIRECTED)
    }

    pub(super) fn is_misdirected(&self) -> bool {
        self.status == MISDIRECTED && self.ran == Some(Ran::NotRun)
    }
}

impl From<Answer> for UrgentAnswer {
    fn from(answer: Answer) -> Self {
        UrgentAnswer {
            status: answer.status,
            ran: answer.ran,
            body: answer.body,
        }
    }
}

impl From<UrgentAnswer> for Answer {
    fn from(answer: UrgentAnswer) -> Self {
        Answer {
            status: answer.status,
            ran: answer.ran,
            body: answer.body,
        }
    }
}
