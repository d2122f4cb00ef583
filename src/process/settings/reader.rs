//! Reads values of an INI file and collects all faults.

use std::collections::HashSet;

use ini::Ini;

use crate::base::Name;

use super::error::Fault;
use super::value::Value;

/// Form of a valid name.
pub(super) const NAME_FORM: &str = "1 to 63 letters, digits, '.', '_' or '-'";

/// Maximum edit distance between an unknown name and a known one that is suggested instead.
const MAX_EDIT_DISTANCE: usize = 4;

/// A parsed INI file and the faults found so far.
pub(super) struct Reader {
    ini: Ini,
    faults: Vec<Fault>,
}

impl Reader {
    /// Checks the names of all sections and keys. In a section without a key list, any key is
    /// allowed.
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

    /// All keys of a section with their values.
    pub(super) fn entries(&self, section: &str) -> Vec<(String, String)> {
        self.ini
            .section(Some(section))
            .into_iter()
            .flat_map(|properties| properties.iter())
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect()
    }

    /// Parses the value of a required key. A missing key or an invalid value is a fault.
    pub(super) fn required<T>(
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

    /// Parses the value of an optional key. An invalid value is a fault.
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
            self.reject(section, key, &text, allowed);
        }
        value
    }

    /// Parses a number between `low` and `high`, inclusive. Returns the default if the key is
    /// missing or its value is invalid, which is a fault.
    pub(super) fn number<T: Value>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        low: T,
        high: T,
    ) -> T {
        let allowed = format!("{} to {}", low.to_text(), high.to_text());
        let parse = |text: &str| T::parse(text).filter(|value| (low..=high).contains(value));
        self.optional(section, key, &allowed, parse)
            .unwrap_or(default)
    }

    /// Records an invalid value; `allowed` describes the valid ones.
    pub(super) fn reject(&mut self, section: &str, key: &str, value: &str, allowed: &str) {
        self.faults.push(Fault::InvalidValue {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Records a value that conflicts with another key, unless `holds`. `rule` says what is
    /// violated.
    pub(super) fn check_rule(
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
        self.faults.push(Fault::Conflict {
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
                let misplaced = properties.iter().map(|(key, _)| Fault::KeyBeforeSection {
                    key: key.to_owned(),
                });
                faults.extend(misplaced);
                continue;
            };
            // Without a closing bracket, the parser reads the section name up to the next bracket
            // on any later line.
            if let Some((line, _)) = section.split_once(['\n', '\r']) {
                faults.push(Fault::UnclosedSection {
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
        // The parser joins a line without `=` to the key on the next line.
        if let Some((line, _)) = key.split_once(['\n', '\r']) {
            faults.push(Fault::MissingSeparator {
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

/// Known name with the smallest edit distance, if it is small enough for a typing error.
fn nearest(name: &str, known: &[&str]) -> Option<String> {
    known
        .iter()
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= MAX_EDIT_DISTANCE.min(name.chars().count() / 2 + 1))
        .min()
        .map(|(_, candidate)| (*candidate).to_owned())
}

/// Parses a name of the form `NAME_FORM`.
pub(crate) fn parse_name(text: &str) -> Option<Name> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let valid = (1..=63).contains(&text.len()) && text.chars().all(is_allowed);
    valid.then(|| text.into())
}
