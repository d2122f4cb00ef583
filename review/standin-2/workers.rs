//! Minions, as PROTOCOL.md describes them: fence, leases, runs, ends, gangs and checkpoints.
//!
//! The text of a job's `spec` tells how its tasks run: `{"ms":900}`, `{"lasts":true}`, and for gangs
//! `"gang":N` with the number of members.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Bounds of the small site file, in milliseconds.
pub const HOLD_MAX: u64 = 6_000;
pub const STOP: u64 = 400;
pub const GANG: u64 = 3_000;
const SAVE: u64 = 2_000;
const RESTORE: u64 = 250;
const HEARTBEAT: Duration = Duration::from_millis(1_500);

#[derive(Clone, PartialEq)]
pub struct Kind {
    pub cpu: u64,
    pub label: String,
}

pub struct Run {
    pub task: String,
    pub run: u64,
    pub spec: Json,
    /// The saved progress that the start carried.
    resumed: Option<String>,
    /// Work done before `since`, in milliseconds.
    base: u64,
    /// When it began to work; `None` while a gang is not complete.
    since: Option<Instant>,
    started: Instant,
    saved: String,
    saves: u64,
    stop_at: Option<Instant>,
    speed: u64,
    done: f64,
    last_tick: Instant,
}

pub struct End {
    number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    saved: String,
}

/// One life of a minion.
pub struct Life {
    pub born: u64,
    started: Instant,
    pub kind: Kind,
    token: u64,
    lease: u64,
    pub runs: Vec<Run>,
    ends: Vec<End>,
    last_end: u64,
    closed: HashMap<String, u64>,
    seq: u64,
}

pub struct Minion {
    pub id: String,
    pub address: SocketAddr,
    pub life: Mutex<Option<Life>>,
    /// When it last wrote its entry; `None` if the store has none of it.
    last_beat: Mutex<Option<Instant>>,
    changed: Condvar,
    is_open: Arc<AtomicBool>,
    /// Whether it answers starts with 503 and does nothing.
    is_refusing: AtomicBool,
}

/// All minions of the deployment.
pub struct Fleet {
    pub minions: Vec<Arc<Minion>>,
    pub record: Arc<Record>,
    store: Arc<Store>,
    service: String,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The step of a task, without the index.
pub fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

impl Life {
    fn new(kind: Kind) -> Life {
        Life {
            born: unix_ms(),
            started: Instant::now(),
            kind,
            token: 0,
            lease: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
            seq: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until: Option<u64>) {
        if let Some(until) = until {
            self.lease = self.lease.max(until.min(self.clock() + HOLD_MAX));
        }
    }

    /// Ends a run; `how` as in the lists of ends.
    fn end(&mut self, index: usize, how: &'static str) -> (String, u64) {
        let run = self.runs.remove(index);
        self.last_end += 1;
        let closed = self.closed.entry(run.task.clone()).or_default();
        *closed = run.run.max(*closed);
        self.ends.push(End {
            number: self.last_end,
            task: run.task.clone(),
            run: run.run,
            how,
            saved: run.saved,
        });
        (run.task, run.run)
    }

    /// Sum of the processors of what runs here, including what is being stopped.
    pub fn used(&self) -> u64 {
        self.runs.iter().map(|run| run.spec.num("cpu").unwrap_or(0)).sum()
    }
}

impl Run {
    fn work(&self) -> u64 {
        self.base + self.done as u64
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if let Some(since) = self.since {
            let from = self.last_tick.max(since);
            self.done += now.saturating_duration_since(from).as_secs_f64() * 10.0 * self.speed as f64;
        }
        self.last_tick = now;
        if self.spec.flag("saves") && self.work() / SAVE > self.saves {
            self.saves = self.work() / SAVE;
            self.save();
        }
    }

    /// Makes a new value of the checkpoint; no two values are the same.
    fn save(&mut self) {
        static COUNT: Mutex<u64> = Mutex::new(0);
        let mut count = COUNT.lock().unwrap();
        *count += 1;
        self.saved = format!("{:08x}{:08x}", self.work(), *count);
    }

