//! Stand-ins and cases of the second review: `standin CASE RECORD`. Ends with 1 if the rule was broken, with 0 if
//! it held, and with 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod http;
mod json;
mod record;
mod store;
mod system;
mod workers;

use std::sync::Arc;
use std::time::Duration;

use cases::Verdict;
use record::Record;
use system::System;

/// A script ends after this time in any case.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = &args[..] else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::open(path));
    let Some(case) = cases::find(name) else {
        eprintln!("no such case: {name}");
        std::process::exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        println!("not run: the script took too long");
        std::process::exit(2);
    });
    let verdict = match System::open(&case.setup, record.clone()) {
        Some(system) => {
            let run = std::panic::AssertUnwindSafe(|| (case.run)(&system, has_trouble));
            let verdict = std::panic::catch_unwind(run);
            system.close();
            verdict.unwrap_or_else(|_| Verdict::NotRun("the script failed".to_owned()))
        }
        None => Verdict::NotRun("the system did not start".to_owned()),
    };
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("rule broken: {text}")),
        Verdict::Held(text) => (0, format!("rule held: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
