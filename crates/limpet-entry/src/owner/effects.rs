//! Carries out the engine's effects: advice requests, start and stop orders.

use std::{rc::Rc, time::Duration};

use limpet_adapter::{StartReply, StartRequest, StopOutcome};
use limpet_core::TimeMs;
use limpet_workflow::{
    Effect, LifeEnd, LifeEvidence, LostRun, StartOrder, StartOutcome,
    StopOrder, StopReason, WorkerSlot,
};
use slog::{info, warn};

use super::Owner;
use crate::{clock, metrics::Metrics};

/// The time-out of an order. A round trip between zones takes about 4 ms.
const ORDER_TIMEOUT_MS: u64 = 350;
/// The pause before a stop order is sent again.
const STOP_RETRY_MS: u64 = 120;

/// The most lost runs that a log line names.
const LOGGED_RUNS: usize = 32;

/// Returns the task and the run, whether its worker had confirmed it, and how
/// many workers were lost under the task.
fn describe_lost_run(lost: &LostRun) -> String {
    let began = if lost.began { "began" } else { "unconfirmed" };
    let (task, run, crashes) = (lost.task, lost.run, lost.crashes);
    format!(
        "{task} run {run} {began} lost {} crashed {}",
        crashes.lost, crashes.crashed
    )
}

