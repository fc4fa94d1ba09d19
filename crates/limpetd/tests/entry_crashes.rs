//! Workers that die under a task and come back some seconds later, as
//! processes see it.

mod entries;

use std::collections::BTreeMap;

use self::entries::{TestCell, job, wait_for};

/// The job whose tasks crash the workers that start them.
const DEADLY: &str = "00000000000000dd";
/// The most crashes under one task.
const MAX_CRASHES: usize = 3;

/// Returns the number of crashes under each task of the deadly job.
fn crashes(cell: &TestCell) -> BTreeMap<String, usize> {
    let mut crashes = BTreeMap::new();
    for number in 0..3 {
        let lost = cell.platform.runner(number).crashes.concat();
        for task in lost.into_iter().filter(|task| task.starts_with(DEADLY)) {
            *crashes.entry(task).or_default() += 1;
        }
    }
    crashes
}

/// Guards against a task that crashes worker after worker, also when the owner
/// is killed in between: the count outlasts it.
#[test]
fn owner_killed_between_crashes() {
    let mut cell = TestCell::start("crashes", 3);
    for number in 0..3 {
        let mut runner = cell.platform.runner(number);
        runner.deadly_jobs.insert(DEADLY.to_owned());
    }
    assert_eq!(cell.submit(0, DEADLY, &job(1)), 200);
    wait_for("a crash", || !crashes(&cell).is_empty());
    let owner = cell.owner();
    cell.entries[owner].restart();
    wait_for("an end of the job or too many crashes", || {
        cell.state(0, DEADLY).as_deref() == Some("failed")
            || crashes(&cell).values().any(|count| *count > MAX_CRASHES)
    });
    let crashes = crashes(&cell);
    assert!(crashes.values().all(|n| *n <= MAX_CRASHES), "{crashes:?}");
    assert_eq!(cell.submit(0, "00000000000000aa", &job(2)), 200);
    cell.wait_for_state(0, "00000000000000aa", "completed");
}

/// Guards against progress of earlier versions, which lacks the stamp or the
/// crashes as well: a completed job must not run again.
#[test]
fn earlier_progress() {
    let mut cell = TestCell::start("earlier-progress", 1);
    let id = "00000000000000bb";
    assert_eq!(cell.submit(0, id, &job(1)), 200);
    cell.wait_for_state(0, id, "completed");
    // The phase, no occurrences and no crashes; then the phase and no
    // occurrences.
    for length in [3, 2] {
        cell.entries[0].kill();
        {
            let mut store = cell.platform.store();
            let row = store.value("progress", "p", id).expect("a row");
            assert_eq!(row[1..3], [0, 0], "no occurrences and no crashes");
            let earlier = row[..length].to_vec();
            store.put("progress", "p", id, &earlier);
        }
        cell.entries[0].restart();
        cell.wait_for_state(0, id, "completed");
        assert_eq!(cell.platform.starts().len(), 1);
    }
}
