//! Polls workers. Each poll is a hold request, which renews the worker's
//! lease, acknowledges ended runs and returns new ones.

use std::{rc::Rc, time::Duration};

use limpet_adapter::{HoldOutcome, HoldRequest, Runner};
use limpet_workflow::{MissedPoll, WorkerSlot};
use slog::{info, warn};

use super::Owner;
use crate::{clock, metrics::Metrics};

/// How long a poll waits at the worker for an ended run. Four polls fit into a
/// lease of 3 s.
const POLL_WAIT_MS: u64 = 700;
/// After a reply with ended runs, the next poll waits until their effects are
/// durable, so that it can acknowledge them, but not longer than this.
const COMMIT_WAIT_MS: u64 = 400;
/// The pause after a failed poll.
const RETRY_MS: u64 = 150;
/// The pause while a worker is neither listed nor claimed, or has no address.
const UNLISTED_PAUSE_MS: u64 = 500;

/// The outcome of a poll.
enum PollOutcome {
    /// The worker replied, or the ownership ended during the request.
    Answered,
    /// The request was sent and had no reply.
    NoAnswer(String),
    /// The request failed, and an immediate retry would not help.
    Failed,
}

impl Owner {
    /// Polls a worker until the ownership ends.
    pub(super) async fn poll_worker(self: Rc<Owner>, slot: WorkerSlot) {
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
            if self.poll_with_retry(slot, &runner).await {
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

    /// Polls a worker. Polls it again at once if there is no reply: single
    /// replies get lost, and connections hang although the worker is alive. It
    /// may also have restarted, so that the second poll grants no lease and
    /// acknowledges nothing: a new life would apply both to itself. Returns
    /// whether the worker replied.
    async fn poll_with_retry(
        &self,
        slot: WorkerSlot,
        runner: &Runner,
    ) -> bool {
        let request = self.hold_request(slot, POLL_WAIT_MS);
        match self.poll(slot, runner, request).await {
            PollOutcome::Answered => true,
            PollOutcome::Failed => false,
            PollOutcome::NoAnswer(_) => {
                let request = self.probe_request(slot);
                let second = self.poll(slot, runner, request).await;
                if let PollOutcome::NoAnswer(why) = &second {
                    let missed = MissedPoll::NoAnswer;
                    self.record_missed_poll(slot, runner, missed, why);
                }
                matches!(second, PollOutcome::Answered)
            }
        }
    }

    /// Records that a worker does not answer.
    fn record_missed_poll(
        &self,
        slot: WorkerSlot,
        runner: &Runner,
        missed: MissedPoll,
        why: &str,
    ) {
        let mut engine = self.engine.borrow_mut();
        if engine.is_reachable(slot) {
            warn!(self.node.log,
                "worker: no answer; no new tasks until it answers";
                "worker" => runner.id(), "reason" => why);
        }
        engine.report_missed_hold(slot, missed, clock::moment());
        self.wake.notify_one();
    }

    /// Sends a hold request and applies the reply.
    async fn poll(
        &self,
        slot: WorkerSlot,
        runner: &Runner,
        request: HoldRequest,
    ) -> PollOutcome {
        let sent_at = clock::now();
        let outcome = runner.hold(request).await;
        if !self.alive.get() {
            return PollOutcome::Answered;
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
                PollOutcome::Answered
            }
            HoldOutcome::Fenced => {
                if request.fencing_token == self.fencing_token(slot) {
                    self.end_fenced(runner);
                }
                PollOutcome::Failed
            }
            HoldOutcome::NoAnswer(why) => {
                Metrics::count(&self.node.metrics.polls_failed);
                PollOutcome::NoAnswer(why)
            }
            HoldOutcome::OtherLife => {
                self.record_missed_poll(
                    slot,
                    runner,
                    MissedPoll::NoAnswer,
                    "another incarnation replied",
                );
                PollOutcome::Failed
            }
            HoldOutcome::Refused => {
                Metrics::count(&self.node.metrics.polls_failed);
                self.record_missed_poll(
                    slot,
                    runner,
                    MissedPoll::Refused,
                    "connection refused: no process listens",
                );
                PollOutcome::Failed
            }
            HoldOutcome::Failed(why) => {
                Metrics::count(&self.node.metrics.polls_failed);
                let missed = MissedPoll::NoAnswer;
                self.record_missed_poll(slot, runner, missed, &why);
                PollOutcome::Failed
            }
        }
    }

    /// Ends the ownership because a worker has seen a newer owner.
    pub(super) fn end_fenced(&self, runner: &Runner) {
        if self.alive.get() {
            warn!(self.node.log,
                "owner: a worker knows a newer owner; stepping down";
                "term" => self.term, "worker" => runner.id());
            self.end();
        }
    }

    /// Returns a hold request, which renews the worker's lease if the store
    /// has confirmed the ownership recently. The worker delays its reply by up
    /// to `wait_ms` until a run ends, unless it was unreachable or earlier
    /// ends are not durable yet.
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
            fencing_token: engine.fencing_token(slot, self.term),
            committed_end,
            hold_until_ms,
            wait_ms: if wait { wait_ms } else { 0 },
        }
    }

    /// Returns a hold request that changes nothing at the worker.
    fn probe_request(&self, slot: WorkerSlot) -> HoldRequest {
        HoldRequest {
            fencing_token: self.fencing_token(slot),
            committed_end: 0,
            hold_until_ms: None,
            wait_ms: 0,
        }
    }

    /// Returns the fencing token of a call to the present life of a worker.
    pub(super) fn fencing_token(&self, slot: WorkerSlot) -> u64 {
        self.engine.borrow().fencing_token(slot, self.term)
    }

    /// Waits until the ended runs that a worker reported are durable, up to
    /// [`COMMIT_WAIT_MS`], so that its lease is renewed in time.
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

    /// Returns the client for a worker's current address; `None` if the
    /// address is unknown.
    pub(super) fn runner(&self, slot: WorkerSlot) -> Option<Rc<Runner>> {
        let engine = self.engine.borrow();
        let listing = engine.listing(slot);
        if listing.address.is_empty() {
            return None;
        }
        let mut runners = self.runners.borrow_mut();
        let known = runners.get(&slot);
        if known.is_none_or(|runner| runner.address() != listing.address) {
            let runner = Rc::new(Runner::new(&listing.id, &listing.address));
            runners.insert(slot, runner);
        }
        runners.get(&slot).cloned()
    }
}