    fn percent(&self) -> u64 {
        match self.spec.num("ms") {
            Some(total) => (self.work() * 100 / total.max(1)).min(99),
            None => 100,
        }
    }
}

impl Minion {
    /// Ends the process of the minion: its port refuses connections until `start`.
    pub fn crash(&self) {
        *self.life.lock().unwrap() = None;
        self.is_open.store(false, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn set_refusing(&self, is_refusing: bool) {
        self.is_refusing.store(is_refusing, Ordering::SeqCst);
    }

    pub fn is_idle(&self) -> bool {
        self.life.lock().unwrap().as_ref().is_some_and(|life| life.runs.is_empty())
    }

    pub fn runs_task(&self, task: &str) -> bool {
        let life = self.life.lock().unwrap();
        life.iter().any(|life| life.runs.iter().any(|run| run.task == task))
    }
}

impl Fleet {
    pub fn open(count: usize, service: &str, kind: &Kind, store: Arc<Store>, record: Arc<Record>) -> Arc<Fleet> {
        let mut minions = Vec::new();
        for index in 0..count {
            minions.push(Arc::new(Minion {
                id: format!("i-{:08x}", 0x7f00_0000 + index),
                address: crate::system::free_address(),
                life: Mutex::new(None),
                last_beat: Mutex::new(None),
                changed: Condvar::new(),
                is_open: Arc::default(),
                is_refusing: AtomicBool::new(false),
            }));
        }
        let service = service.to_owned();
        let fleet = Arc::new(Fleet { minions, record, store, service });
        for minion in &fleet.minions {
            fleet.start(minion, kind.clone());
        }
        let ticking = fleet.clone();
        std::thread::spawn(move || {
            loop {
                ticking.tick();
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        fleet
    }

    /// Starts a minion under its id and at its address, with nothing that it knew before.
    pub fn start(self: &Arc<Self>, minion: &Arc<Minion>, kind: Kind) {
        let listener = loop {
            match TcpListener::bind(minion.address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(20)),
            }
        };
        minion.is_open.store(true, Ordering::SeqCst);
        let life = Life::new(kind);
        self.record.line(&format!("minion {} starts, cpu {}, kind {}", minion.id, life.kind.cpu, life.kind.label));
        *minion.life.lock().unwrap() = Some(life);
        self.beat(minion);
        let (fleet, serving) = (self.clone(), minion.clone());
        let is_open = minion.is_open.clone();
        std::thread::spawn(move || {
            let is_open = move || is_open.load(Ordering::SeqCst);
            http::serve(listener, is_open, move |request| fleet.answer(&serving, &request));
        });
    }

    /// Writes the minion's entry.
    fn beat(&self, minion: &Minion) {
        let mut guard = minion.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return;
        };
        life.seq += 1;
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"dc-0","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{{"cpu":{},"memMb":64000,"gpu":0}},"labels":["{}","r0-1"],"clockMs":{},"seq":{},"born":{}}}"#,
            self.service, minion.address, life.kind.cpu, life.kind.label, life.clock(), life.seq, life.born
        );
        if self.store.put("keyed.servers", &minion.id, &entry) {
            *minion.last_beat.lock().unwrap() = Some(Instant::now());
        }
    }

    fn tick(&self) {
        let mut gangs: BTreeMap<(String, u64), Vec<(usize, usize)>> = BTreeMap::new();
        let mut lives: Vec<_> = self.minions.iter().map(|minion| minion.life.lock().unwrap()).collect();
        let mut ended: Vec<(String, u64, &'static str, String)> = Vec::new();
        for (slot, life) in lives.iter_mut().enumerate() {
            let Some(life) = life.as_mut() else {
                continue;
            };
            let id = &self.minions[slot].id;
            let has_lapsed = life.lease <= life.clock();
            let mut index = 0;
            while index < life.runs.len() {
                life.runs[index].tick();
                let run = &life.runs[index];
                let is_whole = run.spec.num("ms").is_some_and(|total| run.work() >= total);
                let how = if has_lapsed {
                    "lapsed"
                } else if run.stop_at.is_some_and(|at| at <= Instant::now()) {
                    "stopped"
                } else if is_whole {
                    "done"
                } else if run.since.is_none() && run.started.elapsed() >= Duration::from_millis(GANG) {
                    "alone"
                } else {
                    index += 1;
                    continue;
                };
                if how == "stopped" && run.spec.flag("saves") {
                    life.runs[index].save();
                }
                let (task, number) = life.end(index, how);
                ended.push((task, number, how, id.clone()));
            }
        }
        // A gang's members end with the first of them.
        for (task, number, how, _) in ended.clone() {
            for (slot, life) in lives.iter_mut().enumerate() {
                let Some(life) = life.as_mut() else {
                    continue;
                };
                let is_member =
                    |run: &Run| run.spec.num("gang").is_some() && run.run == number && step_of(&run.task) == step_of(&task);
                while let Some(index) = life.runs.iter().position(is_member) {
                    let how = if how == "done" { "done" } else { "broken" };
                    let (task, number) = life.end(index, how);
                    ended.push((task, number, how, self.minions[slot].id.clone()));
                }
            }
        }
        // A member that was lost with its minion has ended too.
        let mut members: BTreeMap<(String, u64), u64> = BTreeMap::new();
        for run in lives.iter().flat_map(|life| life.iter()).flat_map(|life| &life.runs) {
            *members.entry((step_of(&run.task).to_owned(), run.run)).or_default() += 1;
        }
        for (slot, life) in lives.iter_mut().enumerate() {
            let Some(life) = life.as_mut() else {
                continue;
            };
            let is_broken = |run: &Run| {
                let size = run.spec.num("gang").filter(|_| run.since.is_some());
                size.is_some_and(|size| members[&(step_of(&run.task).to_owned(), run.run)] < size)
            };
            while let Some(index) = life.runs.iter().position(is_broken) {
                let (task, number) = life.end(index, "broken");
                ended.push((task, number, "broken", self.minions[slot].id.clone()));
            }
        }
        for (slot, life) in lives.iter().enumerate() {
            for (index, run) in life.iter().flat_map(|life| life.runs.iter().enumerate()) {
                if run.spec.num("gang").is_some() {
                    let key = (step_of(&run.task).to_owned(), run.run);
                    gangs.entry(key).or_default().push((slot, index));
                }
            }
        }
        // The members of one run work together once all of them are present with the same checkpoint.
        for members in gangs.values() {
            let run = |(slot, index): &(usize, usize)| &lives[*slot].as_ref().unwrap().runs[*index];
            let size = run(&members[0]).spec.num("gang").unwrap_or(0) as usize;
            let is_one = members.iter().all(|member| run(member).resumed == run(&members[0]).resumed);
            if members.len() == size && is_one && run(&members[0]).since.is_none() {
                for (slot, index) in members {
                    let run = &mut lives[*slot].as_mut().unwrap().runs[*index];
                    run.since = Some(Instant::now() + restore_time(&run.resumed));
                }
            }
        }
        drop(lives);
        for (task, number, how, id) in &ended {
            self.record.ended(task, *number, how, id);
        }
        if !ended.is_empty() {
            for minion in &self.minions {
                minion.changed.notify_all();
            }
        }
        for minion in &self.minions {
            let silent_for = minion.last_beat.lock().unwrap().map(|at| at.elapsed());
            let is_up = minion.life.lock().unwrap().is_some();
            if is_up && silent_for.is_none_or(|time| time >= HEARTBEAT) {
                self.beat(minion);
            }
            // The store drops the entry after three heartbeats.
            if !is_up && silent_for.is_some_and(|time| time >= 3 * HEARTBEAT) && self.store.put("keyed.servers", &minion.id, "") {
                self.record.line(&format!("the entry of minion {} has expired", minion.id));
                *minion.last_beat.lock().unwrap() = None;
            }
        }
    }

    fn answer(&self, minion: &Minion, request: &Request) -> Answer {
        let json = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut guard = minion.life.lock().unwrap();
        let life = guard.as_mut()?;
        if request.path == "/health" {
            return Some((200, Vec::new()));
        }
        let expected = request.headers.get("x-expected-instance");
        if expected.is_some_and(|expected| *expected != minion.id) {
            return Some((421, Vec::new()));
        }
        let token = json.num("fencingToken").unwrap_or(0);
        let clock = life.clock();
        let refuse = |reason: &str| Some((409, format!(r#"{{"clockMs":{clock},"reason":"{reason}"}}"#).into_bytes()));
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        let task = json.text("task").unwrap_or("").to_owned();
        let number = json.num("run").unwrap_or(0);
        let accepted = Some((200, format!(r#"{{"clockMs":{clock}}}"#).into_bytes()));
        match request.path.as_str() {
            "/run-start" if minion.is_refusing.load(Ordering::SeqCst) => {
                self.record.line(&format!("start of {task} run {number} on {} is answered 503", minion.id));
                Some((503, Vec::new()))
            }
            "/run-start" => {
                life.extend(json.num("untilMs"));
                if life.runs.iter().any(|run| run.task == task && run.run == number) {
                    return accepted;
                }
                let is_closed = life.closed.get(&task).is_some_and(|closed| number <= *closed);
                if is_closed || life.runs.iter().any(|run| run.task == task && run.run > number) {
                    return refuse("old");
                }
                if life.lease <= clock {
                    return refuse("late");
                }
                let spec = Json::parse(json.text("spec").unwrap_or("")).unwrap_or(Json::Null);
                let resumed = json.text("checkpoint").map(str::to_owned).filter(|text| !text.is_empty());
                let base = resumed.as_ref().and_then(|text| u64::from_str_radix(text.get(..8)?, 16).ok()).unwrap_or(0);
                let is_gang = spec.num("gang").is_some();
                let run = Run {
                    task: task.clone(),
                    run: number,
                    since: (!is_gang).then(|| Instant::now() + restore_time(&resumed)),
                    spec,
                    saved: resumed.clone().unwrap_or_default(),
                    resumed: resumed.clone(),
                    base,
                    started: Instant::now(),
                    saves: base / SAVE,
                    stop_at: None,
                    speed: 100,
                    done: 0.0,
                    last_tick: Instant::now(),
                };
                life.runs.push(run);
                let (used, kind) = (life.used(), life.kind.clone());
                drop(guard);
                self.record.started(&task, number, &minion.id, resumed.as_deref(), used, &kind);
                accepted
            }
            "/run-stop" => {
                let closed = life.closed.entry(task.clone()).or_default();
                *closed = number.max(*closed);
                if let Some(run) = life.runs.iter_mut().find(|run| run.task == task && run.run == number) {
                    run.stop_at.get_or_insert(Instant::now() + Duration::from_millis(STOP / 2));
                    self.record.line(&format!("stop of {task} run {number} ordered on {}", minion.id));
                }
                accepted
            }
            "/pace" => {
                if let Some(run) = life.runs.iter_mut().find(|run| run.task == task && run.run == number) {
                    run.speed = json.num("percent").unwrap_or(100).min(100);
                }
                accepted
            }
            "/hold" => {
                life.extend(json.num("untilMs"));
                let seen = json.num("lastSeen").unwrap_or(0);
                for end in life.ends.iter().filter(|end| end.number <= seen) {
                    self.record.noted(&end.task, end.run, end.how);
                }
                life.ends.retain(|end| end.number > seen);
                let born = life.born;
                let wait = Duration::from_millis(json.num("waitMs").unwrap_or(0).min(2_000));
                let end = Instant::now() + wait;
                loop {
                    let is_same = guard.as_ref().is_some_and(|life| life.born == born);
                    if !is_same {
                        return None;
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() || guard.as_ref().is_some_and(|life| !life.ends.is_empty()) {
                        break;
                    }
                    guard = minion.changed.wait_timeout(guard, left).unwrap().0;
                }
                Some((200, report(guard.as_ref()?).into_bytes()))
            }
            _ => Some((404, Vec::new())),
        }
    }
}

fn restore_time(resumed: &Option<String>) -> Duration {
    Duration::from_millis(if resumed.is_some() { RESTORE } else { 0 })
}

fn report(life: &Life) -> String {
    let running = life.runs.iter().map(|run| {
        let metric = if run.spec.flag("lasts") { 3 } else { run.spec.num("cpu").unwrap_or(0) };
        format!(r#"["{}",{},"{}",{},{metric}]"#, run.task, run.run, run.saved, run.percent())
    });
    let ended = life.ends.iter().take(500).map(|end| {
        format!(r#"[{},"{}",{},"{}","{}"]"#, end.number, end.task, end.run, end.how, end.saved)
    });
    format!(
        r#"{{"clockMs":{},"born":{},"running":[{}],"ended":[{}]}}"#,
        life.clock(),
        life.born,
        running.collect::<Vec<_>>().join(","),
        ended.collect::<Vec<_>>().join(",")
    )
}
