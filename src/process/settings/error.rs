//! Errors in settings files.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a settings file was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("settings file {}: {source}", path.display())]
    Read { path: PathBuf, source: io::Error },
    #[error("settings file {}: line {line}: {reason}", path.display())]
    Syntax {
        path: PathBuf,
        line: usize,
        reason: String,
    },
    /// All faults of the file.
    #[error("settings file {}: {}", path.display(), FaultList(faults))]
    Invalid { path: PathBuf, faults: Vec<Fault> },
}

pub type Result<T> = std::result::Result<T, Error>;

/// One fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    #[error("unknown section [{section}]{}", Hint(nearest))]
    UnknownSection {
        section: String,
        nearest: Option<String>,
    },
    #[error("unknown key {key:?} in [{section}]{}", Hint(nearest))]
    UnknownKey {
        section: String,
        key: String,
        nearest: Option<String>,
    },
    #[error("section header \"[{section}\" has no closing bracket")]
    UnclosedSection { section: String },
    #[error("section [{section}] appears more than once")]
    DuplicateSection { section: String },
    #[error("key {key:?} appears more than once in [{section}]")]
    DuplicateKey { section: String, key: String },
    #[error("key {key:?} stands before the first section")]
    KeyBeforeSection { key: String },
    #[error("line {line:?} in [{section}] is not of the form key = value")]
    MissingSeparator { section: String, line: String },
    #[error("missing key {key:?} in [{section}] ({allowed})")]
    MissingKey {
        section: String,
        key: String,
        allowed: String,
    },
    #[error("[{section}] {key} = {value}: allowed is {allowed}")]
    InvalidValue {
        section: String,
        key: String,
        value: String,
        allowed: String,
    },
    /// A valid value that conflicts with another key.
    #[error("[{section}] {key} = {value}: {rule}")]
    Conflict {
        section: String,
        key: String,
        value: String,
        rule: String,
    },
}

/// Displays the suggestion for a misspelt name.
struct Hint<'a>(&'a Option<String>);

impl fmt::Display for Hint<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(nearest) => write!(f, "; did you mean {nearest:?}?"),
            None => Ok(()),
        }
    }
}

/// Displays one fault on the same line, or several on a line each.
struct FaultList<'a>(&'a [Fault]);

impl fmt::Display for FaultList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            [fault] => write!(f, "{fault}"),
            faults => {
                write!(f, "{} faults", faults.len())?;
                faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))
            }
        }
    }
}
