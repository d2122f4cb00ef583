//! A customer's contract and its validation.

use std::collections::HashSet;
use std::fmt::Display;
use std::ops::RangeInclusive;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::base::{Millis, Name, Size};

/// Why a contract is refused. `field` is a path such as `classes[1].deadline`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("not JSON: {reason}")]
    Json { reason: String },
    #[error("{field} is missing")]
    Missing { field: String },
    #[error("{field} is unknown")]
    Unknown { field: String },
    #[error("{field} is {value}: {reason}")]
    Type {
        field: String,
        value: String,
        reason: String,
    },
    #[error("{field} is {value}; allowed is {allowed}")]
    Range {
        field: String,
        value: String,
        allowed: String,
    },
}

impl Error {
    /// Path of the field at fault.
    pub fn field(&self) -> Option<&str> {
        match self {
            Error::Json { .. } => None,
            Error::Missing { field } | Error::Unknown { field } => Some(field),
            Error::Type { field, .. } | Error::Range { field, .. } => Some(field),
        }
    }
}

pub type Result<T> = std::result::Result<T, Error>;

/// What a customer was promised; every limit follows from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    pub customer: Name,
    /// Data centres where the customer's work may run.
    pub data_centres: Vec<Name>,
    /// Sum over all data centres of what the customer's batch tasks may reserve.
    pub quota: Size,
    pub classes: Vec<Class>,
}

/// One kind of work in a contract.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: Name,
    pub urgency: Urgency,
    /// Service that answers urgent requests; `None` for batch classes.
    #[serde(default)]
    pub service: Option<Name>,
    /// Time in ms by which urgent work must be answered.
    #[serde(default)]
    pub deadline: Option<Millis>,
    /// Whether the work is non-idempotent and must not be repeated.
    #[serde(default)]
    pub at_most_once: bool,
    /// Share of requests or tasks that must meet the contract, below 1.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: u64,
    /// Attempts that a failing restartable task gets.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A caller waits for the answer.
    Urgent,
    /// May wait, must finish.
    Deferrable,
    /// Runs in what is left over.
    Background,
    /// Runs without an end; its stopping must be noticed.
    Watcher,
}

fn default_objective() -> f64 {
    0.99
}

fn default_max_body() -> u64 {
    MAX_BODY
}

fn default_max_attempts() -> u32 {
    5
}

/// Largest body of a request or an answer, in bytes.
pub const MAX_BODY: u64 = 16 * 1024 * 1024;

/// Longest name of a customer, data centre, class or service, in bytes.
const MAX_NAME: usize = 64;
const MAX_DATA_CENTRES: usize = 64;
const MAX_CLASSES: usize = 64;
/// Deadlines in ms. Clients are 3 ms away, so a shorter one cannot be met; the longest bounds how
/// long a connection waits.
const DEADLINE: RangeInclusive<u64> = 10..=600_000;
const ATTEMPTS: RangeInclusive<u32> = 1..=100;

impl Contract {
    /// Reads a contract from JSON and validates it.
    pub fn parse(json: &[u8]) -> Result<Contract> {
        let contract = Contract::read(json)?;
        contract.validate()?;
        Ok(contract)
    }

    /// Reads a contract from JSON without regard to the allowed ranges.
    ///
    /// A record on the log is read this way: a contract that was accepted stays in force when a
    /// later release narrows a range.
    pub fn read(json: &[u8]) -> Result<Contract> {
        let reason = match serde_json::from_slice(json) {
            Ok(contract) => return Ok(contract),
            Err(error) => error.to_string(),
        };
        match serde_json::from_slice::<Value>(json) {
            Ok(value) => locate(value).and(Err(Error::Json { reason })),
            Err(_) => Err(Error::Json { reason }),
        }
    }

    /// Checks every value against its allowed range.
    pub fn validate(&self) -> Result<()> {
        check_name("customer", &self.customer)?;
        let count = self.data_centres.len();
        check_range("data_centres", count, 1..=MAX_DATA_CENTRES, "entries")?;
        check_unique("data_centres", "", self.data_centres.iter())?;
        check_range("classes", self.classes.len(), 1..=MAX_CLASSES, "entries")?;
        check_unique(
            "classes",
            ".name",
            self.classes.iter().map(|class| &class.name),
        )?;
        for (i, class) in self.classes.iter().enumerate() {
            class.validate(&format!("classes[{i}]"))?;
        }
        let batch = self
            .classes
            .iter()
            .any(|class| class.urgency != Urgency::Urgent);
        if !batch {
            return Ok(());
        }
        // A batch class without quota could never start a task.
        check_range(
            "quota.processors",
            self.quota.processors,
            1..=u32::MAX,
            "millicores",
        )?;
        check_range("quota.memory", self.quota.memory, 1..=u32::MAX, "MiB")
    }
}

