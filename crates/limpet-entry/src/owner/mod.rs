//! The owner of the cell: follows jobs and workers, passes their events to
//! the scheduling engine, and carries out the engine's effects.

mod advice_queue;
mod commit;
mod early_cancels;
mod effects;
mod ended_jobs;
mod evacuation;
mod expire;
mod follow;
mod job_rows;
mod lanes;
mod listing_doubt;
mod load;
mod pass_times;
mod pending_rows;
mod poll;
mod renewal;
mod speeds;
mod table_reader;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeSet, HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use limpet_adapter::Runner;
use limpet_core::TimeMs;
use limpet_workflow::{
    CellConfig, Counts, Engine, EngineOptions, EvacuationState, JobKey,
    JobPhase, LastingAway, SilentWorker, StopOrder, Ticket, WorkerSlot,
};
use slog::{info, warn};
use tokio::sync::Notify;

use self::{
    advice_queue::AdviceQueue, ended_jobs::EndedJobLines, job_rows::JobRows,
    listing_doubt::ListingDoubt, pass_times::PassTimes,
    pending_rows::PendingRows,
};
pub use self::{
    early_cancels::EarlyCancels,
    lanes::{Lanes, NEXT_LANE_MS},
};
use crate::{
    candidates::Candidates,
    clock,
    link::{AdviceAnswer, AdviceWork},
    node::Node,
    owner_record::OwnerRecord,
    store_wait::AnswerTimes,
};

/// The lease of a worker, unless the settings have a shorter one: how long it
/// keeps its tasks without a renewal. Long enough to last through a takeover,
/// but short, since tasks of an unreachable worker are started elsewhere only
/// after the lease.
const HOLD_MS: u64 = 3_000;
/// How long after the store's latest confirmation of the ownership an owner
/// renews the leases of workers.
const DETACHED_MS: u64 = 5_000;
/// The maximum time between two scheduling passes.
const TICK_MS: u64 = 50;
/// The pause after a scheduling pass, in which events accumulate.
const PASS_PAUSE_MS: u64 = 2;
/// How often the state of the cell is logged and expired jobs are removed.
const STATE_PERIOD_MS: u64 = 1_000;
/// Tasks that last and have waited for a place for this long are logged.
const LASTING_AWAY_MS: u64 = 1_000;
/// No tasks are placed while writes to the store are pending and none has been
/// answered for this long. A slow store answers earlier.
const STUCK_WRITE_MS: u64 = 400;
/// How long a graceful shutdown waits for pending writes.
const DRAIN_MS: u64 = 50;

/// The state of an ownership: the time from a takeover until another instance
/// takes over or the process ends.
pub struct Owner {
    node: Rc<Node>,
    /// The number of the ownership, and the fencing token of its orders.
    term: u64,
    engine: RefCell<Engine>,
    job_rows: RefCell<JobRows>,
    early_cancels: RefCell<EarlyCancels>,
    /// Whether the ownership has not ended.
    alive: Cell<bool>,
    /// Whether the jobs of earlier owners are loaded.
    loaded: Cell<bool>,
    /// Whether no more tasks are placed, before the ownership is released.
    draining: Cell<bool>,
    /// Whether no more leases are granted, since the ownership is being
    /// released.
    renewals_ended: Cell<bool>,
    /// Whether nothing starts since the evacuations are not confirmed.
    starts_held_back: Cell<bool>,
    /// When the store last confirmed the ownership.
    confirmed_at: Cell<TimeMs>,
    /// Whether the list of workers may be outdated.
    listing_doubt: ListingDoubt,
    /// Notified when the ownership ends or the process shuts down.
    ended: Notify,
    /// Notified when the engine should run a scheduling pass.
    wake: Notify,
    /// Notified when there is progress to write, or a lane to write it to.
    dirty: Notify,
    /// Notified when a lane becomes free.
    lane_freed: Notify,
    /// Notified when progress was written.
    committed: Notify,
    /// The lanes of progress.
    lanes: Lanes,
    /// The changed jobs that are to be written before others.
    pending: RefCell<PendingRows>,
    /// The answer times of writes of progress.
    answer_times: AnswerTimes,
    advice_queue: AdviceQueue,
    /// The instances that may succeed this one.
    pub candidates: Candidates,
    /// The scheduling passes since the latest log of the cell's state.
    pass_times: Cell<PassTimes>,
    ended_job_lines: EndedJobLines,
    /// The clients of the workers' addresses.
    runners: RefCell<HashMap<WorkerSlot, Rc<Runner>>>,
    /// The workers that are being polled.
    polled: RefCell<HashSet<WorkerSlot>>,
    /// The stop orders in progress.
    stopping: RefCell<HashSet<StopOrder>>,
}

