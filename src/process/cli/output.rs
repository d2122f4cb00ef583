//! Standard output and standard error of a command.

use std::env;
use std::io::{self, IsTerminal, Write};

use serde::Serialize;

use super::error::Error;

/// How a command writes its result.
#[derive(Debug, Clone, Copy)]
pub(super) struct Output {
    json: bool,
    colour: bool,
}

impl Output {
    pub(super) fn new(json: bool) -> Self {
        let colour = io::stdout().is_terminal() && env::var_os("NO_COLOR").is_none();
        Output { json, colour }
    }

    /// Writes `value` as JSON, or the text that `human` makes of it; `human` is told whether to
    /// use colour.
    pub(super) fn show<T: Serialize>(&self, value: &T, human: impl FnOnce(bool) -> String) {
        if self.json {
            let text = serde_json::to_string_pretty(value).expect("wire types have string keys");
            return self.text(&(text + "\n"));
        }
        self.text(&human(self.colour));
    }

    pub(super) fn text(&self, text: &str) {
        self.bytes(text.as_bytes());
    }

    /// A reader that closed the pipe has what it wants, so a failed write is no error.
    pub(super) fn bytes(&self, bytes: &[u8]) {
        let mut stdout = io::stdout().lock();
        let _ = stdout.write_all(bytes).and_then(|()| stdout.flush());
    }

    /// Writes a line for people to standard error.
    ///
    /// Control characters are replaced, because a reason may come from elsewhere.
    pub(super) fn note(&self, text: &str) {
        let text = text.replace(|c: char| c.is_control() && c != '\n', "?");
        let _ = writeln!(io::stderr(), "jayfork: {text}");
    }

    pub(super) fn error(&self, error: &Error) {
        if let (false, Error::Contracts { faults, .. }) = (self.json, error) {
            faults
                .iter()
                .for_each(|fault| self.note(&fault.to_string()));
        }
        if self.json {
            let text = serde_json::to_string(&error.report()).expect("a report has string keys");
            let _ = writeln!(io::stderr(), "{text}");
            return;
        }
        self.note(&error.to_string());
    }
}
