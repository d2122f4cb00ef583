//! The calls that a host of the model makes on its own account.

use jayfork::base::{Millis, Offset};
use jayfork::process::OpenSuspicion;

use super::*;

impl Model {
    pub fn read(&mut self, index: usize, now: Millis) {
        self.read_through_peer(index, now);
        let host = &mut self.hosts[index];
        if let Some(age) = &mut host.reading {
            *age += 1;
            // A late answer stays useful, so the next read waits for longer than other calls.
            if *age <= 10 * TIMEOUT {
                return;
            }
        }
        host.reading = Some(0);
        let (process, from, reads) = (host.process, host.read_state.next, host.reads);
        if reads {
            let message = Message::Read {
                host: index,
                process,
                from,
                sent: now,
            };
            self.send(0, Receiver::Log, message);
        }
    }

    /// A host that cannot read the log asks an informed peer for the records that it lacks.
    pub fn read_through_peer(&mut self, index: usize, now: Millis) {
        let host = &self.hosts[index];
        let waits = !self.peer_reads || self.tick % TIMEOUT != 0;
        if waits || host.peers.log_age(now) <= MAX_READ_AGE {
            return;
        }
        let informed = host.peers.up_to_date_hosts(now);
        let mut peers = (0..HOSTS).filter(|&peer| peer != index && self.links[index][peer]);
        let Some(peer) = peers.find(|&peer| informed.contains(&host_name(peer))) else {
            return;
        };
        let message = Message::PeerRead {
            host: index,
            process: host.process,
            from: host.read_state.next,
            asked: now,
        };
        self.send(0, Receiver::Host(peer), message);
    }

    pub fn answer_peer_read(
        &mut self,
        index: usize,
        host: usize,
        process: u64,
        from: u64,
        asked: Millis,
    ) {
        let own = &self.hosts[index];
        let age = own.peers.log_age(own.now(self.tick));
        let records = self.log.get(from as usize..own.read_state.next as usize);
        let Some(records) = records.map(<[LoggedRecord]>::to_vec) else {
            return;
        };
        if age > MAX_READ_AGE || !self.links[index][host] {
            return;
        }
        let answer = Message::PeerReadAnswer {
            process,
            asked,
            from,
            records,
            age,
        };
        self.send(0, Receiver::Host(host), answer);
    }

    pub fn greet(&mut self, index: usize, now: Millis) {
        for age in self.hosts[index].greeting.iter_mut().flatten() {
            *age += 1;
        }
        for peer in self.hosts[index].peers.due_hellos(now) {
            let to = (0..HOSTS).find(|&i| host_name(i) == peer).unwrap();
            let host = &mut self.hosts[index];
            if host.greeting[to].is_some_and(|age| age <= TIMEOUT) {
                continue;
            }
            host.greeting[to] = Some(0);
            let (process, hello) = (host.process, host.hello(index, now));
            if self.links[index][to] {
                let message = Message::Hello {
                    from: index,
                    process,
                    asked: now,
                    hello,
                };
                self.send(0, Receiver::Host(to), message);
            }
        }
    }

    pub fn suspect(&mut self, index: usize, now: Millis) {
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
        let (appends, delay) = (host.appends, host.append_delay);
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
