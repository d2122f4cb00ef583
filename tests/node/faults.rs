//! Faults of the platform and of the links between hosts.

use jayfork::connection::wire::PeerReply;

use super::world::NodeId;

/// Changes an answer to another host.
pub type ReplyChange = fn(&mut PeerReply);

/// How the calls arrive in which a stopping host tells its peers which ids it ran.
#[derive(Debug, Default, Clone, Copy)]
pub enum DepartureFault {
    #[default]
    None,
    /// The calls to these hosts are lost; also the behaviour of hosts that do not know them.
    Lost(&'static [NodeId]),
    /// The answers of these hosts are lost.
    Unanswered(&'static [NodeId]),
    /// The calls to this host arrive after this time in ms.
    Late(NodeId, u64),
    /// Each call arrives again after this time in ms.
    Repeated(u64),
}

impl DepartureFault {
    /// Delays in ms with which copies of a call to a host arrive, and whether its answer does.
    pub fn delays(self, to: NodeId) -> (Vec<u64>, bool) {
        match self {
            DepartureFault::Lost(hosts) if hosts.contains(&to) => (Vec::new(), false),
            DepartureFault::Unanswered(hosts) if hosts.contains(&to) => (vec![0], false),
            DepartureFault::Late(host, delay) if host == to => (vec![delay], false),
            DepartureFault::Repeated(delay) => (vec![0, delay], true),
            _ => (vec![0], true),
        }
    }
}

/// The faults that are active.
#[derive(Debug, Default)]
pub struct Faults {
    /// No host can reach the log.
    pub log_down: bool,
    /// Appends take effect, but their answers are lost.
    pub lose_answers: bool,
    /// Hosts that can't reach the log.
    pub cut_from_log: Vec<NodeId>,
    /// Hosts that can't reach any other entry host.
    pub cut_from_peers: Vec<NodeId>,
    pub departure: DepartureFault,
    /// A host and what it does to each of its answers to other hosts.
    pub odd_replies: Option<(NodeId, ReplyChange)>,
}
