//! The operators' page documents the settings, commands and metrics of the programs.

use jayfork::process::cli;
use jayfork::process::settings::Settings;
use jayfork::process::telemetry;

const OPERATIONS: &str = include_str!("../docs/OPERATIONS.md");

/// Guards against a settings key that was added without documentation.
#[test]
fn documents_every_settings_key() {
    for (section, key) in Settings::keys() {
        assert!(
            OPERATIONS.contains(&format!("`[{section}]`")),
            "[{section}]"
        );
        assert!(
            OPERATIONS.contains(&format!("| `{key}` |")),
            "{key} of [{section}]"
        );
    }
}

/// Guards against a command that was added without documentation.
#[test]
fn documents_every_command() {
    for command in cli::command().get_subcommands() {
        let name = command.get_name();
        assert!(OPERATIONS.contains(&format!("`jayfork {name}")), "{name}");
        for subcommand in command.get_subcommands() {
            let name = format!("`jayfork {name} {}", subcommand.get_name());
            assert!(OPERATIONS.contains(&name), "{name}");
        }
    }
}

/// Guards against a metric that was added without documentation.
#[test]
fn documents_every_metric() {
    for name in [
        telemetry::ANSWERS,
        telemetry::QUEUE_TIME,
        telemetry::REFUSALS,
        telemetry::EVICTIONS,
        telemetry::EVACUATED,
        telemetry::EVACUATING_RUNS,
        telemetry::TASKS_AWAITING_EVACUATED,
        telemetry::ENDED_JOBS,
        telemetry::LEASE_EXPIRIES,
        telemetry::LOG_LAG,
        telemetry::APPEND_TIME,
        telemetry::CONTRACT_AGE,
        telemetry::REGION_BYTES,
        telemetry::RESIDENT_MEMORY,
    ] {
        assert!(OPERATIONS.contains(&format!("| `{name}` |")), "{name}");
    }
}
