//! The settings of one entry host.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use ini::{Ini, ParseOption};
use tracing_subscriber::EnvFilter;

use crate::base::{Millis, Name};

use super::address;
use super::error::{Error, Fault, Result};
use super::limits::Limits;
use super::peers::{self, Peer};
use super::reader::{self, NAME, Reader};
use super::timing::Timing;
use super::value::{Value, duration};

/// Shortest and longest retention of the log that the settings accept, in ms.
const RETENTION: (Millis, Millis) = (Millis(10_000), Millis(30 * 86_400_000));

/// Sections and their keys; `[peers]` takes any host name as key.
const KNOWN: &[(&str, Option<&[&str]>)] = &[
    (
        "host",
        Some(&["name", "data_centre", "region", "incarnation"]),
    ),
    ("listen", Some(&["api", "peer"])),
    ("platform", Some(&["log", "hosts", "retention"])),
    (peers::SECTION, None),
    (Limits::SECTION, Some(Limits::KEYS)),
    (Timing::SECTION, Some(Timing::KEYS)),
    ("log", Some(&["level", "format"])),
];

/// Settings of one entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    pub host: Host,
    pub listen: Listen,
    pub platform: Platform,
    /// All entry hosts, this one included.
    pub peers: Vec<Peer>,
    pub limits: Limits,
    pub timing: Timing,
    pub log: Log,
}

/// Section `[host]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    pub name: Name,
    pub data_centre: Name,
    pub region: Name,
    /// `None`: the process chooses one at start.
    pub incarnation: Option<u64>,
}

/// Section `[listen]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers and operators.
    pub api: SocketAddr,
    /// Address for peer links.
    pub peer: SocketAddr,
}

/// Section `[platform]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of the append-only log, without a trailing slash.
    pub log: String,
    /// Base URL of the host list, without a trailing slash; the list is at `/hosts`.
    pub hosts: String,
    /// Time that the log retains a record.
    pub retention: Millis,
}

/// Section `[log]`: the log lines of the process, not the platform's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Filter in the syntax of `tracing_subscriber::EnvFilter`.
    pub level: String,
    pub format: LogFormat,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    Human,
    Json,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// `Invalid` lists every fault of the file, not only the first.
    pub fn open(path: impl AsRef<Path>) -> Result<Settings> {
        let path = path.as_ref();
        let ini = load(path)?;
        read(ini).map_err(|faults| Error::Invalid {
            path: path.to_owned(),
            faults,
        })
    }

    /// Every section and key that a settings file may have; `[peers]` has no fixed keys.
    pub fn keys() -> impl Iterator<Item = (&'static str, &'static str)> {
        KNOWN.iter().flat_map(|(section, keys)| {
            keys.unwrap_or_default()
                .iter()
                .map(move |key| (*section, *key))
        })
    }

    /// The entries of `[peers]` in this host's data centre, itself included.
    pub fn local_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(|peer| peer.data_centre == self.host.data_centre)
    }
}

/// Parses a file; backslashes and quotes have no special meaning in any value.
pub(super) fn load(path: &Path) -> Result<Ini> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    let option = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    Ini::load_from_str_opt(&text, option).map_err(|error| Error::Syntax {
        path: path.to_owned(),
        line: error.line,
        reason: error.msg.into_owned(),
    })
}

fn read(ini: Ini) -> std::result::Result<Settings, Vec<Fault>> {
    let mut reader = Reader::new(ini, KNOWN);
    let host = read_host(&mut reader);
    let listen = read_listen(&mut reader);
    let platform = read_platform(&mut reader);
    let peers = peers::read(&mut reader);
    let limits = Limits::read(&mut reader);
    let timing = Timing::read(&mut reader);
    let log = read_log(&mut reader);
    check_timing(&mut reader, &timing);
    if let (Some(host), Some(listen)) = (&host, &listen) {
        check_self(&mut reader, host, listen, &peers);
    }
    let own = host.as_ref().map(|host| host.name.clone());
    let mut faults = reader.faults();
    if let Some(name) = own.filter(|name| !names(&peers, &faults, name)) {
        faults.push(peers::missing_self(&name));
    }
    match (host, listen, platform) {
        (Some(host), Some(listen), Some(platform)) if faults.is_empty() => Ok(Settings {
            host,
            listen,
            platform,
            peers,
            limits,
            timing,
            log,
        }),
        _ => Err(faults),
    }
}

/// Whether `[peers]` has an entry for `name`, be it a faulty one.
fn names(peers: &[Peer], faults: &[Fault], name: &Name) -> bool {
    let faulty = |fault: &Fault| {
        matches!(fault, Fault::Value { section, key, .. }
            if section == peers::SECTION && **key == **name)
    };
    peers.iter().any(|peer| peer.name == *name) || faults.iter().any(faulty)
}

