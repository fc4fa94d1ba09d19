//! Looks at workers: each renews the worker's hold and brings ends.

use std::{rc::Rc, time::Duration};

use limpet_adapter::{HoldOutcome, HoldRequest, Runner};
use limpet_workflow::WorkerSlot;
use slog::{info, warn};

use super::Owner;
use crate::{clock, metrics::Metrics};

/// How long a look waits for an end. Four fit into a hold of 3 s.
const LOOK_WAIT_MS: u64 = 700;
/// How long the next look waits at most for the commit of the ends.
const COMMIT_WAIT_MS: u64 = 400;
/// The pause after a look without an answer.
const RETRY_MS: u64 = 150;
/// The pause while a worker is neither listed nor has claims.
const UNLISTED_PAUSE_MS: u64 = 500;

/// What came of a look.
enum Look {
    Answered,
    /// Not answered, though it was sent.
    Silent(String),
    Failed,
}

impl Owner {
    /// Looks at a worker until it is gone or the ownership ends.
    pub(super) async fn watch_worker(self: Rc<Owner>, slot: WorkerSlot) {
        let mut failures = 0;
        while self.alive.get() {
            if !self.engine.borrow().needs_poll(slot) {
                clock::pause(UNLISTED_PAUSE_MS).await;
                continue;
            }
            let Some(runner) = self.runner(slot) else {
                clock::pause(UNLISTED_PAUSE_MS).await;
                continue;
            };
            if self.look_twice(slot, &runner).await {
                if failures > 0 {
                    info!(self.node.log, "worker: answers again";
                        "worker" => runner.id(), "misses" => failures);
                }
                failures = 0;
                let answered_at = clock::now();
                if self.engine.borrow().committed_ends(slot).1 {
                    self.wait_for_commit(slot).await;
                    let took_ms = clock::now().ms_since(answered_at);
                    self.node.metrics.ends_durable.record_ms(took_ms);
                }
            } else {
                failures += 1;
                clock::pause(RETRY_MS).await;
            }
        }
    }

    /// Looks again at once where a look got no answer: single answers are
    /// lost, and connections go silent while the worker lives.
    async fn look_twice(&self, slot: WorkerSlot, runner: &Runner) -> bool {
        match self.look(slot, runner, LOOK_WAIT_MS).await {
            Look::Answered => true,
            Look::Failed => false,
            Look::Silent(_) => {
                let second = self.look(slot, runner, 0).await;
                if let Look::Silent(why) = &second {
                    self.miss(slot, runner, why);
                }
                matches!(second, Look::Answered)
            }
        }
    }

    /// Takes in that a worker doesn't answer.
    fn miss(&self, slot: WorkerSlot, runner: &Runner, why: &str) {
        let mut engine = self.engine.borrow_mut();
        if engine.is_reachable(slot) {
            warn!(self.node.log, "worker: no answer";
                "worker" => runner.id(), "reason" => why);
        }
        engine.report_missed_hold(slot, clock::moment());
        self.wake.notify_one();
    }

    async fn look(
        &self,
        slot: WorkerSlot,
        runner: &Runner,
        wait_ms: u64,
    ) -> Look {
        let sent_at = clock::now();
        let request = self.hold_request(slot, wait_ms);
        let outcome = runner.hold(request).await;
        if !self.alive.get() {
            return Look::Answered;
        }
        let now = clock::moment();
        match outcome {
            HoldOutcome::Report(report) => {
                for end in &report.ended {
                    info!(self.node.log, "task: ended"; "task" => %end.task,
                        "run" => end.run, "how" => ?end.kind,
                        "worker" => runner.id(), "number" => end.number);
                }
                self.engine
                    .borrow_mut()
                    .report_hold(slot, report, sent_at, now);
                self.wake.notify_one();
                Look::Answered
            }
            HoldOutcome::Fenced => {
                self.end_fenced(runner);
                Look::Failed
            }
            HoldOutcome::Silent(why) => {
                Metrics::count(&self.node.metrics.looks_failed);
                Look::Silent(why)
            }
            HoldOutcome::OtherLife => {
                self.miss(slot, runner, "another life answers");
                Look::Failed
            }
            HoldOutcome::Failed(why) => {
                Metrics::count(&self.node.metrics.looks_failed);
                self.miss(slot, runner, &why);
                Look::Failed
            }
        }
    }

    /// Ends the ownership: a worker has seen a newer owner.
    pub(super) fn end_fenced(&self, runner: &Runner) {
        if self.alive.get() {
            warn!(self.node.log, "owner: fenced"; "term" => self.term,
                "worker" => runner.id());
            self.end();
        }
    }

    fn hold_request(&self, slot: WorkerSlot, wait_ms: u64) -> HoldRequest {
        let mut engine = self.engine.borrow_mut();
        let (committed_end, uncommitted) = engine.committed_ends(slot);
        let wait = engine.is_reachable(slot) && !uncommitted;
        let hold_until_ms = if self.may_renew() {
            engine.grant_hold(slot, clock::now())
        } else {
            None
        };
        HoldRequest {
            fencing_token: self.term,
            committed_end,
            hold_until_ms,
            wait_ms: if wait { wait_ms } else { 0 },
        }
    }

    /// Waits until the ends that a worker listed are durable, but not past
    /// the next renewal.
    async fn wait_for_commit(&self, slot: WorkerSlot) {
        let until = clock::now().plus_ms(COMMIT_WAIT_MS);
        while self.alive.get() && self.engine.borrow().committed_ends(slot).1 {
            let left_ms = until.ms_since(clock::now());
            if left_ms == 0 {
                return;
            }
            let left = Duration::from_millis(left_ms);
            let committed = self.committed.notified();
            actix_rt::time::timeout(left, committed).await.ok();
        }
    }

    /// Returns the client for a worker; `None` where its address isn't
    /// known.
    pub(super) fn runner(&self, slot: WorkerSlot) -> Option<Rc<Runner>> {
        let engine = self.engine.borrow();
        let listing = engine.listing(slot);
        if listing.address.is_empty() {
            return None;
        }
        let mut runners = self.runners.borrow_mut();
        let known = runners.get(&slot);
        if known.is_none_or(|one| one.address() != listing.address) {
            let runner = Rc::new(Runner::new(&listing.id, &listing.address));
            runners.insert(slot, runner);
        }
        runners.get(&slot).cloned()
    }
}
