//! Types of numbers in settings, with their text forms.

use crate::base::Millis;

/// A number that a settings file can hold.
pub(super) trait Value: Copy + PartialOrd {
    fn parse(text: &str) -> Option<Self>;

    /// Text form for messages, in the largest unit that gives a whole number.
    fn to_text(self) -> String;
}

impl Value for u32 {
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }

    fn to_text(self) -> String {
        self.to_string()
    }
}

/// Number of bytes, with an optional unit `B`, `KiB` or `MiB`.
impl Value for u64 {
    fn parse(text: &str) -> Option<Self> {
        let (number, unit) = split_unit(text);
        let factor = match unit {
            "" | "B" => 1,
            "KiB" => 1 << 10,
            "MiB" => 1 << 20,
            _ => return None,
        };
        number.parse::<u64>().ok()?.checked_mul(factor)
    }

    fn to_text(self) -> String {
        match self {
            0 => "0".to_owned(),
            n if n % (1 << 20) == 0 => format!("{} MiB", n >> 20),
            n if n % (1 << 10) == 0 => format!("{} KiB", n >> 10),
            n => n.to_string(),
        }
    }
}

impl Value for f64 {
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|n: &f64| n.is_finite())
    }

    fn to_text(self) -> String {
        self.to_string()
    }
}

/// Duration; a number without a unit is in ms.
impl Value for Millis {
    fn parse(text: &str) -> Option<Self> {
        parse_duration(text, 1)
    }

    fn to_text(self) -> String {
        match self.0 {
            0 => "0 ms".to_owned(),
            n if n % 3_600_000 == 0 => format!("{} h", n / 3_600_000),
            n if n % 60_000 == 0 => format!("{} min", n / 60_000),
            n if n % 1_000 == 0 => format!("{} s", n / 1_000),
            n => format!("{n} ms"),
        }
    }
}

/// Parses a duration with a unit `ms`, `s`, `min` or `h`. `default_unit` is the unit, in ms, of a
/// number without one.
pub(super) fn parse_duration(text: &str, default_unit: u64) -> Option<Millis> {
    let (number, unit) = split_unit(text);
    let factor = match unit {
        "" => default_unit,
        "ms" => 1,
        "s" => 1_000,
        "min" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number.parse::<u64>().ok()?.checked_mul(factor).map(Millis)
}

fn split_unit(text: &str) -> (&str, &str) {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    (number, unit.trim())
}