impl Owner {
    /// Creates the state of a new ownership.
    pub fn new(node: &Rc<Node>, term: u64) -> Rc<Owner> {
        let bounds = &node.settings.bounds;
        let options = EngineOptions {
            hold_ms: bounds.hold_ms.min(HOLD_MS),
            max_hold_ms: bounds.hold_ms,
            detached_ms: DETACHED_MS,
            status_retention_ms: (bounds.status_kept_s * 1_000.0) as u64,
            worker_speeds: node.settings.scheduling.worker_speeds,
            keep_apart: node.settings.scheduling.keep_apart,
        };
        Rc::new(Owner {
            node: Rc::clone(node),
            term,
            engine: RefCell::new(Engine::new(options)),
            job_rows: RefCell::new(JobRows::default()),
            early_cancels: RefCell::new(EarlyCancels::new(
                options.status_retention_ms,
            )),
            alive: Cell::new(true),
            loaded: Cell::new(false),
            draining: Cell::new(false),
            renewals_ended: Cell::new(false),
            starts_held_back: Cell::new(false),
            confirmed_at: Cell::new(clock::now()),
            listing_doubt: ListingDoubt::default(),
            ended: Notify::new(),
            wake: Notify::new(),
            dirty: Notify::new(),
            lane_freed: Notify::new(),
            committed: Notify::new(),
            lanes: Lanes::default(),
            pending: RefCell::new(PendingRows::new(commit::MAX_ROWS)),
            answer_times: AnswerTimes::default(),
            advice_queue: AdviceQueue::default(),
            candidates: Candidates::default(),
            pass_times: Cell::new(PassTimes::default()),
            ended_job_lines: EndedJobLines::default(),
            runners: RefCell::new(HashMap::new()),
            polled: RefCell::new(HashSet::new()),
            stopping: RefCell::new(HashSet::new()),
        })
    }

    /// Loads the state of earlier owners, then schedules until the ownership
    /// ends.
    pub async fn run(self: Rc<Owner>) {
        let began = clock::now();
        let Some(loaded) = self.load().await else { return };
        info!(self.node.log, "owner: jobs loaded; scheduling starts";
            "term" => self.term, "jobs" => loaded.jobs,
            "took_ms" => clock::now().ms_since(began));
        self.loaded.set(true);
        // The load has read the list of workers. Whatever the store does from
        // now on, their holds are renewed by polls.
        self.start_polling();
        actix_rt::spawn(Rc::clone(&self).write_progress());
        actix_rt::spawn(Rc::clone(&self).follow_jobs(loaded.jobs_version));
        actix_rt::spawn(Rc::clone(&self).follow_listings());
        if let Some(address) = self.node.settings.advice.address.clone() {
            actix_rt::spawn(Rc::clone(&self).serve_local_advice(address));
        }
        actix_rt::spawn(Rc::clone(&self).report_state());
        if self.node.settings.scheduling.worker_speeds {
            actix_rt::spawn(Rc::clone(&self).report_speeds());
        }
        self.run_engine().await;
    }

