//! Section `[peers]`: all entry hosts of the organisation, including this one.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::base::Name;

use super::address;
use super::error::Fault;
use super::reader::{self, Reader};

pub(super) const SECTION: &str = "peers";
const ENTRY_FORM: &str = "data_centre, region, IP:port";

/// An entry host in `[peers]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    pub name: Name,
    pub data_centre: Name,
    pub region: Name,
    /// Address on which it accepts connections of peers.
    pub address: SocketAddr,
}

pub(super) fn read(reader: &mut Reader) -> Vec<Peer> {
    let mut peers = Vec::new();
    for (key, value) in reader.entries(SECTION) {
        // `Reader` has already reported such a key as `MissingSeparator`.
        if key.contains(['\n', '\r']) {
            continue;
        }
        match parse(&key, &value) {
            Some(peer) => peers.push(peer),
            None if reader::parse_name(&key).is_none() => {
                reader.reject(
                    SECTION,
                    &key,
                    &value,
                    &format!("a host name of {}", reader::NAME_FORM),
                );
            }
            None => reader.reject(SECTION, &key, &value, ENTRY_FORM),
        }
    }
    check_addresses(reader, &peers);
    check_regions(reader, &peers);
    peers
}

fn parse(key: &str, value: &str) -> Option<Peer> {
    let mut parts = value.split(',').map(str::trim);
    let (Some(data_centre), Some(region), Some(address), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return None;
    };
    Some(Peer {
        name: reader::parse_name(key)?,
        data_centre: reader::parse_name(data_centre)?,
        region: reader::parse_name(region)?,
        address: address::parse_socket(address).filter(|address| !address.ip().is_unspecified())?,
    })
}

fn check_addresses(reader: &mut Reader, peers: &[Peer]) {
    let mut seen: HashMap<SocketAddr, &Peer> = HashMap::new();
    for peer in peers {
        let first_peer = *seen.entry(peer.address).or_insert(peer);
        reader.check_rule(
            first_peer.name == peer.name,
            SECTION,
            &peer.name,
            peer.address.to_string(),
            format!("{} has the same address", first_peer.name),
        );
    }
}

fn check_regions(reader: &mut Reader, peers: &[Peer]) {
    let mut regions: HashMap<&Name, &Peer> = HashMap::new();
    for peer in peers {
        let first = *regions.entry(&peer.data_centre).or_insert(peer);
        reader.check_rule(
            first.region == peer.region,
            SECTION,
            &peer.name,
            format!("{}, {}", peer.data_centre, peer.region),
            format!(
                "{} puts data centre {} into region {}",
                first.name, peer.data_centre, first.region
            ),
        );
    }
}

/// Fault of a file whose `[peers]` section has no entry for the host itself.
pub(super) fn missing_own_entry(host: &Name) -> Fault {
    Fault::MissingKey {
        section: SECTION.to_owned(),
        key: host.to_string(),
        allowed: format!("the host itself must be listed, as {ENTRY_FORM}"),
    }
}
