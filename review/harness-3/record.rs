//! What was sent, answered and run, with times from the start of the case.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

use crate::runner::Start;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    starts: Mutex<Vec<Start>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("a record")),
            starts: Mutex::default(),
        }
    }

    /// Returns the time since the case began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>9.3} s  {text}", now_ms as f64 / 1_000.0).ok();
    }

    pub fn start(&self, runner: &str, task: &str, run: u64, spec: &str) {
        let start = Start {
            at_ms: self.now_ms(),
            runner: runner.to_owned(),
            task: task.to_owned(),
            run,
            spec: spec.to_owned(),
            end: None,
            noted_ms: None,
        };
        self.starts.lock().unwrap().push(start);
        self.line(&format!("runner {runner} starts {task} run {run}"));
    }

    pub fn end(&self, runner: &str, task: &str, run: u64, how: &'static str) {
        let now_ms = self.now_ms();
        for start in self.starts.lock().unwrap().iter_mut().rev() {
            if start.runner == runner && start.task == task && start.run == run
            {
                start.end.get_or_insert((now_ms, how));
                break;
            }
        }
        self.line(&format!("runner {runner}: {task} run {run} ends {how}"));
    }

    pub fn note(&self, runner: &str, task: &str, run: u64) {
        let now_ms = self.now_ms();
        for start in self.starts.lock().unwrap().iter_mut().rev() {
            if start.runner == runner && start.task == task && start.run == run
            {
                start.noted_ms.get_or_insert(now_ms);
                break;
            }
        }
    }

    /// Returns the runs that runners have begun.
    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap().clone()
    }

    /// Returns the runs of a job.
    pub fn starts_of(&self, job: &str) -> Vec<Start> {
        let mut starts = self.starts();
        starts.retain(|start| start.task.starts_with(job));
        starts
    }
}
