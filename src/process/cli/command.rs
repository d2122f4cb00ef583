//! Commands and arguments of `jayfork`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

use crate::base::Name;
use crate::process::settings::parse_name;

/// Text at the end of `jayfork --help`.
const HELP_FOOTER: &str = "\
Exit codes:
  0  done
  2  usage or bad input
  3  refused; nothing was done
  4  lost a race; nothing was done
  5  no server reachable, or the outcome is unknown

Environment:
  JAYFORK_SERVERS  comma-separated IP:port list, used without --server
  NO_COLOR         no colour on a terminal

Examples:
  jayfork --server 10.1.0.7:7300 status
  jayfork contract check proofs.json && jayfork contract publish proofs.json
  jayfork contract show vltava-proofs > proofs.json
  jayfork contract amend proofs.json --base 3
  jayfork job submit vltava-merges merge club-2026-12 --tasks 40 --processors 500 --memory 512
  jayfork request send vltava-proofs proof --body page.pdf > answer.pdf
  jayfork report burn --html burn.html";

/// Definition of all commands and arguments.
pub fn command() -> Command {
    Command::new("jayfork")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates jayfork: contracts, jobs, requests, status and reports")
        .after_help(HELP_FOOTER)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("server")
                .long("server")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append)
                .global(true)
                .help("Entry host or load balancer; repeat the option to give further ones to try"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64).range(1..=300))
                .default_value("30")
                .global(true)
                .help("Time limit of each call"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Write results and errors as JSON"),
        )
        .subcommand(configuration())
        .subcommand(contract())
        .subcommand(job())
        .subcommand(request())
        .subcommand(
            Command::new("status")
                .about(
                    "Show hosts, leases, capacity, tasks and contracts as one entry host sees them",
                )
                .after_help("Example:\n  jayfork --server 10.1.0.7:7300 status"),
        )
        .subcommand(
            Command::new("evacuations")
                .about("Show the data centres that are evacuated, and what is left there")
                .after_help(
                    "The servers are the metrics addresses of entry hosts on the platform. Only the owner of the \
                     shard knows how far an evacuation is, so give all of them.\n\nExample:\n  \
                     jayfork --server 10.1.0.13:7720 --server 10.2.0.30:7720 evacuations",
                ),
        )
        .subcommand(report())
        .subcommand(settings())
        .subcommand(
            Command::new("completion")
                .about("Write a completion script for a shell")
                .arg(
                    Arg::new("shell")
                        .value_name("SHELL")
                        .value_parser(value_parser!(Shell))
                        .required(true),
                )
                .after_help("Example:\n  jayfork completion bash > /etc/bash_completion.d/jayfork"),
        )
}

fn configuration() -> Command {
    Command::new("configuration")
        .about("Check configurations of queues for hosts on the platform")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("List errors, entries that can never match, and what differs from the version in force")
                .arg(file_argument("file", "Configuration, or - for standard input"))
                .arg(
                    file_argument("against", "Version in force, to compare with")
                        .long("against")
                        .required(false),
                )
                .after_help("Example:\n  jayfork configuration check next.json --against current.json"),
        )
}

fn contract() -> Command {
    Command::new("contract")
        .about("Check, publish and read contracts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Check contract files without a server")
                .arg(file_argument("file", "Contract files").num_args(1..))
                .after_help("Example:\n  jayfork contract check contracts/*.json"),
        )
        .subcommand(
            Command::new("publish")
                .about("Publish a customer's first contract")
                .arg(file_argument(
                    "file",
                    "Contract file, or - for standard input",
                ))
                .after_help("Example:\n  jayfork contract publish proofs.json"),
        )
        .subcommand(
            Command::new("amend")
                .about("Replace a contract, unless somebody else replaced it first")
                .arg(file_argument(
                    "file",
                    "Contract file, or - for standard input",
                ))
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64).range(1..))
                        .required(true)
                        .help("Version that the file is based on"),
                )
                .after_help(
                    "Example:\n  jayfork contract show vltava-proofs > proofs.json\n  \
                     jayfork contract amend proofs.json --base 3",
                ),
        )
        .subcommand(Command::new("list").about("List the contracts in force"))
        .subcommand(
            Command::new("show")
                .about("Write the contract in force; its version goes to standard error")
                .arg(name_argument("customer")),
        )
        .subcommand(
            Command::new("history")
                .about("List the versions of a contract that the server still knows")
                .arg(name_argument("customer")),
        )
}

