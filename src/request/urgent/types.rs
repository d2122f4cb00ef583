//! Input and output types of `UrgentRouter`.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::base::{Millis, Name, Ran, Token};
use crate::connection::wire::{Answer, ErrorBody};

/// Identifies one caller or peer that waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Identifies one message to an instance or a peer. A router never uses a value twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DispatchId(pub u64);

/// Orders the messages from one host to another across lost connections and restarts.
///
/// After a connection was lost, a message that was sent before must no longer start a request,
/// since a later answer may have told the sender that the request is not running.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MessageEpoch {
    /// Incarnation of the sender; it grows with each restart.
    pub incarnation: u64,
    /// Number of messages to this peer that were lost in this incarnation.
    pub number: u64,
}

/// Limits and time windows of `UrgentRouter`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrgentLimits {
    /// Largest number of queued requests per service.
    pub max_queued: usize,
    /// Mean service time to assume until answers arrive.
    pub assumed_mean: Millis,
    /// Time that forwarding to a peer takes. A request is forwarded only if that shortens the wait
    /// by more than this.
    pub forward_cost: Millis,
    /// Retries allowed before the first success.
    pub initial_retries: u32,
    /// Largest number of retries that successes can save up.
    pub saved_retries: u32,
    /// For this time after contact with a peer began or resumed, this host asks the peer whether it
    /// is running an id before it runs that id itself.
    pub ask_window: Millis,
    /// Delay before a misdirected forward or a failed question to a peer is repeated. Also the time
    /// for which an instance that refused several requests in a row gets no more.
    pub retry_delay: Millis,
    /// Time for which a host leaves an id to a peer that it told that the id is not running here.
    pub override_time: Millis,
    /// Time for which requests are queued after a service has lost its last known instance, since
    /// hosts may be taking over the leases of its instances: a lease expires after 3 s, the next
    /// attempt to acquire it comes within 1 s, and the next heartbeat within 0.5 s.
    pub takeover_time: Millis,
    /// Time without a message after which a peer counts as dead. A longer gap between two events of
    /// this router means that its process was stopped and that peers may have taken over its
    /// instances and ids.
    pub peer_timeout: Millis,
}

impl Default for UrgentLimits {
    fn default() -> Self {
        UrgentLimits {
            max_queued: 10_000,
            assumed_mean: Millis(20),
            forward_cost: Millis(1),
            initial_retries: 10,
            // Enough to retry all requests that run on six instances of 8 slots. More would let
            // retries exceed a tenth of the attempts for seconds after an idle period.
            saved_retries: 50,
            ask_window: Millis(30_000),
            retry_delay: Millis(100),
            // Longer than `peer_timeout` and two heartbeats.
            override_time: Millis(5_000),
            takeover_time: Millis(5_000),
            peer_timeout: Millis(2_000),
        }
    }
}

/// An urgent request as submitted by a caller or forwarded by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrgentRequest {
    pub ticket: Ticket,
    /// Request id, chosen by the caller and unique per customer.
    pub id: Name,
    pub customer: Name,
    pub class: Name,
    pub service: Name,
    /// Whether requests of the class may run more than once.
    pub idempotent: bool,
    /// Time by which the caller needs the answer.
    pub deadline: Millis,
    /// Deadline of the class, counted from submission. Ids of at-most-once classes are remembered
    /// ten times as long.
    pub class_deadline: Millis,
    /// Number of times the request was forwarded: 0 from a caller, 1 at the home of its id, 2 at
    /// the peer that the home selected.
    pub hops: u8,
    /// Entry host that sent the message; `None` if a caller did.
    pub forwarded_by: Option<Name>,
    /// Whether the message only asks if the receiver is running the id and, if so, waits for that
    /// answer. Such a message starts no attempt and carries no body.
    pub attach: bool,
    /// Epoch of the peer's message; the default value if a caller submitted the request.
    pub epoch: MessageEpoch,
    pub body: Bytes,
}

/// Service instance that this host may use now, since it holds the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedInstance {
    pub name: Name,
    pub service: Name,
    pub address: Name,
    pub token: Token,
    pub slots: u32,
    pub connections: u32,
    /// Keys (as in `UrgentAction::Send`) of the requests that were running at the latest report.
    pub running: Vec<Name>,
    /// Time at which the lease call that returned this report was sent.
    pub report_requested: Millis,
    pub leaving: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceResult {
    /// The whole body arrived.
    Answer { status: u16, body: Bytes },
    /// The instance did not run the request: the lease token was stale, or the instance was busy,
    /// leaving or out of reach.
    Refused,
    /// The connection was lost or the answer truncated. The request may have run or be running.
    Broken,
}

/// Message that forwards a request to a peer; `wire::Forward` without the sending host.
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

/// Answer to a caller or to a peer that forwarded a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UrgentAnswer {
    /// HTTP status.
    pub status: u16,
    /// `None` if an instance answered; otherwise whether the refused request may have run.
    pub ran: Option<Ran>,
    pub body: Bytes,
}

/// What the caller of `UrgentRouter` must do after an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UrgentAction {
    /// Sends a request to an instance.
    Send {
        dispatch: DispatchId,
        instance: Name,
        address: Name,
        token: Token,
        /// `customer:id`, since ids are unique only per customer. Needs no escaping in a URL path.
        key: Name,
        /// Time left until the deadline.
        deadline: Millis,
        body: Bytes,
    },
    /// Sends a message to a peer.
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

/// Why the router refuses a request.
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
    RecentIdsLost,
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
            Refusal::RecentIdsLost => "recent_ids_lost",
            Refusal::Conflict => "request_id_in_use",
            Refusal::Misdirected => "misdirected",
            Refusal::NotAttached => "not_attached",
        }
    }

    fn status(self) -> u16 {
        match self {
            Refusal::Overloaded | Refusal::RecentIdsLost => 503,
            Refusal::Expired => 504,
            Refusal::Interrupted | Refusal::RetriesExhausted => 502,
            Refusal::Repeated | Refusal::Conflict => 409,
            Refusal::Misdirected => MISDIRECTED,
            Refusal::NotAttached => 404,
        }
    }
}

/// HTTP status 421 Misdirected Request (RFC 9110).
const MISDIRECTED: u16 = 421;

impl UrgentAnswer {
    /// Answer of a peer that took no action; the sender repeats the message later.
    ///
    /// A draining peer must not answer an `attach` message with it, since it may be running the id.
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

    /// Whether this `NotRun` refusal was given before the request was sent to an instance.
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
