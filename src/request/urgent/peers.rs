//! Loads of the other entry hosts of the data centre.

use std::collections::HashMap;

use crate::base::Name;
use crate::connection::wire::ServiceLoad;

/// Latest load of each peer, corrected for the requests forwarded since.
#[derive(Debug, Default)]
pub(super) struct PeerLoads {
    /// Peers with their load, by service.
    loads: HashMap<Name, Vec<(Name, ServiceLoad)>>,
}

impl PeerLoads {
    pub fn update(&mut self, peers: Vec<(Name, ServiceLoad)>) {
        self.loads.clear();
        for (host, load) in peers {
            let loads = self.loads.entry(load.service.clone()).or_default();
            loads.push((host, load));
        }
    }

    /// The live host with the shortest expected wait, and that wait in ms.
    pub fn shortest_wait(
        &self,
        service: &str,
        is_live: impl Fn(&Name) -> bool,
    ) -> Option<(&Name, f64)> {
        let loads = self.loads.get(service)?.iter();
        loads
            .filter(|(host, _)| is_live(host))
            .map(|(host, load)| (host, expected_wait(load)))
            .filter(|(_, wait)| wait.is_finite())
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Counts a request forwarded to `host`, which its latest heartbeat does not include.
    pub fn count_forward(&mut self, service: &str, host: &Name) {
        let Some(load) = self.load(service, host) else {
            return;
        };
        if load.free > 0 {
            load.free -= 1;
        } else {
            load.queued += 1;
        }
    }

    /// Counts the answer of `host` to a forwarded request.
    pub fn count_answer(&mut self, service: &str, host: &Name) {
        let Some(load) = self.load(service, host) else {
            return;
        };
        if load.queued > 0 {
            load.queued -= 1;
        } else {
            load.free = (load.free + 1).min(load.slots);
        }
    }

    fn load(&mut self, service: &str, host: &Name) -> Option<&mut ServiceLoad> {
        let loads = self.loads.get_mut(service)?.iter_mut();
        loads
            .into_iter()
            .find(|(name, _)| name == host)
            .map(|(_, load)| load)
    }
}

/// Expected wait of one more request, in ms.
fn expected_wait(load: &ServiceLoad) -> f64 {
    if load.slots == 0 {
        return f64::INFINITY;
    }
    if load.free > load.queued {
        return 0.0;
    }
    f64::from(load.queued - load.free + 1) * load.mean / f64::from(load.slots)
}