fn read_host(reader: &mut Reader) -> Option<Host> {
    let name = reader.mandatory("host", "name", NAME, reader::name);
    let data_centre = reader.mandatory("host", "data_centre", NAME, reader::name);
    let region = reader.mandatory("host", "region", NAME, reader::name);
    let range = "a whole number from 1 to 18446744073709551615";
    let incarnation = reader.optional("host", "incarnation", range, |text| {
        text.parse()
            .ok()
            .filter(|incarnation: &u64| *incarnation > 0)
    });
    Some(Host {
        name: name?,
        data_centre: data_centre?,
        region: region?,
        incarnation,
    })
}

fn read_listen(reader: &mut Reader) -> Option<Listen> {
    let api = reader.mandatory("listen", "api", address::SOCKET, address::socket);
    let peer = reader.mandatory("listen", "peer", address::SOCKET, address::socket);
    let (api, peer) = (api?, peer?);
    reader.relate(
        api != peer,
        "listen",
        "peer",
        peer.to_string(),
        "must differ from [listen] api",
    );
    Some(Listen { api, peer })
}

fn read_platform(reader: &mut Reader) -> Option<Platform> {
    let log = reader.mandatory("platform", "log", address::URL, address::url);
    let hosts = reader.mandatory("platform", "hosts", address::URL, address::url);
    let (low, high) = RETENTION;
    let range = format!(
        "{} to {} (a number without a unit is in s)",
        low.show(),
        high.show()
    );
    let retention = reader.mandatory("platform", "retention", &range, |text| {
        duration(text, 1_000).filter(|retention| (low..=high).contains(retention))
    });
    Some(Platform {
        log: log?,
        hosts: hosts?,
        retention: retention?,
    })
}

pub(super) fn read_log(reader: &mut Reader) -> Log {
    let filter = "a filter such as info or jayfork=debug,warn";
    let level = reader.optional("log", "level", filter, |text| {
        let valid = !text.is_empty() && EnvFilter::try_new(text).is_ok();
        valid.then(|| text.to_owned())
    });
    let format = reader.optional("log", "format", "human or json", |text| match text {
        "human" => Some(LogFormat::Human),
        "json" => Some(LogFormat::Json),
        _ => None,
    });
    Log {
        level: level.unwrap_or_else(|| "info".to_owned()),
        format: format.unwrap_or(LogFormat::Human),
    }
}

fn check_timing(reader: &mut Reader, timing: &Timing) {
    let rules: [(&str, Millis, &str, Millis); 7] = [
        // Two renewals in a row may fail before the lease lapses.
        (
            "lease_ttl",
            timing.lease_ttl,
            "3 x lease_renewal",
            times(timing.lease_renewal, 3),
        ),
        // A takeover must end well before the run leases of the dead holder's tasks lapse.
        (
            "run_ttl",
            timing.run_ttl,
            "2 x (lease_ttl + lease_retry)",
            times(timing.lease_ttl + timing.lease_retry, 2),
        ),
        // One lost heartbeat must not make a peer dead.
        (
            "peer_timeout",
            timing.peer_timeout,
            "3 x hello_interval",
            times(timing.hello_interval, 3),
        ),
        (
            "remote_timeout",
            timing.remote_timeout,
            "3 x remote_interval",
            times(timing.remote_interval, 3),
        ),
        (
            "handback_delay",
            timing.handback_delay,
            "peer_timeout",
            timing.peer_timeout,
        ),
        (
            "quarantine_max",
            timing.quarantine_max,
            "quarantine_min",
            timing.quarantine_min,
        ),
        (
            "append_timeout",
            timing.append_timeout,
            "append_interval",
            timing.append_interval,
        ),
    ];
    for (key, value, rule, least) in rules {
        let rule = format!("must be at least {rule} = {}", least.show());
        reader.relate(value >= least, Timing::SECTION, key, value.show(), rule);
    }
    let left = timing.lease_use();
    reader.relate(
        left > times(timing.lease_renewal, 2),
        Timing::SECTION,
        "lease_margin",
        timing.lease_margin.show(),
        format!(
            "with lease_drift it leaves {} of lease_ttl, which must be more than 2 x lease_renewal = {}",
            left.show(),
            times(timing.lease_renewal, 2).show()
        ),
    );
}

fn times(span: Millis, factor: u64) -> Millis {
    Millis(span.0 * factor)
}

fn check_self(reader: &mut Reader, host: &Host, listen: &Listen, peers: &[Peer]) {
    let Some(own) = peers.iter().find(|peer| peer.name == host.name) else {
        return;
    };
    reader.relate(
        own.data_centre == host.data_centre,
        "host",
        "data_centre",
        &*host.data_centre,
        format!("[peers] {} has data centre {}", own.name, own.data_centre),
    );
    reader.relate(
        own.region == host.region,
        "host",
        "region",
        &*host.region,
        format!("[peers] {} has region {}", own.name, own.region),
    );
    let reached = listen.peer == own.address
        || listen.peer.ip().is_unspecified() && listen.peer.port() == own.address.port();
    reader.relate(
        reached,
        "listen",
        "peer",
        listen.peer.to_string(),
        format!("[peers] {} has address {}", own.name, own.address),
    );
}
