//! Errors of a command and their exit codes.

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
    #[error("{}: {reason}", path.display())]
    Configuration { path: PathBuf, reason: String },
    #[error("{} of {total} contract files are not valid", faults.len())]
    Contracts { faults: Vec<Error>, total: usize },
    #[error(transparent)]
    Settings(#[from] settings::Error),
    #[error("{server} rejected the input: {}", ErrorLine(body))]
    BadInput { server: SocketAddr, body: ErrorBody },
    #[error("{server} refused: {}", ErrorLine(body))]
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
    /// No server received the call.
    #[error("no server is reachable: {}", Failures(.0))]
    Unreachable(Vec<Failure>),
    #[error("unknown outcome: {}{}", Failures(.failures), Hint(.hint))]
    Unknown {
        failures: Vec<Failure>,
        /// How the operator can find out the outcome, if possible.
        hint: Option<String>,
    },
}

pub(super) type Result<T> = std::result::Result<T, Error>;

/// Why a call to one server failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Failure {
    pub(super) server: SocketAddr,
    pub(super) reason: String,
}

/// Error that `--json` writes to standard error.
#[derive(Debug, Serialize)]
pub(super) struct ErrorReport<'a> {
    error: &'a str,
    field: Option<&'a str>,
    reason: String,
    ran: Option<Ran>,
    /// Version in force, if the error is a lost race.
    version: Option<u64>,
    exit: u8,
}

impl Error {
    /// Exit code: 2 for wrong usage or bad input, 3 if refused, 4 for a lost race, 5 if no server
    /// is reachable or the outcome is unknown.
    pub(super) fn exit_code(&self) -> u8 {
        match self {
            Error::NoServer
            | Error::Servers(_)
            | Error::Read { .. }
            | Error::Write { .. }
            | Error::Contract { .. }
            | Error::Configuration { .. }
            | Error::Contracts { .. }
            | Error::Settings(_)
            | Error::BadInput { .. } => 2,
            Error::Refused { .. } => 3,
            Error::LostRace { .. } => 4,
            Error::Unreachable(_) | Error::Unknown { .. } => 5,
        }
    }

    pub(super) fn report(&self) -> ErrorReport<'_> {
        let body = match self {
            Error::BadInput { body, .. } | Error::Refused { body, .. } => Some(body),
            _ => None,
        };
        let version = match self {
            Error::LostRace { version, .. } => Some(*version),
            _ => None,
        };
        ErrorReport {
            error: body.map_or(self.name(), |body| &body.error),
            field: body.and_then(|body| body.field.as_deref()),
            reason: body.map_or_else(|| self.to_string(), |body| body.reason.clone()),
            ran: body.and_then(|body| body.ran).or(self.ran()),
            version,
            exit: self.exit_code(),
        }
    }

    /// Adds a hint to an unknown outcome; other errors stay unchanged.
    pub(super) fn with_hint(self, hint: impl FnOnce() -> String) -> Error {
        match self {
            Error::Unknown { failures, .. } => Error::Unknown {
                failures,
                hint: Some(hint()),
            },
            other => other,
        }
    }

    /// Name of the error, for errors that do not come from a server.
    fn name(&self) -> &'static str {
        match self {
            Error::NoServer | Error::Servers(_) => "usage",
            Error::Read { .. } | Error::Write { .. } => "file",
            Error::Contract { .. } | Error::Contracts { .. } => "invalid_contract",
            Error::Configuration { .. } => "invalid_configuration",
            Error::Settings(_) => "invalid_settings",
            Error::BadInput { .. } => "bad_input",
            Error::Refused { .. } => "refused",
            Error::LostRace { .. } => "lost_race",
            Error::Unreachable(_) => "unreachable",
            Error::Unknown { .. } => "unknown_outcome",
        }
    }

    /// Whether work may have run, for errors that do not come from a server.
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

/// Displays failures on one line.
struct Failures<'a>(&'a [Failure]);

impl fmt::Display for Failures<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, failure) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{failure}")?;
        }
        Ok(())
    }
}

/// Displays a hint in parentheses.
struct Hint<'a>(&'a Option<String>);

impl fmt::Display for Hint<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(hint) => write!(f, " ({hint})"),
            None => Ok(()),
        }
    }
}

/// Displays an error body on one line.
struct ErrorLine<'a>(&'a ErrorBody);

impl fmt::Display for ErrorLine<'_> {
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
