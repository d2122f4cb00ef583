//! Client accounts that submit jobs to entry hosts and ask for their states.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use jayfork::connection::{AsyncHttpClient, CallError, HttpReply, HttpRequest, TimeLimit};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use super::run_local;
use super::task::Payload;
use crate::error::Result;
use crate::process::{get_number, number_arg};

/// Time until a client asks another host after no or an open answer, and between two questions for a
/// job's state.
const RETRY_TIME: Duration = Duration::from_millis(100);
const STATE_TIME: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(3);
/// Names of the images of best-effort and serving tasks.
const IMAGES: u64 = 30;
/// Share of the tasks that belong to short jobs, in percent; the others are best-effort tasks.
const SHORT_SHARE: u64 = 12;

pub fn command() -> Command {
    Command::new("load")
        .about("Submits jobs to entry hosts, waits for their ends and prints a summary")
        .arg(
            Arg::new("front")
                .long("front")
                .required(true)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .help("Addresses on which entry hosts listen for clients"),
        )
        .arg(number_arg("tasks", "20", "Tasks submitted per second"))
        .arg(number_arg(
            "serving",
            "0",
            "Jobs of 24 long-running tasks, submitted at the start",
        ))
        .arg(number_arg(
            "run-ms",
            "1700",
            "Run time of the best-effort tasks, in milliseconds",
        ))
        .arg(number_arg("seconds", "10", "Duration of the load"))
        .arg(number_arg(
            "wait-seconds",
            "20",
            "Longest time that the load waits for the last jobs to end",
        ))
        .arg(number_arg("seed", "1", "Seed of the jobs"))
}

pub fn run(matches: &ArgMatches) -> Result<()> {
    let get = |name| get_number(matches, name);
    let fronts = matches.get_many("front").into_iter().flatten().copied();
    let load = Rc::new(Load {
        client: AsyncHttpClient::new(),
        fronts: fronts.collect(),
        rng: RefCell::new(fastrand::Rng::with_seed(get("seed"))),
        totals: RefCell::default(),
    });
    let end = Instant::now() + Duration::from_secs(get("seconds"));
    let last = Duration::from_secs(get("wait-seconds"));
    let (tasks, serving, run_ms) = (get("tasks"), get("serving"), get("run-ms"));
    run_local(async move {
        for index in 0..serving {
            spawn_local(load.clone().follow(Job::serving(index)));
        }
        let short_tasks = tasks * SHORT_SHARE / 100;
        tokio::join!(
            load.submit_until(end, short_tasks, |_| Job::short()),
            load.submit_until(end, tasks - short_tasks, |index| {
                Job::best_effort(index, run_ms)
            }),
        );
        let end = Instant::now() + last;
        while Instant::now() < end && load.totals.borrow().has_open_jobs() {
            sleep(RETRY_TIME).await;
        }
        println!("{}", load.totals.borrow().summary());
    });
    Ok(())
}

/// A job to submit.
struct Job {
    /// Path prefix of its queue.
    queue: &'static str,
    payload: Payload,
    /// Tasks of each step.
    width: u64,
    steps: u64,
    /// Properties that all steps share.
    step: Value,
}

impl Job {
    fn short() -> Self {
        Job {
            queue: "/proofs/",
            payload: Payload {
                run_ms: Some(1_000),
                measurement: 3_200,
            },
            width: 13,
            steps: 1,
            step: json!({ "cpu": 3_200, "memMb": 6_400, "estRuntimeMs": 1_000 }),
        }
    }

    fn best_effort(index: u64, run_ms: u64) -> Self {
        Job {
            queue: "/merges/",
            payload: Payload {
                run_ms: Some(run_ms),
                measurement: 1_800,
            },
            width: 40,
            steps: 2,
            step: json!({
                "cpu": 1_800,
                "memMb": 3_200,
                "estRuntimeMs": run_ms,
                "fills": true,
                "image": format!("merge-{}", index % IMAGES),
            }),
        }
    }

    fn serving(index: u64) -> Self {
        Job {
            queue: "/indexes/",
            payload: Payload {
                run_ms: None,
                measurement: 4,
            },
            width: 24,
            steps: 1,
            step: json!({
                "cpu": 3_200,
                "memMb": 6_400,
                "longRunning": true,
                "targetMs": 18,
                "image": format!("index-{}", index % IMAGES),
                "mayMiss": 2,
            }),
        }
    }

