//! Progress is spread over lanes: a takeover replaces the head rows of all,
//! and the newest row of a job counts.

mod entries;

use nix::sys::signal::Signal;

use self::entries::{TestCell, job, wait_for};

const ID: &str = "00000000000000ee";
const LANES: [&str; 8] = ["p", "p1", "p2", "p3", "p4", "p5", "p6", "p7"];

/// The progress of a job of which nothing has started, with a stamp that is
/// older than any other of this submission.
fn older_progress(completed: &[u8]) -> Vec<u8> {
    let submission_bytes = completed.len() - 3 - 2;
    let mut row = vec![0, 0, 0];
    row.extend(&completed[3..3 + submission_bytes]);
    row.extend([0, 0]);
    row
}

/// Guards against an earlier owner that can still write to a lane whose head
/// row a takeover has left as it was.
#[test]
fn all_heads_claimed() {
    let cell = TestCell::start("heads", 2);
    let owner = cell.owner();
    cell.entries[owner].signal(Signal::SIGSTOP);
    wait_for("a new owner", || cell.owner() != owner);
    let term = |lane: &str| {
        let store = cell.platform.store();
        store.value("progress", lane, "head").map(|head| head[0])
    };
    wait_for("a head in each lane", || {
        LANES.iter().all(|lane| term(lane).is_some_and(|term| term >= 2))
    });
    cell.entries[owner].signal(Signal::SIGCONT);
}

/// Guards against a job that runs again since an older row of another lane
/// was taken for its progress.
#[test]
fn newest_row_counts() {
    let mut cell = TestCell::start("newest-row", 1);
    assert_eq!(cell.submit(0, ID, &job(1)), 200);
    cell.wait_for_state(0, ID, "completed");
    let row = {
        let store = cell.platform.store();
        store.value("progress", "p", ID).expect("a row").to_vec()
    };
    for (newer, older) in [("p", "p3"), ("p5", "p")] {
        cell.entries[0].kill();
        {
            let mut store = cell.platform.store();
            store.put("progress", newer, ID, &row);
            store.put("progress", older, ID, &older_progress(&row));
        }
        cell.entries[0].restart();
        cell.wait_for_state(0, ID, "completed");
    }
    assert_eq!(cell.platform.starts().len(), 1);
}

/// Guards against progress of an earlier submission of the same job that makes
/// a later one count as done.
#[test]
fn earlier_submission() {
    let mut cell = TestCell::start("earlier-submission", 1);
    assert_eq!(cell.submit(0, ID, &job(1)), 200);
    cell.wait_for_state(0, ID, "completed");
    cell.entries[0].kill();
    {
        // The same row with a later version: the job was submitted anew.
        let mut store = cell.platform.store();
        let part = store.part_of("jobs", ID).expect("the job's row");
        let value = store.value("jobs", &part, ID).expect("a row").to_vec();
        store.put("jobs", &part, ID, &value);
    }
    cell.entries[0].restart();
    wait_for("another run", || cell.platform.starts().len() == 2);
    cell.wait_for_state(0, ID, "completed");
}