    /// Logs the state of the cell periodically, for operators without the
    /// metrics, and removes expired jobs.
    async fn report_state(self: Rc<Owner>) {
        let period = Duration::from_millis(STATE_PERIOD_MS);
        while self.alive.get() {
            let due = clock::now().plus_ms(STATE_PERIOD_MS);
            actix_rt::time::sleep(period).await;
            let late_ms = clock::now().ms_since(due);
            self.expire_jobs().await;
            self.expire_early_cancels().await;
            let passes = self.pass_times.take();
            self.log_lasting_away();
            self.log_evacuations();
            let engine = self.engine.borrow();
            let counts = engine.counts(clock::now());
            info!(self.node.log, "cell: state"; "term" => self.term,
                "active_jobs" => counts.active_jobs,
                "waiting" => %engine.wait_counts(),
                "claims" => counts.claims,
                "suspect_tasks" => counts.suspect_tasks,
                "workers" => counts.usable_workers,
                "used_cores" => counts.used_cores_milli / 1_000,
                "kept_cores" => counts.reserved_cores_milli / 1_000,
                "usable_cores" => counts.usable_cores_milli / 1_000,
                "asks_waiting" => self.advice_queue.waiting(),
                "asks_under_way" => self.advice_queue.in_progress(),
                "early_cancels" => self.early_cancels.borrow().len(),
                "late_ms" => late_ms,
                "passes" => passes.count,
                "pass_ms" => passes.total_us / 1_000,
                "pass_max_ms" => passes.max_us / 1_000);
        }
    }

    /// Logs how many tasks that last wait for a place, and which of their
    /// steps has waited for longest.
    fn log_lasting_away(&self) {
        let away = self.lasting_away();
        let Some(longest) = away.iter().max_by_key(|away| away.waited_ms)
        else {
            return;
        };
        warn!(self.node.log, "cell: tasks that last wait for a place";
            "term" => self.term, "steps" => away.len(),
            "tasks" => away.iter().map(|away| away.tasks).sum::<usize>(),
            "longest" => %longest.step, "waited_ms" => longest.waited_ms,
            "cause" => longest.cause.map(|cause| cause.to_string()));
    }

