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
    /// Path of the invalid field.
    pub fn field(&self) -> Option<&str> {
        match self {
            Error::Json { .. } => None,
            Error::Missing { field } | Error::Unknown { field } => Some(field),
            Error::Type { field, .. } | Error::Range { field, .. } => Some(field),
        }
    }
}

pub type Result<T> = std::result::Result<T, Error>;

/// What a customer has been promised. The customer's limits are derived from it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    pub customer: Name,
    /// Data centres where the customer's work may run.
    pub data_centres: Vec<Name>,
    /// Resources that the customer's batch tasks may reserve, summed over all data centres.
    pub quota: Size,
    pub classes: Vec<Class>,
}

/// One class of requests or tasks in a contract.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: Name,
    pub urgency: Urgency,
    /// Service that answers the requests of an urgent class; `None` for batch classes.
    #[serde(default)]
    pub service: Option<Name>,
    /// Time in ms within which urgent requests must be answered.
    #[serde(default)]
    pub deadline: Option<Millis>,
    /// Whether requests or tasks are non-idempotent and must not be repeated.
    #[serde(default)]
    pub at_most_once: bool,
    /// Fraction of requests or tasks that must meet the contract, below 1.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: u64,
    /// Failed attempts after which a restartable task fails.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A caller waits for the answer.
    Urgent,
    /// May wait, but must finish.
    Deferrable,
    /// Runs only on capacity that other work leaves unused.
    Background,
    /// Runs without an end. It must be noticed if it stops.
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
const MAX_NAME_LENGTH: usize = 64;
const MAX_DATA_CENTRES: usize = 64;
const MAX_CLASSES: usize = 64;
/// Allowed deadlines in ms. A shorter one can't be met, since the network delay to clients is 3 ms.
/// The longest one limits how long a connection waits.
const DEADLINE_RANGE: RangeInclusive<u64> = 10..=600_000;
const ATTEMPTS_RANGE: RangeInclusive<u32> = 1..=100;

impl Contract {
    /// Reads a contract from JSON and validates it.
    pub fn parse(json: &[u8]) -> Result<Contract> {
        let contract = Contract::read(json)?;
        contract.validate()?;
        Ok(contract)
    }

    /// Reads a contract from JSON without checking the allowed ranges.
    ///
    /// Log records are read this way, so that an accepted contract stays in force when a later
    /// release narrows a range.
    pub fn read(json: &[u8]) -> Result<Contract> {
        let reason = match serde_json::from_slice(json) {
            Ok(contract) => return Ok(contract),
            Err(error) => error.to_string(),
        };
        match serde_json::from_slice::<Value>(json) {
            Ok(value) => find_invalid_field(value).and(Err(Error::Json { reason })),
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
        let has_batch = self
            .classes
            .iter()
            .any(|class| class.urgency != Urgency::Urgent);
        if !has_batch {
            return Ok(());
        }
        // Without quota, no task of a batch class could ever start.
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
        let is_urgent = self.urgency == Urgency::Urgent;
        match &self.service {
            Some(service) if is_urgent => check_name(&field("service"), service)?,
            None if is_urgent => {
                return Err(Error::Missing {
                    field: field("service"),
                });
            }
            Some(service) => return Err(only_urgent_error(&field("service"), service)),
            None => {}
        }
        match self.deadline {
            Some(deadline) if is_urgent => {
                check_range(&field("deadline"), deadline.0, DEADLINE_RANGE, "ms")?
            }
            None if is_urgent => {
                return Err(Error::Missing {
                    field: field("deadline"),
                });
            }
            Some(deadline) => return Err(only_urgent_error(&field("deadline"), deadline.0)),
            None => {}
        }
        // A watcher that stops is started again, so it can't be at-most-once.
        if self.urgency == Urgency::Watcher && self.at_most_once {
            return Err(range_error(
                &field("at_most_once"),
                true,
                "false for a watcher",
            ));
        }
        // With more decimals, the value could change when the contract is written and read again.
        let rounded = (self.objective * 1e6).round() / 1e6;
        if !(0.5..1.0).contains(&self.objective) || rounded != self.objective {
            let allowed = "at least 0.5 and below 1, with at most 6 decimals";
            return Err(range_error(&field("objective"), self.objective, allowed));
        }
        check_range(&field("max_body"), self.max_body, 1..=MAX_BODY, "bytes")?;
        check_range(
            &field("max_attempts"),
            self.max_attempts,
            ATTEMPTS_RANGE,
            "attempts",
        )
    }
}

fn range_error(field: &str, value: impl Display, allowed: &str) -> Error {
    Error::Range {
        field: field.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}

fn only_urgent_error(field: &str, value: impl Display) -> Error {
    range_error(field, value, "no value, since the class is not urgent")
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
    Err(range_error(field, value, &allowed))
}

fn check_name(field: &str, name: &str) -> Result<()> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if (1..=MAX_NAME_LENGTH).contains(&name.len()) && name.chars().all(is_allowed) {
        return Ok(());
    }
    let allowed = format!("1 to {MAX_NAME_LENGTH} of the characters a-z, A-Z, 0-9, -, _ and .");
    Err(range_error(field, format!("{name:?}"), &allowed))
}

fn check_unique<'a>(list: &str, suffix: &str, names: impl Iterator<Item = &'a Name>) -> Result<()> {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        let field = format!("{list}[{i}]{suffix}");
        check_name(&field, name)?;
        if !seen.insert(name) {
            return Err(range_error(
                &field,
                format!("{name:?}"),
                "a name that occurs once",
            ));
        }
    }
    Ok(())
}

