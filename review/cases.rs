//! The cases.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    cell::{Cell, config},
    json::{Json, object},
    record::{Record, unix_ms},
    runner::{Event, Kind},
};

/// The bounds of the deployment: `kit/more/system/further/bvgv-sched.toml`.
const FINISH_S: u64 = 14;
const QUOTA_OVERAGE: f64 = 0.1;

/// Runners that don't differ.
const EQUAL: Kind = Kind { label: "a", speed: 1.0 };

fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns a job with one step. `spec` tells the runners how long a task
/// runs.
fn job(spec: &str, count: u64, cpu: u64, est_ms: u64) -> Json {
    let step = object(vec![
        ("count", count.into()),
        ("cpu", cpu.into()),
        ("mem_mb", 16.into()),
        ("est_runtime_ms", est_ms.into()),
    ]);
    object(vec![("spec", spec.into()), ("steps", vec![step].into())])
}

fn with(job: Json, fields: Vec<(&str, Json)>) -> Json {
    let (Json::Object(mut all), Json::Object(more)) = (job, object(fields))
    else {
        return Json::Null;
    };
    all.extend(more);
    Json::Object(all)
}

/// Waits until a condition holds, for up to `limit_ms`.
fn wait_for(limit_ms: u64, mut holds: impl FnMut() -> bool) -> bool {
    for _ in 0..limit_ms / 50 {
        if holds() {
            return true;
        }
        pause(50);
    }
    holds()
}

/// Returns the names of the tasks that have begun, of jobs with this ID.
fn begun(cell: &Cell, id: &str) -> BTreeSet<String> {
    let mut tasks = BTreeSet::new();
    for runner in &cell.runners {
        for event in runner.events() {
            if let Event::Began { task, .. } = event
                && task.starts_with(id)
            {
                tasks.insert(task);
            }
        }
    }
    tasks
}

/// Watches for 10 s whether jobs that have not completed have nothing running
/// for 3 s, while all runners are idle. Begins [`FINISH_S`] after the end of
/// the traffic.
fn has_idle_jobs(cell: &Cell, jobs: &[(String, usize)]) -> bool {
    let record = &cell.record;
    pause(FINISH_S * 1_000);
    let mut idle_since = None;
    for _ in 0..100 {
        let is_running =
            cell.runners.iter().any(|runner| !runner.running().is_empty());
        idle_since = match is_running {
            true => None,
            false => idle_since.or(Some(record.now_ms())),
        };
        pause(100);
    }
    let now_ms = record.now_ms();
    let has_idled = idle_since.is_some_and(|at| now_ms - at >= 3_000);
    let mut open = 0;
    for (id, tasks) in jobs {
        open += usize::from(done(cell, id).len() < *tasks);
    }
    for (id, _) in jobs.iter().take(8) {
        record.line(&format!("GET /jobs/{id}: {:?}", cell.state(id)));
    }
    record.say(&format!(
        "{} s after the end of the traffic {open} of {} accepted jobs have \
         tasks that aren't done; all runners have been idle for 3 s: \
         {has_idled}",
        FINISH_S + 10,
        jobs.len()
    ));
    has_idled && open > 0
}

/// Returns the names of the tasks that have ended `done`, of jobs with this
/// ID.
fn done(cell: &Cell, id: &str) -> BTreeSet<String> {
    let mut tasks = BTreeSet::new();
    for runner in &cell.runners {
        for event in runner.events() {
            if let Event::Ended { task, how: "done", .. } = event
                && task.starts_with(id)
            {
                tasks.insert(task);
            }
        }
    }
    tasks
}

fn verdict(record: &Record, is_broken: bool) -> i32 {
    record.say(if is_broken { "BROKEN" } else { "held" });
    i32::from(is_broken)
}

/// TWICE: many ends on one runner wait while the store is down.
pub fn many_ends(record: &Arc<Record>, has_trouble: bool) -> i32 {
    const JOBS: u64 = 7;
    const TASKS: u64 = 200;
    const DOWN_MS: u64 = 4_200;
    let cell = Cell::start(record, &[EQUAL; 3], 3, &config(1, 0));
    let ids: Vec<String> =
        (1..=JOBS).map(|n| format!("{:016x}", 0xa0 + n)).collect();
    for id in &ids {
        let body = job("3000-9000", TASKS, 10, 6_000);
        if !cell.submit(id, &body) {
            return 2;
        }
    }
    let total = (JOBS * TASKS) as usize;
    let all_begun = || begun(&cell, "").len() == total;
    if !wait_for(2_500, all_begun) {
        record.say("not all tasks have begun in time");
    }
    // The first tasks end.
    pause(3_500);
    if has_trouble {
        record.line("the store is down: it answers 503");
        cell.store.set_busy(true);
        pause(DOWN_MS);
        cell.store.set_busy(false);
        record.line("the store is back");
    }
    let have_ended =
        || ids.iter().all(|id| cell.state(id).as_deref() == Some("completed"));
    let are_done = wait_for(40_000, have_ended);
    record.line(&format!("all jobs are shown as completed: {are_done}"));
    pause(3_000);
    cell.write_runs();
    let again = starts_after_done(&cell);
    for line in again.iter().take(20) {
        record.line(&format!("started after its end: {line}"));
    }
    record.say(&format!(
        "{total} tasks; {} starts after a run has ended done, with its end \
         taken note of",
        again.len()
    ));
    verdict(record, !again.is_empty())
}