    /// Runs scheduling passes and carries out their effects.
    async fn run_engine(self: Rc<Owner>) {
        let tick = Duration::from_millis(TICK_MS);
        while self.alive.get() {
            actix_rt::time::timeout(tick, self.wake.notified()).await.ok();
            self.expire_overdue_requests();
            let now = clock::moment();
            let began = Instant::now();
            let effects = {
                let mut engine = self.engine.borrow_mut();
                engine.set_advice_concurrency(
                    self.advice_queue.active_instances(now.steady),
                );
                let may_schedule = !self.draining.get()
                    && !self.is_write_stuck()
                    && !self.listing_doubt.is_outdated()
                    && self.may_start();
                if may_schedule {
                    engine.schedule(now);
                }
                engine.take_effects()
            };
            let mut passes = self.pass_times.get();
            passes.record(began.elapsed());
            self.pass_times.set(passes);
            self.perform(effects);
            if self.engine.borrow().has_dirty(&|_, _| true) {
                self.dirty.notify_one();
            }
            let pause = Duration::from_millis(PASS_PAUSE_MS);
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Returns whether the ownership has not ended.
    pub fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// Returns whether the ownership has not ended and the jobs of earlier
    /// owners are loaded.
    pub fn is_loaded(&self) -> bool {
        self.alive.get() && self.loaded.get()
    }

    /// Ends the ownership. No more orders are sent.
    pub fn end(&self) {
        self.alive.set(false);
        self.ended.notify_waiters();
        self.wake.notify_one();
        self.committed.notify_waiters();
        self.dirty.notify_one();
        self.lane_freed.notify_one();
        self.advice_queue.close();
    }

    /// Wakes the renewal of the ownership, so that it notices a shutdown at
    /// once.
    pub fn notify_shutdown(&self) {
        self.ended.notify_waiters();
    }

    /// Waits until the ownership ends or the process shuts down.
    pub async fn wait_for_end(&self) {
        if self.alive.get() {
            self.ended.notified().await;
        }
    }

    /// Stops placing tasks, and waits up to [`DRAIN_MS`] for pending writes.
    pub async fn drain(&self) {
        self.draining.set(true);
        let until = clock::now().plus_ms(DRAIN_MS);
        while clock::now() < until && self.is_writing() {
            let pause = Duration::from_millis(PASS_PAUSE_MS);
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Returns whether writes have been unanswered for so long that new
    /// decisions would be outdated before they are durable.
    fn is_write_stuck(&self) -> bool {
        self.lanes.is_stuck(clock::now(), STUCK_WRITE_MS)
    }

    /// Returns whether there is progress that is not durable yet.
    fn is_writing(&self) -> bool {
        self.lanes.is_writing() || self.engine.borrow().has_dirty(&|_, _| true)
    }

    /// Records that the store confirmed the ownership at `at`.
    pub fn confirm(&self, at: TimeMs) {
        self.confirmed_at.set(at);
    }

    /// Records that the store has not confirmed the ownership. Once it counts
    /// as lost, the list of workers may be outdated.
    pub fn record_store_failure(&self) {
        if self.node.store_is_lost() {
            self.listing_doubt.record_failure(clock::now());
        }
    }

    /// Returns whether the leases of workers may be renewed.
    fn may_renew(&self) -> bool {
        let age_ms = clock::now().ms_since(self.confirmed_at.get());
        self.alive.get() && !self.renewals_ended.get() && age_ms < DETACHED_MS
    }

    /// Returns the number of the ownership.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Applies what the owner before has told of the leases of workers.
    pub fn inherit_leases(&self, before: &OwnerRecord) {
        if let Some(silent) = before.released_workers() {
            let now = clock::now();
            self.engine.borrow_mut().inherit_leases(silent, now);
        }
    }

    /// Ends the renewal of leases, before the ownership is released. Returns
    /// the workers that are not reached; `None` if they are unknown, as the
    /// jobs of earlier owners are not loaded.
    pub fn end_renewals(&self) -> Option<Vec<SilentWorker>> {
        self.renewals_ended.set(true);
        let is_loaded = self.loaded.get();
        is_loaded.then(|| self.engine.borrow().silent_workers(clock::now()))
    }

    /// Applies a newer configuration.
    pub fn set_config(&self, config: Arc<CellConfig>) {
        self.engine.borrow_mut().set_config(config);
        self.wake.notify_one();
    }

    /// Applies a change of the evacuated data centres.
    pub fn set_evacuations(&self, data_centres: BTreeSet<String>) {
        let now = clock::moment();
        self.engine.borrow_mut().set_evacuations(data_centres, now);
        self.wake.notify_one();
    }

    /// Returns the state of the evacuations.
    pub fn evacuation_state(&self) -> EvacuationState {
        self.engine.borrow().evacuation_state()
    }

    /// Returns the number of workers in each speed band.
    pub fn speed_bands(&self) -> Vec<(i32, usize)> {
        self.engine.borrow().speed_bands()
    }

    /// Returns the phase of a job; `None` if it is unknown.
    pub fn phase(&self, job: JobKey) -> Option<JobPhase> {
        self.engine.borrow().phase(job)
    }

    /// Returns counts of the cell for metrics.
    pub fn counts(&self) -> Counts {
        self.engine.borrow().counts(clock::now())
    }

    /// Returns the steps of tasks that last of which tasks have waited for a
    /// place for [`LASTING_AWAY_MS`].
    pub fn lasting_away(&self) -> Vec<LastingAway> {
        self.engine.borrow().lasting_away(clock::now(), LASTING_AWAY_MS)
    }

    /// Returns the number of jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        self.engine.borrow().pending(queue)
    }

    /// Waits until there is an advice request for an instance to make. Returns
    /// `None` if there is none by `until`, if the instance pulls again, or if
    /// the ownership ends.
    pub async fn next_work(
        &self,
        instance: &str,
        pull: u64,
        until: TimeMs,
    ) -> Option<AdviceWork> {
        let is_wanted = |ask| self.engine.borrow().is_advice_wanted(ask);
        let mut work =
            self.advice_queue.next(instance, pull, until, &is_wanted).await?;
        work.term = self.term;
        Some(work)
    }

    /// Applies the answer to an advice request. Answers to an earlier owner
    /// are ignored.
    pub fn report_advice(&self, answer: AdviceAnswer) {
        if answer.term != self.term {
            return;
        }
        let took_ms = self.advice_queue.finish(answer.ask);
        if let Some(took_ms) = took_ms {
            self.node.metrics.advice.record_ms(took_ms);
        }
        let tickets = answer.tickets.map(|tickets| {
            tickets
                .into_iter()
                .map(|(worker, ticket)| Ticket { worker, ticket })
                .collect::<Vec<Ticket>>()
        });
        info!(self.node.log, "advice: answered"; "ask" => answer.ask,
            "allowed" => tickets.as_ref().map(Vec::len),
            "took_ms" => took_ms);
        let now = clock::moment();
        self.engine.borrow_mut().report_advice(answer.ask, tickets, now);
        self.wake.notify_one();
    }
}