/// Returns an error that names the first invalid field of `value`.
fn find_invalid_field(value: Value) -> Result<()> {
    let mut map = expect_object("contract", value)?;
    take::<Name>(&mut map, "", "customer", true)?;
    take::<Vec<Name>>(&mut map, "", "data_centres", true)?;
    let quota = take::<Value>(&mut map, "", "quota", true)?;
    let classes = take::<Vec<Value>>(&mut map, "", "classes", true)?;
    reject_unknown(&map, "")?;
    let mut quota = expect_object("quota", quota.unwrap_or_default())?;
    for key in ["processors", "memory", "accelerators"] {
        take::<u32>(&mut quota, "quota.", key, false)?;
    }
    reject_unknown(&quota, "quota.")?;
    for (i, class) in classes.unwrap_or_default().into_iter().enumerate() {
        find_invalid_class_field(&format!("classes[{i}]"), class)?;
    }
    Ok(())
}

fn find_invalid_class_field(field: &str, value: Value) -> Result<()> {
    let mut map = expect_object(field, value)?;
    let path = format!("{field}.");
    take::<Name>(&mut map, &path, "name", true)?;
    take::<Urgency>(&mut map, &path, "urgency", true)?;
    take::<Option<Name>>(&mut map, &path, "service", false)?;
    take::<Option<Millis>>(&mut map, &path, "deadline", false)?;
    take::<bool>(&mut map, &path, "at_most_once", false)?;
    take::<f64>(&mut map, &path, "objective", false)?;
    take::<u64>(&mut map, &path, "max_body", false)?;
    take::<u32>(&mut map, &path, "max_attempts", false)?;
    reject_unknown(&map, &path)
}

/// Returns the members of a JSON object.
fn expect_object(field: &str, value: Value) -> Result<Map<String, Value>> {
    match value {
        Value::Object(map) => Ok(map),
        value => Err(Error::Type {
            field: field.to_owned(),
            value: value.to_string(),
            reason: "expected an object".to_owned(),
        }),
    }
}

/// Removes the member `key` from `map` and checks its type.
fn take<T: DeserializeOwned>(
    map: &mut Map<String, Value>,
    path: &str,
    key: &str,
    is_required: bool,
) -> Result<Option<T>> {
    let field = format!("{path}{key}");
    let Some(value) = map.remove(key) else {
        return if is_required {
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

/// Fails if `map` has a member left, since that member is unknown.
fn reject_unknown(map: &Map<String, Value>, path: &str) -> Result<()> {
    match map.keys().next() {
        Some(key) => Err(Error::Unknown {
            field: format!("{path}{key}"),
        }),
        None => Ok(()),
    }
}