/// Returns the starts of tasks of which a run had ended `done` before, if the
/// runner's lease has not lapsed until the end was taken note of.
fn starts_after_done(cell: &Cell) -> Vec<String> {
    let mut done: BTreeMap<String, (u64, String)> = BTreeMap::new();
    let mut starts = Vec::new();
    for runner in &cell.runners {
        let events = runner.events();
        for (position, event) in events.iter().enumerate() {
            match event {
                Event::Began { at_ms, task, run, .. } => {
                    starts.push((*at_ms, task.clone(), *run, &runner.id));
                }
                Event::Ended { at_ms, task, how: "done", number, .. } => {
                    let is_noted = events[position..]
                        .iter()
                        .find_map(|later| match later {
                            Event::Lapsed { .. } => Some(false),
                            Event::Noted { number: noted, .. }
                                if noted >= number =>
                            {
                                Some(true)
                            }
                            _ => None,
                        })
                        .unwrap_or(false);
                    if is_noted {
                        let first = (*at_ms, runner.id.clone());
                        let known =
                            done.entry(task.clone()).or_insert(first.clone());
                        *known = first.min(known.clone());
                    }
                }
                _ => {}
            }
        }
    }
    starts
        .into_iter()
        .filter_map(|(at_ms, task, run, id)| {
            let (done_ms, first) = done.get(&task)?;
            (at_ms > *done_ms).then(|| {
                format!(
                    "{task} run {run} on {id} at {at_ms} ms; done on \
                     {first} at {done_ms} ms"
                )
            })
        })
        .collect()
}

/// LOST: a job that runs each minute for a year is accepted.
pub fn long_schedule(record: &Arc<Record>, has_trouble: bool) -> i32 {
    let cell = Cell::start(record, &[EQUAL; 3], 3, &config(1, 0));
    let occurrences: u64 = if has_trouble { 525_600 } else { 60 };
    let first_ms = unix_ms() + 5_000;
    let schedule = with(
        job("500", 2, 500, 500),
        vec![
            ("first_run_ms", first_ms.into()),
            ("interval_ms", 60_000.into()),
            ("repeat_count", occurrences.into()),
        ],
    );
    // An ordinary job of two steps, handed in before.
    let step = |after: Vec<Json>| {
        object(vec![
            ("count", 2.into()),
            ("cpu", 500.into()),
            ("mem_mb", 16.into()),
            ("est_runtime_ms", 4_000.into()),
            ("after", after.into()),
        ])
    };
    let steps = vec![step(Vec::new()), step(vec![0.into()])];
    let first = object(vec![("spec", "4000".into()), ("steps", steps.into())]);
    let first_id = "00000000000000b0".to_owned();
    if !cell.submit(&first_id, &first) {
        return 2;
    }
    let is_accepted = cell.submit("00000000000000b1", &schedule);
    record.say(&format!("the schedule was answered with 200: {is_accepted}"));
    let mut accepted = vec![(first_id, 4)];
    let until_ms = record.now_ms() + 20_000;
    while record.now_ms() < until_ms {
        let id = format!("{:016x}", 0xc000 + accepted.len());
        if cell.submit(&id, &job("500", 2, 500, 500)) {
            accepted.push((id, 2));
        }
        if accepted.len() >= 5 {
            pause(500);
        }
    }
    record.say(&format!("{} ordinary jobs were accepted", accepted.len()));
    record.line("end of the traffic");
    let is_lost = has_idle_jobs(&cell, &accepted);
    cell.write_runs();
    let mut ended_often = 0;
    for (number, entry) in cell.entries.iter().enumerate() {
        let memory_ends = entry.memory_ends.lock().unwrap().len();
        let own_ends = entry.own_ends.lock().unwrap().len();
        record.say(&format!(
            "entry-{number}: ended {memory_ends} times for its memory, \
             {own_ends} times by itself"
        ));
        ended_often += usize::from(memory_ends + own_ends >= 3);
    }
    record.say(&format!(
        "{ended_often} of 3 instances ended three times or more"
    ));
    verdict(record, is_lost)
}

