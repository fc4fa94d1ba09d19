//! What the owner of the cell does: it follows jobs and workers, has its
//! engine decide, and performs what was decided.

mod advice_queue;
mod commit;
mod effects;
mod expire;
mod follow;
mod load;
mod poll;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use limpet_adapter::Runner;
use limpet_core::TimeMs;
use limpet_workflow::{
    CellConfig, Counts, Engine, EngineOptions, JobKey, JobPhase, StopOrder,
    Ticket, WorkerSlot,
};
use slog::info;
use tokio::sync::Notify;

use self::advice_queue::Lanes;
use crate::{
    clock,
    link::{AdviceAnswer, AdviceWork},
    node::Node,
};

/// How long a worker holds its tasks without a renewal: past a takeover by a
/// lapsed lease, and short, since nothing of a silent worker is started
/// elsewhere before.
const HOLD_MS: u64 = 3_000;
/// How long an owner that the store doesn't confirm goes on renewing holds.
const DETACHED_MS: u64 = 5_000;
/// How often the engine looks at its clocks when nothing else happens.
const TICK_MS: u64 = 50;
/// The pause between two passes, in which events gather.
const PASS_PAUSE_MS: u64 = 2;
/// How often the state of the cell is written to the log.
const STATE_PERIOD_MS: u64 = 1_000;
/// With a write this old nothing new is decided; a slow store answers
/// sooner.
const STUCK_WRITE_MS: u64 = 400;
/// How long a graceful end waits for what is under way.
const SETTLE_MS: u64 = 50;

/// The state of one ownership.
pub struct Owner {
    node: Rc<Node>,
    term: u64,
    engine: RefCell<Engine>,
    alive: Cell<bool>,
    loaded: Cell<bool>,
    /// Whether starts are no longer decided on.
    settling: Cell<bool>,
    confirmed_at: Cell<TimeMs>,
    ended: Notify,
    /// Rings when the engine has something to do.
    wake: Notify,
    /// Rings when rows are to be written.
    dirty: Notify,
    /// Rings when rows were written.
    committed: Notify,
    /// Since when the write that is under way has had no answer.
    writing_since: Cell<Option<TimeMs>>,
    lanes: Lanes,
    runners: RefCell<HashMap<WorkerSlot, Rc<Runner>>>,
    watched: RefCell<HashSet<WorkerSlot>>,
    stopping: RefCell<HashSet<StopOrder>>,
}

impl Owner {
    /// Returns the state of an ownership that begins.
    pub fn new(node: &Rc<Node>, term: u64) -> Rc<Owner> {
        let bounds = &node.settings.bounds;
        let options = EngineOptions {
            hold_ms: bounds.hold_ms.min(HOLD_MS),
            detached_ms: DETACHED_MS,
            status_retention_ms: (bounds.status_kept_s * 1_000.0) as u64,
        };
        Rc::new(Owner {
            node: Rc::clone(node),
            term,
            engine: RefCell::new(Engine::new(options)),
            alive: Cell::new(true),
            loaded: Cell::new(false),
            settling: Cell::new(false),
            confirmed_at: Cell::new(clock::now()),
            ended: Notify::new(),
            wake: Notify::new(),
            dirty: Notify::new(),
            committed: Notify::new(),
            writing_since: Cell::new(None),
            lanes: Lanes::default(),
            runners: RefCell::new(HashMap::new()),
            watched: RefCell::new(HashSet::new()),
            stopping: RefCell::new(HashSet::new()),
        })
    }

    /// Loads what earlier owners left, then decides until the end.
    pub async fn run(self: Rc<Owner>) {
        let began = clock::now();
        let Some(loaded) = self.load().await else { return };
        info!(self.node.log, "owner: loaded"; "term" => self.term,
            "jobs" => loaded.jobs, "took_ms" => clock::now().ms_since(began));
        self.loaded.set(true);
        actix_rt::spawn(Rc::clone(&self).write_progress(loaded.head));
        actix_rt::spawn(Rc::clone(&self).follow_jobs(loaded.jobs_version));
        actix_rt::spawn(Rc::clone(&self).follow_listings());
        if let Some(address) = self.node.settings.advice.address.clone() {
            actix_rt::spawn(Rc::clone(&self).ask_locally(address));
        }
        actix_rt::spawn(Rc::clone(&self).report_state());
        self.decide().await;
    }

