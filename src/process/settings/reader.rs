//! Access to an INI file that collects every fault.

use std::collections::HashSet;

use ini::Ini;

use crate::base::Name;

use super::error::Fault;
use super::value::Value;

pub(super) const NAME: &str = "1 to 63 letters, digits, '.', '_' or '-'";

/// Names further from every known one than this get no suggestion.
const MAX_DISTANCE: usize = 4;

/// The sections and keys of a file, and the faults found so far.
pub(super) struct Reader {
    ini: Ini,
    faults: Vec<Fault>,
}

impl Reader {
    /// Checks the names of all sections and keys; a section with no key list takes any key.
    pub(super) fn new(ini: Ini, known: &[(&str, Option<&[&str]>)]) -> Self {
        let mut reader = Reader {
            ini,
            faults: Vec::new(),
        };
        reader.check_names(known);
        reader
    }

    pub(super) fn faults(self) -> Vec<Fault> {
        self.faults
    }

    pub(super) fn entries(&self, section: &str) -> Vec<(String, String)> {
        self.ini
            .section(Some(section))
            .into_iter()
            .flat_map(|properties| properties.iter())
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect()
    }

    /// Value of a key, parsed; a missing mandatory key or a value that does not parse is a fault.
    pub(super) fn mandatory<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if self.text(section, key).is_none() {
            self.faults.push(Fault::MissingKey {
                section: section.to_owned(),
                key: key.to_owned(),
                allowed: allowed.to_owned(),
            });
            return None;
        }
        self.optional(section, key, allowed, parse)
    }

    pub(super) fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let text = self.text(section, key)?;
        let value = parse(&text);
        if value.is_none() {
            self.refuse(section, key, &text, allowed);
        }
        value
    }

    /// Number with a default and an inclusive range; the default stands in for a bad value.
    pub(super) fn number<T: Value>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        low: T,
        high: T,
    ) -> T {
        let allowed = format!("{} to {}", low.show(), high.show());
        let parse = |text: &str| T::parse(text).filter(|value| (low..=high).contains(value));
        self.optional(section, key, &allowed, parse)
            .unwrap_or(default)
    }

    pub(super) fn refuse(&mut self, section: &str, key: &str, value: &str, allowed: &str) {
        self.faults.push(Fault::Value {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Records that a value contradicts another key unless `holds`.
    pub(super) fn relate(
        &mut self,
        holds: bool,
        section: &str,
        key: &str,
        value: impl Into<String>,
        rule: impl Into<String>,
    ) {
        if holds {
            return;
        }
        self.faults.push(Fault::Relation {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.into(),
            rule: rule.into(),
        });
    }

    fn text(&self, section: &str, key: &str) -> Option<String> {
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    fn check_names(&mut self, known: &[(&str, Option<&[&str]>)]) {
        let mut faults = Vec::new();
        let sections: Vec<&str> = known.iter().map(|(section, _)| *section).collect();
        let mut seen = HashSet::new();
        for (name, properties) in self.ini.iter() {
            let Some(section) = name else {
                let stray = properties.iter().map(|(key, _)| Fault::NoSection {
                    key: key.to_owned(),
                });
                faults.extend(stray);
                continue;
            };
            // The parser reads a section name up to the next bracket, over the ends of lines.
            if let Some((line, _)) = section.split_once(['\n', '\r']) {
                faults.push(Fault::OpenSection {
                    section: line.to_owned(),
                });
                continue;
            }
            if !seen.insert(section) {
                faults.push(Fault::DuplicateSection {
                    section: section.to_owned(),
                });
            }
            match known.iter().find(|(known, _)| *known == section) {
                Some((_, keys)) => check_keys(section, properties, *keys, &mut faults),
                None => faults.push(Fault::UnknownSection {
                    section: section.to_owned(),
                    nearest: nearest(section, &sections),
                }),
            }
        }
        self.faults = faults;
    }
}

fn check_keys(
    section: &str,
    properties: &ini::Properties,
    known: Option<&[&str]>,
    faults: &mut Vec<Fault>,
) {
    let mut seen = HashSet::new();
    for (key, _) in properties.iter() {
        // The parser joins a line without a separator to the key on the next line.
        if let Some((line, _)) = key.split_once(['\n', '\r']) {
            faults.push(Fault::NoValue {
                section: section.to_owned(),
                line: line.to_owned(),
            });
            continue;
        }
        if !seen.insert(key) {
            faults.push(Fault::DuplicateKey {
                section: section.to_owned(),
                key: key.to_owned(),
            });
        }
        let Some(known) = known.filter(|known| !known.contains(&key)) else {
            continue;
        };
        faults.push(Fault::UnknownKey {
            section: section.to_owned(),
            key: key.to_owned(),
            nearest: nearest(key, known),
        });
    }
}

/// The known name with the least edit distance, if it is close enough to be a typing error.
fn nearest(name: &str, known: &[&str]) -> Option<String> {
    known
        .iter()
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= MAX_DISTANCE.min(name.chars().count() / 2 + 1))
        .min()
        .map(|(_, candidate)| (*candidate).to_owned())
}

pub(crate) fn name(text: &str) -> Option<Name> {
    let legal = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let valid = (1..=63).contains(&text.len()) && text.chars().all(legal);
    valid.then(|| text.into())
}