fn job() -> Command {
    let with_job = |command: Command| {
        command
            .arg(name_argument("customer"))
            .arg(name_argument("job"))
    };
    Command::new("job")
        .about("Submit and follow batch jobs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("submit")
                .about("Submit a job; submitting the same job id again creates no second job")
                .arg(name_argument("customer"))
                .arg(name_argument("class"))
                .arg(name_argument("job"))
                .arg(number_option("tasks", "N", "Number of tasks").default_value("1"))
                .arg(
                    number_option(
                        "processors",
                        "MILLICORES",
                        "Declared processors of each task",
                    )
                    .required(true),
                )
                .arg(number_option("memory", "MIB", "Declared memory of each task").required(true))
                .arg(
                    number_option("accelerators", "N", "Declared accelerators of each task")
                        .default_value("0"),
                )
                .arg(
                    Arg::new("run")
                        .long("run")
                        .value_name("SECONDS")
                        .value_parser(value_parser!(u64).range(0..=31_536_000))
                        .default_value("0")
                        .help("Declared run time of each task; 0 for a watcher, which has no end"),
                )
                .after_help(
                    "Example:\n  jayfork job submit vltava-merges merge club-2026-12 \\\n    \
                     --tasks 40 --processors 500 --memory 512 --run 1800",
                ),
        )
        .subcommand(with_job(
            Command::new("status").about("Show the tasks of a job"),
        ))
        .subcommand(with_job(Command::new("cancel").about("Cancel a job")))
        .subcommand(
            Command::new("list")
                .about("List a customer's jobs in the data centres of all given servers")
                .arg(name_argument("customer")),
        )
}

fn request() -> Command {
    Command::new("request")
        .about("Send urgent requests")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("send")
                .about("Send a request and write its whole answer")
                .arg(name_argument("customer"))
                .arg(name_argument("class"))
                .arg(
                    file_argument("body", "Request body, or - for standard input")
                        .long("body")
                        .default_value("-"),
                )
                .arg(
                    Arg::new("id")
                        .long("id")
                        .value_name("ID")
                        .value_parser(parse_name_argument)
                        .help(
                            "Request id; if a request with this id is running, wait for its answer",
                        ),
                )
                .arg(
                    file_argument(
                        "output",
                        "Where to write the answer instead of standard output",
                    )
                    .long("output")
                    .required(false),
                )
                .after_help(
                    "Example:\n  jayfork request send vltava-proofs proof --body page.pdf \
                     --output proof.pdf",
                ),
        )
}

fn report() -> Command {
    Command::new("report")
        .about("Write reports")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("burn")
                .about("Report error budgets, with the counts of all given servers added up")
                .arg(
                    file_argument("html", "Write the report as one HTML page with a plot")
                        .long("html")
                        .required(false),
                )
                .after_help(
                    "Example:\n  jayfork --server 10.1.0.7:7300 --server 10.1.0.8:7300 report burn \
                     --html burn.html",
                ),
        )
}

fn settings() -> Command {
    Command::new("settings")
        .about("Work with settings files of jayforkd")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Check a settings file and list all its faults")
                .arg(file_argument("file", "Settings file"))
                .after_help("Example:\n  jayfork settings check /etc/jayfork/k1.ini"),
        )
}

fn file_argument(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(id == "file")
        .help(help)
}

fn number_option(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name(value)
        .value_parser(value_parser!(u32))
        .help(help)
}

fn name_argument(id: &'static str) -> Arg {
    Arg::new(id)
        .value_name(id.to_uppercase())
        .value_parser(parse_name_argument)
        .required(true)
        .help(match id {
            "customer" => "Name of the customer in its contract",
            "class" => "Class of the customer's contract",
            _ => "Job id, chosen by the submitter",
        })
}

/// Parses a name that is valid in a URL path and in a header.
fn parse_name_argument(text: &str) -> Result<Name, InvalidName> {
    parse_name(text).ok_or(InvalidName)
}

#[derive(Debug, thiserror::Error)]
#[error("allowed are 1 to 63 letters, digits, '.', '_' or '-'")]
struct InvalidName;
