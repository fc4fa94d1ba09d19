//! The scripts of the third review: `cases FOLDER CASE` plays a case with the
//! project's program in `target/release` and writes `FOLDER/record.txt`.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! couldn't run. `TROUBLE=0` leaves the disruption out.

mod cancel;
mod cell;
mod gang;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::{path::Path, sync::Arc, thread, time::Duration};

use record::Record;

/// A case that lasts longer is ended, as one that couldn't run.
const LIMIT_S: u64 = 112;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, folder, case] = arguments.as_slice() else {
        eprintln!("usage: cases FOLDER CASE");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let record = Arc::new(record);
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(LIMIT_S));
        eprintln!("the case took too long");
        cell::end_processes();
        std::process::exit(2);
    });
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        cell::end_processes();
        std::process::exit(2);
    }));
    match case.as_str() {
        "cancel" => cancel::play(record, has_trouble),
        "gang" => gang::play(record, has_trouble),
        _ => {
            eprintln!("no case {case}");
            std::process::exit(2);
        }
    }
}

/// Ends a case: `broken` tells how the rule was broken.
pub fn finish(cell: &cell::Cell, broken: Vec<String>) -> ! {
    for line in &broken {
        cell.record.line(&format!("BROKEN {line}"));
        println!("{line}");
    }
    if broken.is_empty() {
        cell.record.line("the rule held");
        println!("the rule held");
    }
    cell.end(i32::from(!broken.is_empty()))
}
