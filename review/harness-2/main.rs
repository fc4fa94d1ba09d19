//! The cases of the second review: `harness CASE FOLDER` plays one, writes
//! `record.txt` into the folder, and exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

mod cases;
mod cell;
mod http;
mod json;
mod store;
mod world;

use std::path::Path;

/// What a case has shown.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: harness CASE FOLDER");
        std::process::exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Path::new(folder).join("record.txt");
    let verdict = cases::play(case, &record, is_troubled);
    std::process::exit(match verdict {
        Verdict::Broken => 1,
        Verdict::Held => 0,
        Verdict::CouldNotRun => 2,
    });
}
