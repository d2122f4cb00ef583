//! Calls of a host to the log and to its peers.

use jayfork::base::{Millis, Offset};
use jayfork::process::OpenSuspicion;

use super::*;

impl Model {
    /// Reads the log, or reads it through a peer.
    pub fn read_log(&mut self, index: usize, now: Millis) {
        self.read_through_peer(index, now);
        let host = &mut self.hosts[index];
        if let Some(age) = &mut host.read_age {
            *age += 1;
            // A late answer is still useful, so a read has ten times the timeout of other calls.
            if *age <= 10 * TIMEOUT {
                return;
            }
        }
        host.read_age = Some(0);
        let (process, from, reads) = (host.process, host.read_state.next_offset, host.can_read_log);
        if reads {
            let message = Message::Read {
                host: index,
                process,
                from,
                sent_at: now,
            };
            self.send(0, Receiver::Log, message);
        }
    }

    /// Asks an up-to-date peer for the records that a host lacks when it cannot read the log.
    pub fn read_through_peer(&mut self, index: usize, now: Millis) {
        let host = &self.hosts[index];
        let waits = !self.peer_reads || self.tick % TIMEOUT != 0;
        if waits || host.peers.log_age(now) <= MAX_READ_AGE {
            return;
        }
        let up_to_date = host.peers.up_to_date_hosts(now);
        let mut peers = (0..HOSTS).filter(|&peer| peer != index && self.links[index][peer]);
        let Some(peer) = peers.find(|&peer| up_to_date.contains(&host_name(peer))) else {
            return;
        };
        let message = Message::PeerRead {
            host: index,
            process: host.process,
            from: host.read_state.next_offset,
            asked_at: now,
        };
        self.send(0, Receiver::Host(peer), message);
    }

    /// Sends the records from offset `from` on, if this host has read the log recently enough.
    pub fn answer_peer_read(
        &mut self,
        index: usize,
        host: usize,
        process: u64,
        from: u64,
        asked_at: Millis,
    ) {
        let own = &self.hosts[index];
        let age = own.peers.log_age(own.now(self.tick));
        let records = self
            .log
            .get(from as usize..own.read_state.next_offset as usize);
        let Some(records) = records.map(<[LoggedRecord]>::to_vec) else {
            return;
        };
        if age > MAX_READ_AGE || !self.links[index][host] {
            return;
        }
        let answer = Message::PeerReadAnswer {
            process,
            asked_at,
            from,
            records,
            age,
        };
        self.send(0, Receiver::Host(host), answer);
    }

    /// Sends the hellos that are due.
    pub fn send_hellos(&mut self, index: usize, now: Millis) {
        for age in self.hosts[index].hello_ages.iter_mut().flatten() {
            *age += 1;
        }
        for peer in self.hosts[index].peers.due_hellos(now) {
            let to = (0..HOSTS).find(|&i| host_name(i) == peer).unwrap();
            let host = &mut self.hosts[index];
            if host.hello_ages[to].is_some_and(|age| age <= TIMEOUT) {
                continue;
            }
            host.hello_ages[to] = Some(0);
            let (process, hello) = (host.process, host.hello(index, now));
            if self.links[index][to] {
                let message = Message::Hello {
                    from: index,
                    process,
                    asked_at: now,
                    hello,
                };
                self.send(0, Receiver::Host(to), message);
            }
        }
    }

    /// Appends the suspicion records that are due.
    pub fn poll_suspicions(&mut self, index: usize, now: Millis) {
        let host = &mut self.hosts[index];
        let open: Vec<OpenSuspicion> = (host.read_state.suspicions.iter())
            .map(|(writer, offset, read)| OpenSuspicion {
                worker: name("w"),
                host: writer.clone(),
                offset: Offset(*offset),
                read_at: *read,
            })
            .collect();
        let claimed = if host.read_state.lost {
            vec![]
        } else {
            vec![name("w")]
        };
        let mut records = Vec::new();
        let (peers, leases) = (&host.peers, &host.leases);
        host.suspicions
            .poll(now, peers, leases, &open, &claimed, &mut records);
        let own = host
            .read_state
            .suspicions
            .iter()
            .find(|open| open.0 == host_name(index));
        let suspected = own.map_or(u64::MAX, |open| open.1);
        let (appends, delay) = (host.can_append, host.append_delay);
        for record in records {
            let logged = LoggedRecord {
                host: host_name(index),
                record,
                suspected,
            };
            if appends {
                self.send(delay, Receiver::Log, Message::Append(logged));
            }
        }
    }
}
