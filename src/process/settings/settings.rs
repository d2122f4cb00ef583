//! Settings of an entry host that runs without `--on-platform`.

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
use super::reader::{self, NAME_FORM, Reader};
use super::timing::Timing;
use super::value::{Value, parse_duration};

/// Minimum and maximum of `[platform] retention`, in ms.
const RETENTION_RANGE: (Millis, Millis) = (Millis(10_000), Millis(30 * 86_400_000));

/// Sections and their keys; in `[peers]`, any host name can be a key.
const KNOWN_KEYS: &[(&str, Option<&[&str]>)] = &[
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
    /// All entry hosts, including this one.
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
    /// `None` if the process has to choose one when it starts.
    pub incarnation: Option<u64>,
}

/// Section `[listen]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listen {
    /// Address to listen on for callers and operators.
    pub api: SocketAddr,
    /// Address to listen on for peers.
    pub peer: SocketAddr,
}

/// Section `[platform]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of the append-only log, without a trailing slash.
    pub log: String,
    /// Base URL of the host list, without a trailing slash and without `/hosts`.
    pub hosts: String,
    /// Time for which the log keeps a record.
    pub retention: Millis,
}

/// Section `[log]`: log messages of the process, not the platform's append-only log.
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
    /// `Error::Invalid` lists all faults of the file, not only the first.
    pub fn open(path: impl AsRef<Path>) -> Result<Settings> {
        let path = path.as_ref();
        let ini = load(path)?;
        read(ini).map_err(|faults| Error::Invalid {
            path: path.to_owned(),
            faults,
        })
    }

    /// All sections and keys that a settings file can have, except `[peers]`, which has no fixed
    /// keys.
    pub fn keys() -> impl Iterator<Item = (&'static str, &'static str)> {
        KNOWN_KEYS.iter().flat_map(|(section, keys)| {
            keys.unwrap_or_default()
                .iter()
                .map(move |key| (*section, *key))
        })
    }

    /// Entry hosts of this host's data centre, including itself.
    pub fn local_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers
            .iter()
            .filter(|peer| peer.data_centre == self.host.data_centre)
    }
}

/// Reads and parses a file. Backslashes and quotes in values have no special meaning.
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
    let mut reader = Reader::new(ini, KNOWN_KEYS);
    let host = read_host(&mut reader);
    let listen = read_listen(&mut reader);
    let platform = read_platform(&mut reader);
    let peers = peers::read(&mut reader);
    let limits = Limits::read(&mut reader);
    let timing = Timing::read(&mut reader);
    let log = read_log(&mut reader);
    check_timing(&mut reader, &timing);
    if let (Some(host), Some(listen)) = (&host, &listen) {
        check_own_entry(&mut reader, host, listen, &peers);
    }
    let own_name = host.as_ref().map(|host| host.name.clone());
    let mut faults = reader.faults();
    if let Some(name) = own_name.filter(|name| !has_entry(&peers, &faults, name)) {
        faults.push(peers::missing_own_entry(&name));
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

/// Whether `[peers]` has an entry for `name`, valid or not.
fn has_entry(peers: &[Peer], faults: &[Fault], name: &Name) -> bool {
    let is_invalid_entry = |fault: &Fault| {
        matches!(fault, Fault::InvalidValue { section, key, .. }
            if section == peers::SECTION && **key == **name)
    };
    peers.iter().any(|peer| peer.name == *name) || faults.iter().any(is_invalid_entry)
}

fn read_host(reader: &mut Reader) -> Option<Host> {
    let name = reader.required("host", "name", NAME_FORM, reader::parse_name);
    let data_centre = reader.required("host", "data_centre", NAME_FORM, reader::parse_name);
    let region = reader.required("host", "region", NAME_FORM, reader::parse_name);
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
    let api = reader.required("listen", "api", address::SOCKET_FORM, address::parse_socket);
    let peer = reader.required(
        "listen",
        "peer",
        address::SOCKET_FORM,
        address::parse_socket,
    );
    let (api, peer) = (api?, peer?);
    reader.check_rule(
        api != peer,
        "listen",
        "peer",
        peer.to_string(),
        "must differ from [listen] api",
    );
    Some(Listen { api, peer })
}

fn read_platform(reader: &mut Reader) -> Option<Platform> {
    let log = reader.required("platform", "log", address::URL_FORM, address::parse_url);
    let hosts = reader.required("platform", "hosts", address::URL_FORM, address::parse_url);
    let (low, high) = RETENTION_RANGE;
    let range = format!(
        "{} to {} (a number without a unit is in s)",
        low.to_text(),
        high.to_text()
    );
    let retention = reader.required("platform", "retention", &range, |text| {
        parse_duration(text, 1_000).filter(|retention| (low..=high).contains(retention))
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

/// Checks the conditions between several keys of `[timing]`.
fn check_timing(reader: &mut Reader, timing: &Timing) {
    let rules: [(&str, Millis, &str, Millis); 7] = [
        // The lease must not expire unless more than two renewals in a row fail.
        (
            "lease_ttl",
            timing.lease_ttl,
            "3 x lease_renewal",
            multiply(timing.lease_renewal, 3),
        ),
        // A takeover must end well before the run leases of the dead holder's tasks expire.
        (
            "run_ttl",
            timing.run_ttl,
            "2 x (lease_ttl + lease_retry)",
            multiply(timing.lease_ttl + timing.lease_retry, 2),
        ),
        // A peer must not count as dead because one heartbeat was lost.
        (
            "peer_timeout",
            timing.peer_timeout,
            "3 x hello_interval",
            multiply(timing.hello_interval, 3),
        ),
        (
            "remote_timeout",
            timing.remote_timeout,
            "3 x remote_interval",
            multiply(timing.remote_interval, 3),
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
    for (key, value, rule, minimum) in rules {
        let rule = format!("must be at least {rule} = {}", minimum.to_text());
        reader.check_rule(
            value >= minimum,
            Timing::SECTION,
            key,
            value.to_text(),
            rule,
        );
    }
    let usable = timing.usable_lease_time();
    reader.check_rule(
        usable > multiply(timing.lease_renewal, 2),
        Timing::SECTION,
        "lease_margin",
        timing.lease_margin.to_text(),
        format!(
            "with lease_drift it leaves {} of lease_ttl, which must be more than 2 x lease_renewal = {}",
            usable.to_text(),
            multiply(timing.lease_renewal, 2).to_text()
        ),
    );
}

fn multiply(span: Millis, factor: u64) -> Millis {
    Millis(span.0 * factor)
}

/// Checks that the entry of the host itself in `[peers]` agrees with `[host]` and `[listen]`.
fn check_own_entry(reader: &mut Reader, host: &Host, listen: &Listen, peers: &[Peer]) {
    let Some(own) = peers.iter().find(|peer| peer.name == host.name) else {
        return;
    };
    reader.check_rule(
        own.data_centre == host.data_centre,
        "host",
        "data_centre",
        &*host.data_centre,
        format!("[peers] {} has data centre {}", own.name, own.data_centre),
    );
    reader.check_rule(
        own.region == host.region,
        "host",
        "region",
        &*host.region,
        format!("[peers] {} has region {}", own.name, own.region),
    );
    let is_same = listen.peer == own.address
        || listen.peer.ip().is_unspecified() && listen.peer.port() == own.address.port();
    reader.check_rule(
        is_same,
        "listen",
        "peer",
        listen.peer.to_string(),
        format!("[peers] {} has address {}", own.name, own.address),
    );
}