/// LOST: an accepted job with many tasks never runs.
pub fn wide_job(record: &Arc<Record>, has_trouble: bool) -> i32 {
    const TASKS: u64 = 3_600;
    let parts = if has_trouble { 1 } else { 12 };
    let cell = Cell::start(record, &[EQUAL; 48], 3, &config(1, 0));
    let ids: Vec<String> =
        (1..=parts).map(|n| format!("{:016x}", 0xd0 + n)).collect();
    for id in &ids {
        let body = job("2000", TASKS / parts, 100, 2_000);
        if !cell.submit(id, &body) {
            record.say("a job was not accepted");
            return verdict(record, false);
        }
    }
    record.line("end of the traffic");
    let tasks = (TASKS / parts) as usize;
    let jobs: Vec<(String, usize)> =
        ids.iter().map(|id| (id.clone(), tasks)).collect();
    let is_lost = has_idle_jobs(&cell, &jobs);
    cell.write_runs();
    let states: BTreeSet<String> =
        ids.iter().filter_map(|id| cell.state(id)).collect();
    record.say(&format!(
        "{parts} jobs of {} tasks: {} tasks have begun; states {states:?}",
        TASKS / parts,
        begun(&cell, "").len()
    ));
    verdict(record, is_lost)
}

/// QUOTA: the next owner forgets the runs of a cancelled job.
pub fn forgotten_runs(record: &Arc<Record>, has_trouble: bool) -> i32 {
    const LIMIT_CPU: u64 = 16_000;
    const CUT_MS: u64 = 5_500;
    let cell = Cell::start(record, &[EQUAL; 3], 3, &config(1, LIMIT_CPU));
    let (first, second) = ("00000000000000f1", "00000000000000f2");
    if !cell.submit(first, &job("20000", 16, 1_000, 20_000)) {
        return 2;
    }
    if !wait_for(5_000, || begun(&cell, first).len() == 16) {
        record.say("the first job has not begun in time");
        return 2;
    }
    if !cell.submit(second, &job("3000", 16, 1_000, 3_000)) {
        return 2;
    }
    pause(1_000);
    if has_trouble {
        for runner in &cell.runners {
            if !runner.running().is_empty() {
                record.line(&format!("{} is cut off and runs on", runner.id));
                runner.cut(CUT_MS);
            }
        }
    }
    let path = format!("/jobs/{first}");
    let answer = cell.request(0, "DELETE", &path, "");
    let status = answer.map_or(0, |(status, _)| status);
    record.line(&format!("DELETE {path} to entry-0: answered {status}"));
    pause(300);
    if has_trouble && let Some(owner) = cell.owner() {
        cell.kill(owner);
    }
    let is_done = wait_for(30_000, || {
        cell.state(second).as_deref() == Some("completed")
    });
    record.line(&format!("the second job is completed: {is_done}"));
    cell.write_runs();
    let mut changes: Vec<(u64, i64, String)> = Vec::new();
    for runner in &cell.runners {
        for event in runner.events() {
            match event {
                Event::Began { at_ms, task, .. } => {
                    changes.push((at_ms, 1_000, task));
                }
                Event::Ended { at_ms, task, .. } => {
                    changes.push((at_ms, -1_000, task));
                }
                _ => {}
            }
        }
    }
    changes.sort();
    let (mut running, mut most, mut first_over) = (0, 0, None);
    let allowed = (LIMIT_CPU as f64 * (1.0 + QUOTA_OVERAGE)) as i64 + 1_000;
    for (at_ms, cpu, task) in changes {
        running += cpu;
        most = most.max(running);
        if running > allowed && first_over.is_none() {
            first_over = Some((at_ms, task));
        }
    }
    record.say(&format!(
        "upper_limit {LIMIT_CPU}, allowed {allowed}; most at a time {most}; \
         first start over it: {first_over:?}"
    ));
    verdict(record, first_over.is_some())
}

