//! The review's stand-ins and cases: `standin CASE FOLDER`, started in the
//! root of the repository. Writes FOLDER/record.txt. Exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0
//! the disruption is left out.

mod cases;
mod cell;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::{path::Path, process::exit, sync::Arc, thread, time::Duration};

/// A case that takes longer than this couldn't run.
const LIMIT_S: u64 = 115;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(record::Record::new(Path::new(folder)));
    let (case, folder) = (case.clone(), folder.clone());
    let worker = thread::spawn(move || {
        record
            .line(&format!("case {case} in {folder}, trouble {has_trouble}"));
        match case.as_str() {
            "many-ends" => cases::many_ends(&record, has_trouble),
            "long-schedule" => cases::long_schedule(&record, has_trouble),
            "wide-job" => cases::wide_job(&record, has_trouble),
            "fast-runners" => cases::fast_runners(&record, has_trouble),
            "slow-runner" => cases::slow_runner(&record, has_trouble),
            "forgotten-runs" => cases::forgotten_runs(&record, has_trouble),
            _ => 2,
        }
    });
    for _ in 0..LIMIT_S * 10 {
        if worker.is_finished() {
            exit(worker.join().unwrap_or(2));
        }
        thread::sleep(Duration::from_millis(100));
    }
    eprintln!("the case took too long");
    cell::end_all();
    exit(2);
}
