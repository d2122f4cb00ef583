//! Failures of a command and their exit codes.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;

use crate::base::{Name, Ran};
use crate::connection::wire::ErrorBody;
use crate::process::settings;

#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    #[error("no server: give --server IP:port or set JAYFORK_SERVERS")]
    NoServer,
    #[error("JAYFORK_SERVERS: {0:?} is not IP:port")]
    Servers(String),
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    #[error("{}: {source}", path.display())]
    Write { path: PathBuf, source: io::Error },
    #[error("{}: {reason}", path.display())]
    Contract { path: PathBuf, reason: String },
    #[error("{} of {total} contract files are not valid", faults.len())]
    Contracts { faults: Vec<Error>, total: usize },
    #[error(transparent)]
    Settings(#[from] settings::Error),
    #[error("{server} found the input at fault: {}", Described(body))]
    BadInput { server: SocketAddr, body: ErrorBody },
    #[error("{server} refused: {}", Described(body))]
    Refused {
        server: SocketAddr,
        status: u16,
        body: ErrorBody,
    },
    #[error(
        "lost the race: version {version} of {customer} is in force, the base was {base}; \
         nothing was changed"
    )]
    LostRace {
        customer: Name,
        base: u64,
        version: u64,
    },
    /// Nothing was sent to any server.
    #[error("no server is reachable: {}", Failures(.0))]
    Unreachable(Vec<Failure>),
    #[error("unknown outcome: {}{}", Failures(.failures), Hint(.hint))]
    Unknown {
        failures: Vec<Failure>,
        /// How to find out, if there is a way.
        hint: Option<String>,
    },
}

pub(super) type Result<T> = std::result::Result<T, Error>;

/// What went wrong with one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Failure {
    pub(super) server: SocketAddr,
    pub(super) reason: String,
}

/// A failure as `--json` writes it to standard error.
#[derive(Debug, Serialize)]
pub(super) struct Report<'a> {
    error: &'a str,
    field: Option<&'a str>,
    reason: String,
    ran: Option<Ran>,
    /// Version that won a race.
    version: Option<u64>,
    exit: u8,
}

impl Error {
    /// 2 for usage or bad input, 3 refused, 4 lost a race, 5 unreachable or unknown outcome.
    pub(super) fn code(&self) -> u8 {
        match self {
            Error::NoServer
            | Error::Servers(_)
            | Error::Read { .. }
            | Error::Write { .. }
            | Error::Contract { .. }
            | Error::Contracts { .. }
            | Error::Settings(_)
            | Error::BadInput { .. } => 2,
            Error::Refused { .. } => 3,
            Error::LostRace { .. } => 4,
            Error::Unreachable(_) | Error::Unknown { .. } => 5,
        }
    }

    pub(super) fn report(&self) -> Report<'_> {
        let body = match self {
            Error::BadInput { body, .. } | Error::Refused { body, .. } => Some(body),
            _ => None,
        };
        let version = match self {
            Error::LostRace { version, .. } => Some(*version),
            _ => None,
        };
        Report {
            error: body.map_or(self.kind(), |body| &body.error),
            field: body.and_then(|body| body.field.as_deref()),
            reason: body.map_or_else(|| self.to_string(), |body| body.reason.clone()),
            ran: body.and_then(|body| body.ran).or(self.ran()),
            version,
            exit: self.code(),
        }
    }

    pub(super) fn with_hint(self, hint: impl FnOnce() -> String) -> Error {
        match self {
            Error::Unknown { failures, .. } => Error::Unknown {
                failures,
                hint: Some(hint()),
            },
            other => other,
        }
    }

    fn kind(&self) -> &'static str {
        match self {
            Error::NoServer | Error::Servers(_) => "usage",
            Error::Read { .. } | Error::Write { .. } => "file",
            Error::Contract { .. } | Error::Contracts { .. } => "invalid_contract",
            Error::Settings(_) => "invalid_settings",
            Error::BadInput { .. } => "bad_input",
            Error::Refused { .. } => "refused",
            Error::LostRace { .. } => "lost_race",
            Error::Unreachable(_) => "unreachable",
            Error::Unknown { .. } => "unknown_outcome",
        }
    }

    fn ran(&self) -> Option<Ran> {
        match self {
            Error::Unreachable(_) => Some(Ran::NotRun),
            Error::Unknown { .. } => Some(Ran::Unknown),
            _ => None,
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.server, self.reason)
    }
}

struct Failures<'a>(&'a [Failure]);

impl fmt::Display for Failures<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, failure) in self.0.iter().enumerate() {
            let separator = if place == 0 { "" } else { "; " };
            write!(f, "{separator}{failure}")?;
        }
        Ok(())
    }
}

struct Hint<'a>(&'a Option<String>);

impl fmt::Display for Hint<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(hint) => write!(f, " ({hint})"),
            None => Ok(()),
        }
    }
}

/// An error body as one line.
struct Described<'a>(&'a ErrorBody);

impl fmt::Display for Described<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(field) = &self.0.field {
            write!(f, "{field}: ")?;
        }
        write!(f, "{} ({})", self.0.reason, self.0.error)?;
        match self.0.ran {
            Some(Ran::NotRun) => f.write_str("; not run"),
            Some(Ran::Unknown) => f.write_str("; may have run"),
            None => Ok(()),
        }
    }
}
