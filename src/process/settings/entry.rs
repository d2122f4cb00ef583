//! Settings of an entry host on the platform.

use std::net::SocketAddr;
use std::path::Path;

use ini::Ini;

use super::address;
use super::error::{Error, Fault, Result};
use super::reader::{self, NAME, Reader};
use super::settings::{Log, load, read_log};
use super::value::Value;
use crate::base::{Millis, Name};

/// Longest lease that a worker may grant by these settings, in ms.
const LEASE: (Millis, Millis, Millis) = (Millis(6_000), Millis(1_000), Millis(600_000));
/// Longest time that a worker takes to stop a run, in ms.
const STOP: (Millis, Millis, Millis) = (Millis(1_000), Millis(1), Millis(60_000));
/// How long the outcome of a job is told, in ms.
const STATUS: (Millis, Millis, Millis) = (Millis(120_000), Millis(1_000), Millis(86_400_000));

const KNOWN: &[(&str, Option<&[&str]>)] = &[
    (
        "host",
        Some(&["name", "data_centre", "region", "processor"]),
    ),
    ("listen", Some(&["front", "ready", "peer", "metrics"])),
    ("peers", Some(&["seeds"])),
    ("store", Some(&["address"])),
    ("workers", Some(&["lease", "stop_time"])),
    ("jobs", Some(&["status_keep"])),
    ("log", Some(&["level", "format"])),
];

/// Settings of one entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    pub name: Name,
    pub data_centre: Name,
    pub region: Name,
    /// Share of a core that the host has.
    pub processor: f64,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address where the balancer asks whether the host takes connections.
    pub ready: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    pub metrics: SocketAddr,
    /// Addresses of hosts to ask first; they may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Longest lease that a worker grants.
    pub lease: Millis,
    /// Longest time that a worker takes to stop a run.
    pub stop_time: Millis,
    /// How long the outcome of an ended job is told.
    pub status_keep: Millis,
    pub log: Log,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// `Invalid` lists every fault of the file, not only the first.
    pub fn open(path: impl AsRef<Path>) -> Result<EntrySettings> {
        let path = path.as_ref();
        read(load(path)?).map_err(|faults| Error::Invalid {
            path: path.to_owned(),
            faults,
        })
    }
}

fn read(ini: Ini) -> std::result::Result<EntrySettings, Vec<Fault>> {
    let mut reader = Reader::new(ini, KNOWN);
    let settings = read_entry(&mut reader);
    let faults = reader.faults();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn read_entry(reader: &mut Reader) -> Option<EntrySettings> {
    let name = reader.mandatory("host", "name", NAME, reader::name);
    let data_centre = reader.mandatory("host", "data_centre", NAME, reader::name);
    let region = reader.mandatory("host", "region", NAME, reader::name);
    let processor = reader.number("host", "processor", 1.0, 0.01, 1_024.0);
    let mut address =
        |section, key| reader.mandatory(section, key, address::SOCKET, address::socket);
    let front = address("listen", "front");
    let ready = address("listen", "ready");
    let peer = address("listen", "peer");
    let metrics = address("listen", "metrics");
    let store = address("store", "address");
    let seeds = reader.optional("peers", "seeds", "addresses, with commas between", |text| {
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        parts.map(address::socket).collect()
    });
    let lease = reader.number("workers", "lease", LEASE.0, LEASE.1, LEASE.2);
    let stop_time = reader.number("workers", "stop_time", STOP.0, STOP.1, STOP.2);
    let status_keep = reader.optional("jobs", "status_keep", "1 s to 24 h", |text| {
        Millis::parse(text).filter(|keep| (STATUS.1..=STATUS.2).contains(keep))
    });
    let log = read_log(reader);
    Some(EntrySettings {
        name: name?,
        data_centre: data_centre?,
        region: region?,
        processor,
        front: front?,
        ready: ready?,
        peer: peer?,
        metrics: metrics?,
        seeds: seeds.unwrap_or_default(),
        store: store?,
        lease,
        stop_time,
        status_keep: status_keep.unwrap_or(STATUS.0),
        log,
    })
}
