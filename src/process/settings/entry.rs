//! Settings of an entry host that runs with `--on-platform`.

use std::net::SocketAddr;
use std::path::Path;

use ini::Ini;

use super::address;
use super::error::{Error, Fault, Result};
use super::reader::{self, NAME_FORM, Reader};
use super::settings::{Log, load, read_log};
use super::value::Value;
use crate::base::{Millis, Name};

/// Default, minimum and maximum of `[workers] lease`, in ms.
const LEASE_RANGE: (Millis, Millis, Millis) = (Millis(6_000), Millis(1_000), Millis(600_000));
/// Default, minimum and maximum of `[workers] stop_time`, in ms.
const STOP_TIME_RANGE: (Millis, Millis, Millis) = (Millis(1_000), Millis(1), Millis(60_000));
/// Minimum and maximum of `[workers] evacuation`, in ms. Its default is none.
const EVACUATION_RANGE: (Millis, Millis) = (Millis(1_000), Millis(600_000));
/// Default, minimum and maximum of `[jobs] status_keep`, in ms.
const STATUS_KEEP_RANGE: (Millis, Millis, Millis) =
    (Millis(120_000), Millis(1_000), Millis(86_400_000));

/// Default, minimum and maximum of `[limits] memory`, in bytes.
const MEMORY_RANGE: (u64, u64, u64) = (160 << 20, 32 << 20, 1 << 40);
/// Default, minimum and maximum of `[limits] descriptors`.
const DESCRIPTOR_RANGE: (u32, u32, u32) = (1_024, 256, 1_048_576);

/// Sections and their keys.
const KNOWN_KEYS: &[(&str, Option<&[&str]>)] = &[
    (
        "host",
        Some(&["name", "data_centre", "region", "processor"]),
    ),
    ("listen", Some(&["front", "ready", "peer", "metrics"])),
    ("peers", Some(&["seeds"])),
    ("store", Some(&["address"])),
    ("workers", Some(&["lease", "stop_time", "evacuation"])),
    ("jobs", Some(&["status_keep", "outage_retry"])),
    ("limits", Some(&["memory", "descriptors"])),
    ("log", Some(&["level", "format"])),
];

/// Settings of one entry host on the users' platform.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    pub name: Name,
    pub data_centre: Name,
    pub region: Name,
    /// Number of processor cores that the host may use; can be a fraction.
    pub processor: f64,
    /// Address to listen on for clients.
    pub front: SocketAddr,
    /// Address to listen on for the load balancer, which asks whether the host accepts connections.
    pub ready: SocketAddr,
    /// Address to listen on for peers.
    pub peer: SocketAddr,
    /// Address to listen on for requests for the metrics.
    pub metrics: SocketAddr,
    /// Addresses of peers to contact first; some may be out of date.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum duration of a lease that a worker grants.
    pub lease: Millis,
    /// Maximum time that a worker takes to stop a run.
    pub stop_time: Millis,
    /// Longest time from an operator's request to evacuate a data centre to the last start there, if it is limited.
    pub evacuation: Option<Millis>,
    /// Time for which the outcome of an ended job can be queried.
    pub status_keep: Millis,
    /// Whether clients that are refused in an outage of the store are told to come back by how long it may last.
    pub adapts_retry: bool,
    /// Memory that the process may use, in bytes.
    pub memory: u64,
    /// File descriptors that the process may have open.
    pub descriptors: u32,
    pub log: Log,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// `Error::Invalid` lists all faults of the file, not only the first.
    pub fn open(path: impl AsRef<Path>) -> Result<EntrySettings> {
        let path = path.as_ref();
        read(load(path)?).map_err(|faults| Error::Invalid {
            path: path.to_owned(),
            faults,
        })
    }
}

fn read(ini: Ini) -> std::result::Result<EntrySettings, Vec<Fault>> {
    let mut reader = Reader::new(ini, KNOWN_KEYS);
    let settings = read_entry(&mut reader);
    let faults = reader.faults();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn read_entry(reader: &mut Reader) -> Option<EntrySettings> {
    let name = reader.required("host", "name", NAME_FORM, reader::parse_name);
    let data_centre = reader.required("host", "data_centre", NAME_FORM, reader::parse_name);
    let region = reader.required("host", "region", NAME_FORM, reader::parse_name);
    let processor = reader.number("host", "processor", 1.0, 0.01, 1_024.0);
    let mut address =
        |section, key| reader.required(section, key, address::SOCKET_FORM, address::parse_socket);
    let front = address("listen", "front");
    let ready = address("listen", "ready");
    let peer = address("listen", "peer");
    let metrics = address("listen", "metrics");
    let store = address("store", "address");
    let seeds = reader.optional("peers", "seeds", "addresses, separated by commas", |text| {
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        parts.map(address::parse_socket).collect()
    });
    let lease = reader.number(
        "workers",
        "lease",
        LEASE_RANGE.0,
        LEASE_RANGE.1,
        LEASE_RANGE.2,
    );
    let stop_time = reader.number(
        "workers",
        "stop_time",
        STOP_TIME_RANGE.0,
        STOP_TIME_RANGE.1,
        STOP_TIME_RANGE.2,
    );
    let allowed = "1000 to 600000, or nothing";
    let evacuation = reader.optional("workers", "evacuation", allowed, |text| match text {
        "" => Some(None),
        _ => {
            let (least, most) = EVACUATION_RANGE;
            let bound = Millis::parse(text).filter(|bound| (least..=most).contains(bound));
            bound.map(Some)
        }
    });
    let status_keep = reader.optional("jobs", "status_keep", "1 s to 24 h", |text| {
        Millis::parse(text)
            .filter(|keep| (STATUS_KEEP_RANGE.1..=STATUS_KEEP_RANGE.2).contains(keep))
    });
    let allowed = "adaptive or fixed";
    let adapts_retry = reader.optional("jobs", "outage_retry", allowed, |text| match text {
        "adaptive" => Some(true),
        "fixed" => Some(false),
        _ => None,
    });
    let (default, least, most) = MEMORY_RANGE;
    let memory = reader.number("limits", "memory", default, least, most);
    let (default, least, most) = DESCRIPTOR_RANGE;
    let descriptors = reader.number("limits", "descriptors", default, least, most);
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
        evacuation: evacuation.flatten(),
        status_keep: status_keep.unwrap_or(STATUS_KEEP_RANGE.0),
        adapts_retry: adapts_retry.unwrap_or(false),
        memory,
        descriptors,
        log,
    })
}
