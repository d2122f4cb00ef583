//! Command-line client for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    jayfork::process::cli::run(std::env::args_os())
}