/// LOST: a task that only fast runners may run, and that needs most of one.
pub fn fast_runners(record: &Arc<Record>, has_trouble: bool) -> i32 {
    let speeds = if has_trouble { [0.8, 1.0, 1.25] } else { [1.0; 3] };
    let kinds: Vec<Kind> = (0..9)
        .map(|number| Kind {
            label: if number % 3 == 2 { "b" } else { "a" },
            speed: speeds[number % 3],
        })
        .collect();
    let cell = Cell::start(record, &kinds, 3, &config(2, 0));
    // Ordinary work, four tasks of each job on each runner.
    for number in 0..3 {
        let id = format!("{:016x}", 0x10 + number);
        let step = object(vec![
            ("count", 36.into()),
            ("cpu", 1_000.into()),
            ("mem_mb", 64.into()),
            ("est_runtime_ms", 1_000.into()),
            ("anti_affinity", 4.into()),
        ]);
        let body = object(vec![
            ("spec", "1000".into()),
            ("steps", vec![step].into()),
        ]);
        let is_done = cell.submit(&id, &body)
            && wait_for(8_000, || {
                cell.state(&id).as_deref() == Some("completed")
            });
        if !is_done {
            record.say("the ordinary work was not done in time");
            return 2;
        }
    }
    pause(1_000);
    let id = "00000000000000ee".to_owned();
    let step = object(vec![
        ("count", 1.into()),
        ("cpu", 14_000.into()),
        ("mem_mb", 64.into()),
        ("est_runtime_ms", 1_000.into()),
        ("requires", "b".into()),
    ]);
    let body =
        object(vec![("spec", "1000".into()), ("steps", vec![step].into())]);
    if !cell.submit(&id, &body) {
        return 2;
    }
    record.line("end of the traffic");
    let is_lost = has_idle_jobs(&cell, &[(id.clone(), 1)]);
    cell.write_runs();
    record.say(&format!(
        "a task of 14 of 16 cores that requires the label b: state {:?}, {} \
         tasks begun",
        cell.state(&id),
        begun(&cell, &id).len()
    ));
    verdict(record, is_lost)
}

/// LOST: a runner that was slow for some seconds gets no task any more.
pub fn slow_runner(record: &Arc<Record>, has_trouble: bool) -> i32 {
    const SLOW_MS: u64 = 7_000;
    const SLOW_FACTOR: f64 = 6.5;
    let mut kinds = [EQUAL; 6];
    kinds[5].label = "b";
    let cell = Cell::start(record, &kinds, 3, &config(1, 0));
    let on_b = |spec: &str, count: u64, est_ms: u64, lasts: bool| {
        let step = object(vec![
            ("count", count.into()),
            ("cpu", 1_000.into()),
            ("mem_mb", 64.into()),
            ("est_runtime_ms", est_ms.into()),
            ("requires", "b".into()),
            ("long_running", Json::Bool(lasts)),
        ]);
        object(vec![("spec", spec.into()), ("steps", vec![step].into())])
    };
    let lasting = "0000000000000e00";
    if !cell.submit(lasting, &on_b("lasts 300", 1, 300, true)) {
        return 2;
    }
    let ids: Vec<String> =
        (1..=2).map(|n| format!("{:016x}", 0xe00 + n)).collect();
    for id in &ids {
        if !cell.submit(id, &on_b("4000", 3, 4_000, false)) {
            return 2;
        }
    }
    let have_begun = || ids.iter().all(|id| begun(&cell, id).len() == 3);
    if !wait_for(3_000, have_begun) {
        record.say("the tasks have not begun in time");
        return 2;
    }
    pause(500);
    if has_trouble {
        record.line("the runner with the label b turns slow");
        cell.runners[5].slow(SLOW_FACTOR, SLOW_MS);
    }
    pause(SLOW_MS);
    record.line("no runner is slow; end of the traffic");
    pause(FINISH_S * 1_000);
    // Since when nothing of each job has run.
    let mut idle_since: Vec<Option<u64>> = vec![None; ids.len()];
    let mut is_lost = false;
    for _ in 0..100 {
        let now_ms = record.now_ms();
        let running: Vec<String> =
            cell.runners.iter().flat_map(|runner| runner.running()).collect();
        for (id, since) in ids.iter().zip(&mut idle_since) {
            let has_run =
                running.iter().any(|task| task.starts_with(id.as_str()));
            *since = match has_run {
                true => None,
                false => Some(since.unwrap_or(now_ms)),
            };
        }
        pause(100);
    }
    let now_ms = record.now_ms();
    let mut states = Vec::new();
    for (id, since) in ids.iter().zip(&idle_since) {
        let state = cell.state(id);
        let is_open = done(&cell, id).len() < 3;
        let has_idled = since.is_some_and(|since| now_ms - since >= 3_000);
        is_lost |= is_open && has_idled;
        states.push(state);
    }
    cell.write_runs();
    record.say(&format!(
        "{} s after the runner was sound again: states {states:?}; an open job \
         has nothing running for 3 s: {is_lost}",
        FINISH_S + 10
    ));
    verdict(record, is_lost)
}
