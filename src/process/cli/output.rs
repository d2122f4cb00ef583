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

    /// Writes `value` as JSON or, without `--json`, the text that `human` returns. The argument of
    /// `human` says whether to use colour.
    pub(super) fn show<T: Serialize>(&self, value: &T, human: impl FnOnce(bool) -> String) {
        if self.json {
            let text = serde_json::to_string_pretty(value).expect("wire types have string keys");
            return self.write_text(&(text + "\n"));
        }
        self.write_text(&human(self.colour));
    }

    pub(super) fn write_text(&self, text: &str) {
        self.write_bytes(text.as_bytes());
    }

    /// Writes to standard output. A failed write is ignored, because a reader that needs no more
    /// output closes the pipe.
    pub(super) fn write_bytes(&self, bytes: &[u8]) {
        let mut stdout = io::stdout().lock();
        let _ = stdout.write_all(bytes).and_then(|()| stdout.flush());
    }

    /// Writes a message to standard error.
    ///
    /// Control characters are replaced, because the text may come from a server.
    pub(super) fn write_message(&self, text: &str) {
        let text = text.replace(|c: char| c.is_control() && c != '\n', "?");
        let _ = writeln!(io::stderr(), "jayfork: {text}");
    }

    pub(super) fn write_error(&self, error: &Error) {
        if let (false, Error::Contracts { faults, .. }) = (self.json, error) {
            faults
                .iter()
                .for_each(|fault| self.write_message(&fault.to_string()));
        }
        if self.json {
            let text = serde_json::to_string(&error.report()).expect("a report has string keys");
            let _ = writeln!(io::stderr(), "{text}");
            return;
        }
        self.write_message(&error.to_string());
    }
}