    /// Writes the state of the cell to the log, for those who have only the
    /// log.
    async fn report_state(self: Rc<Owner>) {
        let period = Duration::from_millis(STATE_PERIOD_MS);
        while self.alive.get() {
            actix_rt::time::sleep(period).await;
            self.forget_jobs().await;
            let engine = self.engine.borrow();
            let counts = engine.counts(clock::now());
            info!(self.node.log, "cell: state"; "term" => self.term,
                "active_jobs" => counts.active_jobs,
                "waiting" => %engine.wait_counts(),
                "claims" => counts.claims,
                "workers" => counts.usable_workers,
                "used_cores" => counts.used_cores_milli / 1_000,
                "kept_cores" => counts.reserved_cores_milli / 1_000,
                "usable_cores" => counts.usable_cores_milli / 1_000,
                "asks_waiting" => self.lanes.waiting(),
                "asks_under_way" => self.lanes.under_way());
        }
    }

    async fn decide(self: Rc<Owner>) {
        let tick = Duration::from_millis(TICK_MS);
        while self.alive.get() {
            actix_rt::time::timeout(tick, self.wake.notified()).await.ok();
            self.drop_overdue_asks();
            let now = clock::moment();
            let effects = {
                let mut engine = self.engine.borrow_mut();
                engine.set_advice_concurrency(self.lanes.count(now.steady));
                if !self.settling.get() && !self.is_write_stuck() {
                    engine.schedule(now);
                }
                engine.take_effects()
            };
            self.perform(effects);
            if self.engine.borrow().has_dirty() {
                self.dirty.notify_one();
            }
            let pause = Duration::from_millis(PASS_PAUSE_MS);
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Says whether this ownership hasn't ended.
    pub fn is_alive(&self) -> bool {
        self.alive.get()
    }

    /// Says whether the jobs of earlier owners are known.
    pub fn is_loaded(&self) -> bool {
        self.alive.get() && self.loaded.get()
    }

    /// Ends this ownership; nothing is ordered any more.
    pub fn end(&self) {
        self.alive.set(false);
        self.ended.notify_waiters();
        self.wake.notify_one();
        self.committed.notify_waiters();
        self.dirty.notify_one();
        self.lanes.close();
    }

    /// Lets the ownership notice at once that the process ends.
    pub fn hurry(&self) {
        self.ended.notify_waiters();
    }

    /// Waits until the ownership ends.
    pub async fn wait_for_end(&self) {
        if self.alive.get() {
            self.ended.notified().await;
        }
    }

    /// Stops deciding and waits until what was decided is durable.
    pub async fn settle(&self) {
        self.settling.set(true);
        let until = clock::now().plus_ms(SETTLE_MS);
        while clock::now() < until && self.is_writing() {
            let pause = Duration::from_millis(PASS_PAUSE_MS);
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Says whether what is decided now would wait for the store for so long
    /// that it is outdated by then.
    fn is_write_stuck(&self) -> bool {
        self.writing_since.get().is_some_and(|since| {
            clock::now().ms_since(since) >= STUCK_WRITE_MS
        })
    }

    fn is_writing(&self) -> bool {
        self.writing_since.get().is_some() || self.engine.borrow().has_dirty()
    }

    /// Records that the store has confirmed the ownership.
    pub fn confirm(&self, at: TimeMs) {
        self.confirmed_at.set(at);
    }

    /// Says whether holds may still be renewed.
    fn may_renew(&self) -> bool {
        let age_ms = clock::now().ms_since(self.confirmed_at.get());
        self.alive.get() && age_ms < DETACHED_MS
    }

    /// Takes a newer configuration into force.
    pub fn set_config(&self, config: Arc<CellConfig>) {
        self.engine.borrow_mut().set_config(config);
        self.wake.notify_one();
    }

    /// Returns where a job stands; `None` for one that isn't known here.
    pub fn phase(&self, job: JobKey) -> Option<JobPhase> {
        self.engine.borrow().phase(job)
    }

    /// Returns counts of the cell for metrics.
    pub fn counts(&self) -> Counts {
        self.engine.borrow().counts(clock::now())
    }

    /// Returns the jobs of a queue that wait for their first task.
    pub fn pending(&self, queue: &str) -> usize {
        self.engine.borrow().pending(queue)
    }

    /// Returns a call for advice for an instance, once there is one.
    pub async fn next_work(
        &self,
        instance: &str,
        until: TimeMs,
    ) -> Option<AdviceWork> {
        let is_wanted = |ask| self.engine.borrow().is_advice_wanted(ask);
        let mut work = self.lanes.next(instance, until, &is_wanted).await?;
        work.term = self.term;
        Some(work)
    }

    /// Takes in what came of a call for advice.
    pub fn take_advice(&self, answer: AdviceAnswer) {
        if answer.term != self.term {
            return;
        }
        let took_ms = self.lanes.finish(answer.ask);
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