impl Class {
    fn validate(&self, path: &str) -> Result<()> {
        let field = |name: &str| format!("{path}.{name}");
        let urgent = self.urgency == Urgency::Urgent;
        match &self.service {
            Some(service) if urgent => check_name(&field("service"), service)?,
            None if urgent => {
                return Err(Error::Missing {
                    field: field("service"),
                });
            }
            Some(service) => return Err(only_urgent(&field("service"), service)),
            None => {}
        }
        match self.deadline {
            Some(deadline) if urgent => {
                check_range(&field("deadline"), deadline.0, DEADLINE, "ms")?
            }
            None if urgent => {
                return Err(Error::Missing {
                    field: field("deadline"),
                });
            }
            Some(deadline) => return Err(only_urgent(&field("deadline"), deadline.0)),
            None => {}
        }
        // A watcher that stops is started again.
        if self.urgency == Urgency::Watcher && self.at_most_once {
            return Err(range(&field("at_most_once"), true, "false for a watcher"));
        }
        // More decimals could change when the contract is written and read again.
        let rounded = (self.objective * 1e6).round() / 1e6;
        if !(0.5..1.0).contains(&self.objective) || rounded != self.objective {
            let allowed = "at least 0.5 and below 1, with at most 6 decimals";
            return Err(range(&field("objective"), self.objective, allowed));
        }
        check_range(&field("max_body"), self.max_body, 1..=MAX_BODY, "bytes")?;
        check_range(
            &field("max_attempts"),
            self.max_attempts,
            ATTEMPTS,
            "attempts",
        )
    }
}

fn range(field: &str, value: impl Display, allowed: &str) -> Error {
    Error::Range {
        field: field.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}

fn only_urgent(field: &str, value: impl Display) -> Error {
    range(field, value, "no value, since the class is not urgent")
}

fn check_range<T: PartialOrd + Display>(
    field: &str,
    value: T,
    allowed: RangeInclusive<T>,
    unit: &str,
) -> Result<()> {
    if allowed.contains(&value) {
        return Ok(());
    }
    let allowed = format!("{} to {} {unit}", allowed.start(), allowed.end());
    Err(range(field, value, &allowed))
}

fn check_name(field: &str, name: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if (1..=MAX_NAME).contains(&name.len()) && name.chars().all(allowed) {
        return Ok(());
    }
    let allowed = format!("1 to {MAX_NAME} of the characters a-z, A-Z, 0-9, -, _ and .");
    Err(range(field, format!("{name:?}"), &allowed))
}

fn check_unique<'a>(list: &str, suffix: &str, names: impl Iterator<Item = &'a Name>) -> Result<()> {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        let field = format!("{list}[{i}]{suffix}");
        check_name(&field, name)?;
        if !seen.insert(name) {
            return Err(range(
                &field,
                format!("{name:?}"),
                "a name that occurs once",
            ));
        }
    }
    Ok(())
}

/// Finds the field that keeps `value` from being a contract.
fn locate(value: Value) -> Result<()> {
    let mut map = object("contract", value)?;
    take::<Name>(&mut map, "", "customer", true)?;
    take::<Vec<Name>>(&mut map, "", "data_centres", true)?;
    let quota = take::<Value>(&mut map, "", "quota", true)?;
    let classes = take::<Vec<Value>>(&mut map, "", "classes", true)?;
    no_more(&map, "")?;
    let mut quota = object("quota", quota.unwrap_or_default())?;
    for key in ["processors", "memory", "accelerators"] {
        take::<u32>(&mut quota, "quota.", key, false)?;
    }
    no_more(&quota, "quota.")?;
    for (i, class) in classes.unwrap_or_default().into_iter().enumerate() {
        locate_class(&format!("classes[{i}]"), class)?;
    }
    Ok(())
}

fn locate_class(field: &str, value: Value) -> Result<()> {
    let mut map = object(field, value)?;
    let path = format!("{field}.");
    take::<Name>(&mut map, &path, "name", true)?;
    take::<Urgency>(&mut map, &path, "urgency", true)?;
    take::<Option<Name>>(&mut map, &path, "service", false)?;
    take::<Option<Millis>>(&mut map, &path, "deadline", false)?;
    take::<bool>(&mut map, &path, "at_most_once", false)?;
    take::<f64>(&mut map, &path, "objective", false)?;
    take::<u64>(&mut map, &path, "max_body", false)?;
    take::<u32>(&mut map, &path, "max_attempts", false)?;
    no_more(&map, &path)
}

fn object(field: &str, value: Value) -> Result<Map<String, Value>> {
    match value {
        Value::Object(map) => Ok(map),
        value => Err(Error::Type {
            field: field.to_owned(),
            value: value.to_string(),
            reason: "expected an object".to_owned(),
        }),
    }
}

fn take<T: DeserializeOwned>(
    map: &mut Map<String, Value>,
    path: &str,
    key: &str,
    required: bool,
) -> Result<Option<T>> {
    let field = format!("{path}{key}");
    let Some(value) = map.remove(key) else {
        return if required {
            Err(Error::Missing { field })
        } else {
            Ok(None)
        };
    };
    let text = value.to_string();
    serde_json::from_value(value)
        .map(Some)
        .map_err(|error| Error::Type {
            field,
            value: text,
            reason: error.to_string(),
        })
}

fn no_more(map: &Map<String, Value>, path: &str) -> Result<()> {
    match map.keys().next() {
        Some(key) => Err(Error::Unknown {
            field: format!("{path}{key}"),
        }),
        None => Ok(()),
    }
}