    fn body(&self) -> Value {
        let steps = (0..self.steps).map(|index| {
            let mut step = self.step.clone();
            step["count"] = self.width.into();
            if index > 0 {
                step["dependsOn"] = json!([index - 1]);
            }
            step
        });
        let payload = serde_json::to_string(&self.payload);
        json!({
            "spec": payload.expect("a payload consists of numbers"),
            "steps": steps.collect::<Vec<_>>(),
        })
    }
}

#[derive(Default)]
struct Totals {
    submitted: u64,
    accepted: u64,
    refused: u64,
    completed: u64,
    failed: u64,
    /// Accepted jobs with long-running tasks, which do not end.
    lasting: u64,
    /// Answers by status, 0 for none.
    answers: BTreeMap<u16, u64>,
    /// Time from the submission until a host shows the job as completed, in milliseconds.
    completed_ms: Vec<u64>,
}

impl Totals {
    fn has_open_jobs(&self) -> bool {
        let closed = self.refused + self.completed + self.failed + self.lasting;
        closed < self.submitted
    }

    fn summary(&self) -> Value {
        let mut times = self.completed_ms.clone();
        times.sort_unstable();
        let quantile = |percent: usize| times.get(times.len() * percent / 100);
        json!({
            "submitted": self.submitted,
            "accepted": self.accepted,
            "refused": self.refused,
            "completed": self.completed,
            "failed": self.failed,
            "lasting": self.lasting,
            "answers": self.answers,
            "completed_ms": { "half": quantile(50), "95": quantile(95) },
        })
    }
}

struct Load {
    client: AsyncHttpClient,
    fronts: Vec<SocketAddr>,
    rng: RefCell<fastrand::Rng>,
    totals: RefCell<Totals>,
}

impl Load {
    /// Submits jobs with this many tasks per second.
    async fn submit_until(self: &Rc<Self>, end: Instant, tasks: u64, job: impl Fn(u64) -> Job) {
        let start = Instant::now();
        for index in 0.. {
            let next = job(index);
            let due = (index * next.width * next.steps) as f64 / tasks.max(1) as f64;
            let due = start + Duration::from_secs_f64(due);
            if due >= end || tasks == 0 {
                return;
            }
            sleep_until(due).await;
            spawn_local(self.clone().follow(next));
        }
    }

    /// Submits a job, and asks for its state until it has ended.
    async fn follow(self: Rc<Self>, job: Job) {
        let start = Instant::now();
        let path = format!("{}{:016x}", job.queue, self.rng.borrow_mut().u64(..));
        self.totals.borrow_mut().submitted += 1;
        let body = job.body().to_string();
        loop {
            let reply = self.send("POST", &path, body.clone()).await;
            match reply.map(|reply| reply.status) {
                Ok(200..300) => break,
                Ok(429 | 503) => return self.totals.borrow_mut().refused += 1,
                Ok(400..500) => return self.totals.borrow_mut().failed += 1,
                _ => sleep(RETRY_TIME).await,
            }
        }
        self.totals.borrow_mut().accepted += 1;
        if job.payload.run_ms.is_none() {
            return self.totals.borrow_mut().lasting += 1;
        }
        let state = self.wait_for_end(&path).await;
        let mut totals = self.totals.borrow_mut();
        match state.as_str() {
            "completed" => {
                totals.completed += 1;
                totals.completed_ms.push(start.elapsed().as_millis() as u64);
            }
            _ => totals.failed += 1,
        }
    }

    async fn wait_for_end(&self, path: &str) -> String {
        #[derive(Deserialize)]
        struct StateBody {
            state: String,
        }
        loop {
            sleep(STATE_TIME).await;
            let Ok(reply) = self.send("GET", path, String::new()).await else {
                continue;
            };
            match serde_json::from_slice::<StateBody>(&reply.body) {
                Ok(body) if !matches!(&*body.state, "pending" | "running") => return body.state,
                _ if reply.status == 410 => return "unknown".to_owned(),
                _ => {}
            }
        }
    }

    /// Sends a request to any host.
    async fn send(
        &self,
        method: &'static str,
        path: &str,
        body: String,
    ) -> std::result::Result<HttpReply, CallError> {
        let index = self.rng.borrow_mut().usize(..self.fronts.len());
        let request = HttpRequest {
            method,
            path: path.to_owned(),
            headers: vec![("X-Request-Timeout-Ms", TIMEOUT.as_millis().to_string())],
            body: body.into(),
        };
        let limit = TimeLimit::whole(TIMEOUT);
        let reply = self.client.call(self.fronts[index], request, limit).await;
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        *self.totals.borrow_mut().answers.entry(status).or_default() += 1;
        reply
    }
}
