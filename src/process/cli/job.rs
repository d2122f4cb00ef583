//! `jayfork job`.

use std::collections::BTreeMap;

use clap::ArgMatches;
use http::Method;

use crate::base::{Name, Size};
use crate::connection::wire::{JobList, JobState, JobSubmission, JobSummary};
use crate::process::table::{Cell, Table};

use super::client::{Call, Effect};
use super::error::Result;
use super::output::Output;
use super::run::new_client;

pub(super) fn submit(arguments: &ArgMatches, output: Output) -> Result<()> {
    let seconds: &u64 = arguments.get_one("run").expect("run has a default");
    let submission = JobSubmission {
        customer: name_argument(arguments, "customer").clone(),
        class: name_argument(arguments, "class").clone(),
        job: name_argument(arguments, "job").clone(),
        tasks: number_argument(arguments, "tasks"),
        size: Size::new(
            number_argument(arguments, "processors"),
            number_argument(arguments, "memory"),
            number_argument(arguments, "accelerators"),
        ),
        run: seconds * 1_000,
    };
    let body = serde_json::to_vec(&submission).expect("a submission has string keys");
    let call = Call {
        method: Method::POST,
        path: "/v1/jobs".to_owned(),
        request_id: None,
        body: Some(body),
        effect: Effect::Idempotent,
        is_work: true,
    };
    let (customer, job) = (&submission.customer, &submission.job);
    new_client(arguments)?.call(&call).map_err(|error| {
        error.with_hint(|| {
            format!(
                "submit it again with the same job id, or see jayfork job status {customer} {job}"
            )
        })
    })?;
    output.show(&submission, |_| {
        format!("{customer}/{job} accepted, tasks: {}\n", submission.tasks)
    });
    Ok(())
}

pub(super) fn status(arguments: &ArgMatches, output: Output) -> Result<()> {
    let job: JobState = new_client(arguments)?
        .call(&Call::get(job_path(arguments)))?
        .json()?;
    output.show(&job, |colour| task_table(&job, colour));
    Ok(())
}

pub(super) fn cancel(arguments: &ArgMatches, output: Output) -> Result<()> {
    let call = Call {
        method: Method::DELETE,
        effect: Effect::Idempotent,
        ..Call::get(job_path(arguments))
    };
    let job: JobState = new_client(arguments)?
        .call(&call)
        .and_then(|reply| reply.json())
        .map_err(|error| error.with_hint(|| "cancel it again".to_owned()))?;
    output.show(&job, |colour| task_table(&job, colour));
    Ok(())
}

/// Lists the jobs of a customer. All servers are asked, because a job is known only in its home
/// data centre.
pub(super) fn list(arguments: &ArgMatches, output: Output) -> Result<()> {
    let customer = name_argument(arguments, "customer");
    let (lists, errors) =
        new_client(arguments)?.call_all::<JobList>(&format!("/v1/jobs?customer={customer}"))?;
    errors
        .iter()
        .for_each(|error| output.write_message(&error.to_string()));
    let jobs: BTreeMap<Name, JobSummary> = lists
        .into_iter()
        .flat_map(|list| list.jobs)
        .map(|job| (job.job.clone(), job))
        .collect();
    let jobs: Vec<JobSummary> = jobs.into_values().collect();
    output.show(&jobs, |colour| {
        let mut table = Table::new(&[
            "JOB",
            "CLASS",
            "PENDING",
            "CLAIMED",
            "SUCCEEDED",
            "FAILED",
            "CANCELLED",
            "UNKNOWN",
        ]);
        for job in &jobs {
            let counts = job.tasks;
            table.push(vec![
                Cell::text(&job.job),
                Cell::text(&job.class),
                Cell::text(counts.pending.to_string()),
                Cell::text(counts.claimed.to_string()),
                Cell::text(counts.succeeded.to_string()),
                Cell::alert(counts.failed.to_string(), counts.failed > 0),
                Cell::text(counts.cancelled.to_string()),
                Cell::alert(counts.unknown.to_string(), counts.unknown > 0),
            ]);
        }
        table.render(colour)
    });
    Ok(())
}

fn task_table(job: &JobState, colour: bool) -> String {
    let mut table = Table::new(&["TASK", "STATE", "ATTEMPT", "WORKER", "REASON"]);
    for task in &job.tasks {
        let alert = matches!(&*task.state, "failed" | "unknown");
        table.push(vec![
            Cell::text(format!("{}/{}/{}", job.customer, job.job, task.index)),
            Cell::alert(&task.state, alert),
            Cell::text(task.attempt.0.to_string()),
            Cell::text(task.worker.as_deref().unwrap_or("-")),
            Cell::text(task.reason.as_deref().unwrap_or("-")),
        ]);
    }
    table.render(colour)
}

fn job_path(arguments: &ArgMatches) -> String {
    format!(
        "/v1/jobs/{}/{}",
        name_argument(arguments, "customer"),
        name_argument(arguments, "job")
    )
}

fn name_argument<'a>(arguments: &'a ArgMatches, id: &str) -> &'a Name {
    arguments.get_one(id).expect("clap requires the name")
}

fn number_argument(arguments: &ArgMatches, id: &str) -> u32 {
    *arguments.get_one(id).expect("clap requires the number")
}
