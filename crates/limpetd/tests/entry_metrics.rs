//! The metrics that an entry instance serves.

mod entries;

use std::{collections::BTreeMap, fs, path::Path};

use self::entries::{LONG_MS, TestCell, get, job, long_job, wait_for};

const ID: &str = "00000000000000c1";
/// A job whose run is lost with its worker.
const LOST_ID: &str = "00000000000000c2";

/// Returns the metrics of an instance by name, labels included.
fn metrics(cell: &TestCell, entry: usize) -> BTreeMap<String, u64> {
    let reply = get(cell.entries[entry].metrics, "/metrics");
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, 200);
    reply
        .body
        .lines()
        .map(|line| {
            let (name, value) =
                line.rsplit_once(' ').expect("a name and a value");
            (name.to_owned(), value.parse().expect("a whole number"))
        })
        .collect()
}

#[test]
fn counts_and_latencies() {
    let cell = TestCell::start("metrics", 1);
    assert_eq!(cell.submit(0, ID, &job(3)), 200);
    cell.wait_for_state(0, ID, "completed");
    // A path without a valid job id is refused.
    assert_eq!(cell.submit(0, "nothing", &job(1)), 404);
    let metrics = metrics(&cell, 0);
    for (name, value) in [
        ("limpet_accepted_total", 1),
        ("limpet_starts_total", 3),
        ("limpet_refused_total{reason=\"not a job id\"}", 1),
        ("limpet_submission_ms_count", 1),
        ("limpet_first_start_ms_count", 1),
        ("limpet_start_order_ms_count", 3),
        ("limpet_owns_cell", 1),
        ("limpet_ready", 1),
        ("limpet_active_jobs", 0),
        ("limpet_claims", 0),
        ("limpet_usable_workers", 3),
    ] {
        assert_eq!(metrics.get(name), Some(&value), "{name}: {metrics:?}");
    }
    assert!(metrics["limpet_progress_write_ms_count"] > 0);
    assert!(metrics["limpet_advice_ms_count"] > 0);
}

/// The operators' page lists exactly the metrics that are served.
#[test]
fn page_is_complete() {
    let cell = TestCell::start("metrics-page", 1);
    wait_for("an owner's metrics", || {
        metrics(&cell, 0).contains_key("limpet_claims")
    });
    assert_eq!(cell.submit(0, "nothing", &job(1)), 404);
    // Metrics by reason are served from the first event on.
    cell.platform.runner(0).run_time_ms = LONG_MS;
    cell.platform.runner(1).run_time_ms = LONG_MS;
    cell.platform.runner(2).run_time_ms = LONG_MS;
    assert_eq!(cell.submit(0, ID, &long_job(1)), 200);
    cell.wait_for_state(0, ID, "running");
    let path = format!("/jobs/{ID}");
    let cancelled = cell.request(0, "DELETE", &path, None);
    assert!(cancelled.is_some_and(|reply| reply.status == 200));
    wait_for("a stop", || {
        metrics(&cell, 0)
            .contains_key("limpet_stops_total{reason=\"job ended\"}")
    });
    assert_eq!(cell.submit(0, LOST_ID, &long_job(1)), 200);
    cell.wait_for_state(0, LOST_ID, "running");
    (0..3).for_each(|number| cell.platform.restart_runner(number));
    wait_for("a lost run", || {
        metrics(&cell, 0)
            .contains_key("limpet_runs_lost_total{reason=\"crashed\"}")
    });
    let served: Vec<String> = metrics(&cell, 0)
        .keys()
        .map(|name| name.split('{').next().unwrap_or_default())
        .map(|name| name.trim_end_matches("_sum").trim_end_matches("_count"))
        .map(str::to_owned)
        .collect();
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md"))
        .expect("the page is there");
    let (_, platform) =
        page.split_once("## On the users' platform").expect("a section");
    for name in &served {
        let row = format!("| `{name}` | ");
        assert!(platform.contains(&row), "docs/OPERATIONS.md lacks {row}");
    }
    for line in platform.lines().filter(|line| line.starts_with("| `limpet_"))
    {
        let name = line.trim_start_matches("| `").split('`').next();
        let name = name.expect("a name").to_owned();
        assert!(served.contains(&name), "{name} is not served");
    }
}
