//! Arguments of `jayfork`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;

use crate::base::Name;
use crate::process::settings::parse_name;

const EXIT_CODES: &str = "\
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

/// The whole command line.
pub fn command() -> Command {
    Command::new("jayfork")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates jayfork: contracts, jobs, requests, status and reports")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("server")
                .long("server")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append)
                .global(true)
                .help("Entry host or load balancer; repeat it to name further ones to try"),
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

fn contract() -> Command {
    Command::new("contract")
        .about("Check, publish and read contracts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Check contract files without a server")
                .arg(file("file", "Contract files").num_args(1..))
                .after_help("Example:\n  jayfork contract check contracts/*.json"),
        )
        .subcommand(
            Command::new("publish")
                .about("Publish a customer's first contract")
                .arg(file("file", "Contract file, or - for standard input"))
                .after_help("Example:\n  jayfork contract publish proofs.json"),
        )
        .subcommand(
            Command::new("amend")
                .about("Replace a contract, unless somebody else replaced it first")
                .arg(file("file", "Contract file, or - for standard input"))
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64).range(1..))
                        .required(true)
                        .help("Version that the file was made from"),
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
                .arg(name("customer")),
        )
        .subcommand(
            Command::new("history")
                .about("List the versions of a contract that the server still knows")
                .arg(name("customer")),
        )
}

fn job() -> Command {
    let named = |command: Command| command.arg(name("customer")).arg(name("job"));
    Command::new("job")
        .about("Submit and follow batch jobs")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("submit")
                .about("Submit a job; the same job id again names the same job")
                .arg(name("customer"))
                .arg(name("class"))
                .arg(name("job"))
                .arg(count("tasks", "N", "Number of tasks").default_value("1"))
                .arg(
                    count(
                        "processors",
                        "MILLICORES",
                        "Declared processors of each task",
                    )
                    .required(true),
                )
                .arg(count("memory", "MIB", "Declared memory of each task").required(true))
                .arg(
                    count("accelerators", "N", "Declared accelerators of each task")
                        .default_value("0"),
                )
                .arg(
                    Arg::new("run")
                        .long("run")
                        .value_name("SECONDS")
                        .value_parser(value_parser!(u64).range(0..=31_536_000))
                        .default_value("0")
                        .help("Declared run time of each task; 0 for a watcher"),
                )
                .after_help(
                    "Example:\n  jayfork job submit vltava-merges merge club-2026-12 \\\n    \
                     --tasks 40 --processors 500 --memory 512 --run 1800",
                ),
        )
        .subcommand(named(
            Command::new("status").about("Show the tasks of a job"),
        ))
        .subcommand(named(Command::new("cancel").about("Cancel a job")))
        .subcommand(
            Command::new("list")
                .about("List a customer's jobs; asks every --server and adds up their data centres")
                .arg(name("customer")),
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
                .arg(name("customer"))
                .arg(name("class"))
                .arg(
                    file("body", "Request body, or - for standard input")
                        .long("body")
                        .default_value("-"),
                )
                .arg(
                    Arg::new("id")
                        .long("id")
                        .value_name("ID")
                        .value_parser(parse)
                        .help("Request id; the same id again attaches to the running request"),
                )
                .arg(
                    file(
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
                .about("Report error budgets; asks every --server and adds up their counts")
                .arg(
                    file("html", "Write the report as one HTML page with a plot")
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
                .about("Check a settings file and name all its faults")
                .arg(file("file", "Settings file"))
                .after_help("Example:\n  jayfork settings check /etc/jayfork/k1.ini"),
        )
}

fn file(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(id == "file")
        .help(help)
}

fn count(id: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name(value)
        .value_parser(value_parser!(u32))
        .help(help)
}

fn name(id: &'static str) -> Arg {
    Arg::new(id)
        .value_name(id.to_uppercase())
        .value_parser(parse)
        .required(true)
        .help(match id {
            "customer" => "Customer, as its contract names it",
            "class" => "Class of the customer's contract",
            _ => "Job id, chosen by the submitter",
        })
}

/// A name that can stand in a URL path and a header.
fn parse(text: &str) -> Result<Name, InvalidName> {
    parse_name(text).ok_or(InvalidName)
}

#[derive(Debug, thiserror::Error)]
#[error("allowed are 1 to 63 letters, digits, '.', '_' or '-'")]
struct InvalidName;
