//! Section `[peers]`: all entry hosts of the organisation.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::base::Name;

use super::address;
use super::error::Fault;
use super::reader::{self, Reader};

pub(super) const SECTION: &str = "peers";
const FORM: &str = "data_centre, region, IP:port";

/// An entry host as every other entry host knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    pub name: Name,
    pub data_centre: Name,
    pub region: Name,
    /// Where it accepts peer links.
    pub address: SocketAddr,
}

pub(super) fn read(reader: &mut Reader) -> Vec<Peer> {
    let mut peers = Vec::new();
    for (key, value) in reader.entries(SECTION) {
        if key.contains(['\n', '\r']) {
            continue;
        }
        match parse(&key, &value) {
            Some(peer) => peers.push(peer),
            None if reader::name(&key).is_none() => {
                reader.refuse(
                    SECTION,
                    &key,
                    &value,
                    &format!("a host name of {}", reader::NAME),
                );
            }
            None => reader.refuse(SECTION, &key, &value, FORM),
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
        name: reader::name(key)?,
        data_centre: reader::name(data_centre)?,
        region: reader::name(region)?,
        address: address::socket(address).filter(|address| !address.ip().is_unspecified())?,
    })
}

fn check_addresses(reader: &mut Reader, peers: &[Peer]) {
    let mut owners: HashMap<SocketAddr, &Peer> = HashMap::new();
    for peer in peers {
        let owner = *owners.entry(peer.address).or_insert(peer);
        reader.relate(
            owner.name == peer.name,
            SECTION,
            &peer.name,
            peer.address.to_string(),
            format!("{} has the same address", owner.name),
        );
    }
}

fn check_regions(reader: &mut Reader, peers: &[Peer]) {
    let mut regions: HashMap<&Name, &Peer> = HashMap::new();
    for peer in peers {
        let first = *regions.entry(&peer.data_centre).or_insert(peer);
        reader.relate(
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

/// The fault of a file whose `[peers]` section does not name the host itself.
pub(super) fn missing_self(host: &Name) -> Fault {
    Fault::MissingKey {
        section: SECTION.to_owned(),
        key: host.to_string(),
        allowed: format!("the host itself must be listed, as {FORM}"),
    }
}
