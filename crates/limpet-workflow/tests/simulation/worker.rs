//! A worker of the tests: it carries orders out under a virtual clock.

use std::collections::BTreeMap;

use limpet_core::Resources;
use limpet_workflow::{EndKind, HoldReport, RunEnd, RunningTask, TaskKey};

/// How long a gang waits for its members.
const GANG_TIMEOUT_MS: u64 = 3_000;

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub run: u32,
    pub began_ms: u64,
    pub works_ms: u64,
    pub fails: bool,
    pub gang: bool,
    pub gang_since_ms: Option<u64>,
    pub resources: Resources,
    pub team: String,
}

/// A worker of the tests.
#[derive(Debug)]
pub struct FakeWorker {
    pub id: String,
    pub capacity: Resources,
    pub incarnation: u64,
    pub fence: u64,
    pub cut: bool,
    pub still: bool,
    pub expires_ms: u64,
    pub runs: BTreeMap<TaskKey, Run>,
    barred: BTreeMap<TaskKey, u32>,
    ends: Vec<RunEnd>,
    next_number: u64,
    pub seen: u64,
}

impl FakeWorker {
    pub fn new(id: String, capacity: Resources) -> FakeWorker {
        FakeWorker {
            id,
            capacity,
            incarnation: 1,
            fence: 0,
            cut: false,
            still: false,
            expires_ms: 0,
            runs: BTreeMap::new(),
            barred: BTreeMap::new(),
            ends: Vec::new(),
            next_number: 1,
            seen: 0,
        }
    }

    /// Starts anew under the same id: nothing of before is known.
    pub fn restart(&mut self) {
        let id = std::mem::take(&mut self.id);
        let incarnation = self.incarnation + 1;
        *self = FakeWorker::new(id, self.capacity);
        self.incarnation = incarnation;
    }

    /// Says whether the run may begin; `false` where it is refused.
    pub fn admits(
        &mut self,
        fence: u64,
        task: TaskKey,
        run: u32,
        hold_until_ms: u64,
        now_ms: u64,
    ) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        self.expires_ms = self.expires_ms.max(hold_until_ms);
        let barred = self.barred.get(&task).copied().unwrap_or(0);
        hold_until_ms > now_ms && run > barred
    }

    pub fn stop(&mut self, fence: u64, task: TaskKey, run: u32) -> bool {
        if fence < self.fence {
            return false;
        }
        self.fence = fence;
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run);
        if self.runs.get(&task).is_some_and(|one| one.run <= run) {
            self.end(task, EndKind::Stopped);
        }
        true
    }

    pub fn end(&mut self, task: TaskKey, kind: EndKind) {
        let Some(run) = self.runs.remove(&task) else { return };
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run.run);
        self.ends.push(RunEnd {
            number: self.next_number,
            task,
            run: run.run,
            kind,
            checkpoint: String::new(),
        });
        self.next_number += 1;
    }

    /// Ends what is due and returns it.
    pub fn tick(&mut self, now_ms: u64) -> Vec<(TaskKey, u32, EndKind)> {
        let mut due = Vec::new();
        for (task, run) in &self.runs {
            let since = match run.gang {
                true => run.gang_since_ms,
                false => Some(run.began_ms),
            };
            let kind = if now_ms >= self.expires_ms {
                Some(EndKind::Lapsed)
            } else if self.still {
                None
            } else if since.is_some_and(|at| now_ms >= at + run.works_ms) {
                Some(match run.fails {
                    true => EndKind::Failed,
                    false => EndKind::Done,
                })
            } else if since.is_none()
                && now_ms >= run.began_ms + GANG_TIMEOUT_MS
            {
                Some(EndKind::Alone)
            } else {
                None
            };
            if let Some(kind) = kind {
                due.push((*task, run.run, kind));
            }
        }
        for (task, _, kind) in &due {
            self.end(*task, *kind);
        }
        due
    }

    pub fn report(
        &mut self,
        fence: u64,
        last_seen: u64,
        hold_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<HoldReport> {
        if fence < self.fence {
            return None;
        }
        self.fence = fence;
        if let Some(until_ms) = hold_until_ms {
            self.expires_ms = self.expires_ms.max(until_ms);
        }
        self.seen = self.seen.max(last_seen);
        self.ends.retain(|end| end.number > last_seen);
        let percent = |run: &Run| match self.still {
            true => 0.0,
            false => {
                let done = now_ms - run.began_ms;
                (done * 100 / run.works_ms.max(1)).min(99) as f64
            }
        };
        let running = self
            .runs
            .iter()
            .map(|(task, run)| RunningTask {
                task: *task,
                run: run.run,
                checkpoint: String::new(),
                percent: percent(run),
            })
            .collect();
        Some(HoldReport {
            clock_ms: now_ms,
            incarnation: Some(self.incarnation),
            running,
            ended: self.ends.clone(),
        })
    }
}