impl Owner {
    /// Carries out effects. Orders are sent in the background.
    pub(super) fn perform(self: &Rc<Owner>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::RequestAdvice {
                    ask,
                    step,
                    workers,
                    priority,
                    cost_ms,
                } => {
                    info!(self.node.log, "advice: queued"; "ask" => ask,
                        "step" => %step, "workers" => workers.len(),
                        "cost_ms" => cost_ms);
                    self.advice_queue
                        .push(ask, step, workers, priority, cost_ms);
                }
                Effect::Start(order) => {
                    actix_rt::spawn(Rc::clone(self).start(order));
                }
                Effect::Suspect { worker, reason } => {
                    let engine = self.engine.borrow();
                    warn!(self.node.log,
                        "worker: suspect; no new tasks for a while";
                        "worker" => &engine.listing(worker).id,
                        "reason" => ?reason);
                }
                Effect::GiveUp { task, crashes } => {
                    Metrics::count(&self.node.metrics.jobs_given_up);
                    warn!(self.node.log,
                        "job: failed; a task crashes its workers";
                        "job" => %task.step.job, "task" => %task,
                        "crashes" => crashes.crashed,
                        "confirmed" => crashes.confirmed,
                        "lost" => crashes.lost);
                }
                Effect::WorkerLost { worker, end, runs } => {
                    self.report_worker_lost(worker, end, &runs);
                }
                Effect::LifeBegan { worker, evidence } => {
                    self.report_life(worker, evidence);
                }
                Effect::JobEnded(ended) => self.report_ended_job(&ended),
                Effect::InterferenceDetected(pair) => {
                    info!(self.node.log,
                        "interference: detected; \
                         kept apart where there is room";
                        "slowed" => pair.slowed, "by" => pair.by,
                        "pace" => pair.pace, "samples" => pair.samples);
                }
                Effect::InterferenceDropped { pair, reason } => {
                    info!(self.node.log,
                        "interference: dropped; no longer kept apart";
                        "slowed" => pair.slowed, "by" => pair.by,
                        "pace" => pair.pace, "samples" => pair.samples,
                        "reason" => reason.name());
                }
                Effect::Stop { order, reason } => {
                    if self.stopping.borrow_mut().insert(order) {
                        self.node.metrics.count_stop(reason.name());
                        if reason == StopReason::Evacuated {
                            Metrics::count(
                                &self.node.metrics.evacuation_moves,
                            );
                        }
                        actix_rt::spawn(Rc::clone(self).stop(order, reason));
                    }
                }
            }
        }
    }

    /// Logs and counts the runs that were lost with a life of their worker.
    fn report_worker_lost(
        &self,
        worker: WorkerSlot,
        end: LifeEnd,
        runs: &[LostRun],
    ) {
        let metrics = &self.node.metrics;
        metrics.count_runs_lost(end.name(), runs.len() as u64);
        let text: Vec<String> =
            runs.iter().take(LOGGED_RUNS).map(describe_lost_run).collect();
        warn!(self.node.log, "worker: lost; its runs start elsewhere";
            "worker" => &self.engine.borrow().listing(worker).id,
            "how" => end.name(), "count" => runs.len(),
            "runs" => text.join(", "));
    }

    /// Sends a start order, which also renews the worker's lease, and reports
    /// its outcome to the engine.
    async fn start(self: Rc<Owner>, order: StartOrder) {
        let Some(runner) = self.runner(order.worker) else {
            self.report_start(&order, StartOutcome::Refused);
            return;
        };
        let is_current = self.listing_doubt.wait().await;
        let is_refused = {
            let engine = self.engine.borrow();
            engine.is_evacuated(order.worker)
                || engine.is_overcommitted(order.worker)
        };
        if !is_current || is_refused || !self.may_start() {
            self.report_start(&order, StartOutcome::Refused);
            return;
        }
        let granted = {
            let mut engine = self.engine.borrow_mut();
            engine.grant_hold(order.worker, clock::now())
        };
        let Some(hold_until_ms) = granted.filter(|_| self.may_renew()) else {
            self.report_start(&order, StartOutcome::Refused);
            return;
        };
        Metrics::count(&self.node.metrics.starts);
        let fencing_token = self.fencing_token(order.worker);
        let request = StartRequest {
            task: order.task,
            run: order.run,
            payload: &order.payload,
            checkpoint: &order.checkpoint,
            ticket: order.ticket.as_deref(),
            hold_until_ms,
            fencing_token,
        };
        let sent_at = clock::now();
        let reply = runner.start(request, ORDER_TIMEOUT_MS).await;
        let outcome = self.checked_outcome(&order, fencing_token, reply);
        self.observe_clock(order.worker, reply.clock_ms, sent_at);
        let took_ms = clock::now().ms_since(sent_at);
        self.node.metrics.start_order.record_ms(took_ms);
        info!(self.node.log, "task: start ordered"; "task" => %order.task,
            "run" => order.run, "worker" => runner.id(),
            "outcome" => ?outcome);
        if outcome == StartOutcome::Fenced {
            self.end_fenced(&runner);
        }
        self.report_start(&order, outcome);
    }

    /// Returns the outcome of a start order. A worker that has restarted since
    /// the order was sent may refuse it for its fencing token, which was that
    /// of the former life.
    fn checked_outcome(
        &self,
        order: &StartOrder,
        fencing_token: u64,
        reply: StartReply,
    ) -> StartOutcome {
        let is_outdated = fencing_token < self.fencing_token(order.worker);
        match reply.outcome {
            StartOutcome::Fenced if is_outdated => StartOutcome::OtherLife,
            outcome => outcome,
        }
    }

    /// Applies the time on a worker's clock from its reply to an order, which
    /// tells whether another life has replied than the one it was sent to.
    fn observe_clock(
        &self,
        worker: WorkerSlot,
        clock_ms: Option<u64>,
        sent_at: TimeMs,
    ) {
        let Some(clock_ms) = clock_ms.filter(|_| self.alive.get()) else {
            return;
        };
        let now = clock::moment();
        let mut engine = self.engine.borrow_mut();
        if engine.observe_clock(worker, clock_ms, sent_at, now) {
            self.wake.notify_one();
        }
    }

    /// Logs that a worker has a new life, and how that is known.
    fn report_life(&self, worker: WorkerSlot, evidence: LifeEvidence) {
        let engine = self.engine.borrow();
        let lease_left_ms = engine.lease_left_ms(worker, clock::now());
        let id = &engine.listing(worker).id;
        match evidence {
            LifeEvidence::Start { incarnation, known } => {
                warn!(self.node.log,
                    "worker: restarted; \
                     no new tasks until it has seen a new fencing token";
                    "worker" => id, "born" => incarnation, "before" => known,
                    "lease_left_ms" => lease_left_ms);
            }
            LifeEvidence::Clock { clock_ms, expected_ms } => {
                warn!(self.node.log,
                    "worker: restarted by its clock; \
                     no new tasks until it has seen a new fencing token";
                    "worker" => id, "clock_ms" => clock_ms,
                    "expected_ms" => expected_ms,
                    "lease_left_ms" => lease_left_ms);
            }
        }
    }

    /// Reports the outcome of a start order to the engine.
    fn report_start(&self, order: &StartOrder, outcome: StartOutcome) {
        if outcome == StartOutcome::Unknown {
            Metrics::count(&self.node.metrics.starts_unanswered);
        }
        if !self.alive.get() {
            return;
        }
        let now = clock::moment();
        let mut engine = self.engine.borrow_mut();
        let job = order.task.step.job;
        let accepted = engine.accepted_unix_ms_if_queued(job);
        engine.report_start(order.worker, order.task, order.run, outcome, now);
        if let Some(accepted_unix_ms) = accepted
            && outcome == StartOutcome::Running
        {
            let waited_ms = now.unix_ms.saturating_sub(accepted_unix_ms);
            self.node.metrics.first_start.record_ms(waited_ms);
        }
        self.wake.notify_one();
    }

    /// Returns whether a stop order to a worker still has to be sent.
    fn needs_stop(&self, worker: WorkerSlot) -> bool {
        let now = clock::moment();
        self.alive.get() && self.engine.borrow().needs_stop(worker, now)
    }

    /// Sends a stop order until the worker confirms it, a worker that is no
    /// longer listed has lost its lease, or the ownership ends. Gives up while
    /// the worker has no address; its first report after that leads to another
    /// order if one is needed.
    async fn stop(self: Rc<Owner>, order: StopOrder, reason: StopReason) {
        while self.needs_stop(order.worker) {
            let Some(runner) = self.runner(order.worker) else {
                warn!(self.node.log,
                    "task: stop not sent; the worker has no address";
                    "task" => %order.task, "run" => order.run,
                    "worker" =>
                        &self.engine.borrow().listing(order.worker).id,
                    "reason" => reason.name());
                break;
            };
            let fencing_token = self.fencing_token(order.worker);
            let outcome = runner
                .stop(order.task, order.run, fencing_token, ORDER_TIMEOUT_MS)
                .await;
            info!(self.node.log, "task: stop ordered"; "task" => %order.task,
                "run" => order.run, "worker" => runner.id(),
                "reason" => reason.name(),
                "by" => reason.by().map(|by| by.to_string()),
                "fits_unasked" => reason.fits_unasked(),
                "outcome" => ?outcome);
            match outcome {
                StopOutcome::Accepted | StopOutcome::OtherLife => {
                    self.engine.borrow_mut().report_stopped(
                        order.worker,
                        order.task,
                        order.run,
                        clock::moment(),
                    );
                    self.wake.notify_one();
                    break;
                }
                StopOutcome::Fenced
                    if fencing_token == self.fencing_token(order.worker) =>
                {
                    self.end_fenced(&runner);
                    break;
                }
                // One that was fenced for a former life is sent again, too.
                StopOutcome::Fenced | StopOutcome::Failed(_) => {
                    let pause = Duration::from_millis(STOP_RETRY_MS);
                    actix_rt::time::sleep(pause).await;
                }
            }
        }
        self.stopping.borrow_mut().remove(&order);
    }
}
