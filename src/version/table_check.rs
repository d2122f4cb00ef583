//! What is wrong with a configuration of queues although it can be read, and how it differs from another one.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::queues::{Queue, QueueTable};

/// Largest record of a job that the store takes, in bytes. A body is about as large as its record.
const MAX_RECORD: u64 = 262_144;
/// Body of the largest job payload and a step, in bytes.
const MIN_BODY: u64 = 4_400;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Clients of the entry aren't served as it says.
    Error,
    /// It may be meant so.
    Warning,
}

/// One thing that is wrong with an entry.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    pub severity: Severity,
    /// Such as `queue proofs`, `service assembly` or `limits`.
    pub entry: String,
    pub reason: String,
}

/// How an entry differs between two versions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Difference {
    Added(String),
    Removed(String),
    /// The entry, its field, and the values before and now.
    Changed(String, &'static str, String, String),
}

impl QueueTable {
    /// Finds entries that can never match or be served, and limits that contradict each other.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut names: BTreeSet<&str> = BTreeSet::new();
        let mut addresses: HashMap<(String, &str), &Queue> = HashMap::new();
        for queue in &self.queues {
            let entry = queue_entry(queue);
            let mut add = |severity, reason: String| {
                let entry = entry.clone();
                findings.push(Finding {
                    severity,
                    entry,
                    reason,
                });
            };
            if !names.insert(&queue.name) {
                add(
                    Severity::Error,
                    "another queue has this name; the first one counts".into(),
                );
            }
            let address = (queue.host.to_ascii_lowercase(), &*queue.prefix);
            if let Some(other) = addresses.insert(address, queue) {
                let other = &other.name;
                add(
                    Severity::Error,
                    format!(
                        "never matches together with queue {other}, which has the same host and path; the last one counts"
                    ),
                );
            }
            for reason in unmatched(queue) {
                add(Severity::Error, reason);
            }
            let service = self.services.iter().find(|it| it.name == queue.service);
            match service {
                None => add(
                    Severity::Error,
                    format!(
                        "service {} is not configured; its tasks never start",
                        queue.service
                    ),
                ),
                Some(service) if service.is_spare => add(
                    Severity::Error,
                    format!(
                        "service {} is spare; its machines are off and its tasks never start",
                        service.name
                    ),
                ),
                Some(_) => {}
            }
            if !(queue.stretch.is_finite() && queue.stretch >= 0.0) {
                add(
                    Severity::Error,
                    format!("stretch {} is no factor", queue.stretch),
                );
            } else if queue.stretch < 1.0 && queue.objective == 0 {
                add(
                    Severity::Warning,
                    format!(
                        "stretch {} without a constant part: no job can meet its objective",
                        queue.stretch
                    ),
                );
            }
        }
        findings.extend(self.check_services());
        findings.extend(self.check_limits());
        findings.sort();
        findings
    }

    fn check_services(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut names = BTreeSet::new();
        let used: BTreeSet<_> = self.queues.iter().map(|queue| &queue.service).collect();
        for service in &self.services {
            let mut add = |severity, reason: &str| {
                findings.push(Finding {
                    severity,
                    entry: format!("service {}", service.name),
                    reason: reason.to_owned(),
                });
            };
            if !names.insert(&service.name) {
                add(
                    Severity::Error,
                    "another service has this name; the first one counts",
                );
            }
            if !used.contains(&service.name) && !service.is_spare {
                add(Severity::Warning, "no queue uses it; its workers stay idle");
            }
        }
        findings
    }

    fn check_limits(&self) -> Option<Finding> {
        let (severity, reason) = match self.max_body {
            body if body < MIN_BODY => (
                Severity::Error,
                format!(
                    "bodies of {body} bytes hold no job with the largest payload; it needs {MIN_BODY}"
                ),
            ),
            body if body > MAX_RECORD => (
                Severity::Warning,
                format!(
                    "bodies of {body} bytes are allowed, but the store takes records of {MAX_RECORD} only"
                ),
            ),
            _ => return None,
        };
        Some(Finding {
            severity,
            entry: "limits".to_owned(),
            reason,
        })
    }

    /// How this version differs from the one in force.
    pub fn differences(&self, current: &QueueTable) -> Vec<Difference> {
        let mut differences = compare(&current.entries(), &self.entries());
        if self.version <= current.version {
            let (before, now) = (current.version.to_string(), self.version.to_string());
            differences.insert(
                0,
                Difference::Changed("configuration".into(), "version", before, now),
            );
        }
        differences
    }

    /// The fields of all entries as text.
    fn entries(&self) -> BTreeMap<String, Vec<(&'static str, String)>> {
        let queues = self.queues.iter().map(|queue| {
            let fields = vec![
                ("host", queue.host.to_string()),
                ("path", queue.prefix.to_string()),
                ("service", queue.service.to_string()),
                ("priority", queue.priority.to_string()),
                ("objective", queue.objective.to_string()),
                ("stretch", queue.stretch.to_string()),
                ("attempts", queue.attempts.to_string()),
                ("advice", queue.has_advice.to_string()),
            ];
            (queue_entry(queue), fields)
        });
        let services = self.services.iter().map(|service| {
            let fields = vec![
                ("spare", service.is_spare.to_string()),
                ("connections", service.connections.to_string()),
            ];
            (format!("service {}", service.name), fields)
        });
        let limits = (
            "limits".to_owned(),
            vec![("body", self.max_body.to_string())],
        );
        queues.chain(services).chain([limits]).collect()
    }
}

type Entries = BTreeMap<String, Vec<(&'static str, String)>>;

fn compare(before: &Entries, now: &Entries) -> Vec<Difference> {
    let removed = before.keys().filter(|entry| !now.contains_key(*entry));
    let mut differences: Vec<Difference> = removed.cloned().map(Difference::Removed).collect();
    for (entry, fields) in now {
        let Some(former) = before.get(entry) else {
            differences.push(Difference::Added(entry.clone()));
            continue;
        };
        let pairs = former.iter().zip(fields);
        let changed = pairs.filter(|((_, before), (_, now))| before != now);
        differences.extend(changed.map(|((field, before), (_, now))| {
            Difference::Changed(entry.clone(), field, before.clone(), now.clone())
        }));
    }
    differences.sort();
    differences
}

fn queue_entry(queue: &Queue) -> String {
    format!("queue {}", queue.name)
}

/// Why no request can reach a queue: hosts compare the host name without its port, and the path without its query.
fn unmatched(queue: &Queue) -> Vec<String> {
    let mut reasons = Vec::new();
    let (host, prefix) = (&*queue.host, &*queue.prefix);
    if host.is_empty() || host.contains([':', '/', ' ']) {
        reasons.push(format!(
            "never matches: {host:?} is no host name without a port"
        ));
    }
    if !prefix.starts_with('/') {
        reasons.push(format!(
            "never matches: path {prefix:?} does not begin with a slash"
        ));
    }
    if prefix.contains(['?', '#', ' ']) {
        reasons.push(format!(
            "never matches: path {prefix:?} has characters that no path has"
        ));
    }
    reasons
}
