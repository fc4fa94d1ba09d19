//! The queue of advice requests, which are distributed over the instances.
//!
//! The advice service handles one request at a time for each machine that
//! calls it, so each instance makes one request at a time. Long requests do
//! not use all instances, so that short ones need not wait for them.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use limpet_adapter::Advisor;
use limpet_core::TimeMs;
use limpet_workflow::{AdviceRequestId, StepKey};
use tokio::sync::Notify;

use super::Owner;
use crate::{
    clock,
    link::{AdviceAnswer, AdviceWork, PULL_WAIT_MS, request_advice},
};

/// A request with at least this expected duration is long.
const LONG_REQUEST_MS: f64 = 150.0;
/// The number of instances that make no long requests.
const SHORT_REQUEST_INSTANCES: usize = 2;
/// An instance that has not pulled a request for this long counts as failed.
const INSTANCE_TIMEOUT_MS: u64 = 4_000;
/// A request without an answer counts as failed after twice its expected
/// duration and this.
const OVERDUE_MARGIN_MS: u64 = 800;

/// Advice requests that are queued or in progress.
#[derive(Debug, Default)]
pub(super) struct AdviceQueue {
    /// The queued requests, by priority, then by age.
    waiting: RefCell<BTreeMap<(u32, AdviceRequestId), QueuedRequest>>,
    /// The requests that an instance has pulled and not answered.
    in_progress: RefCell<HashMap<AdviceRequestId, InProgress>>,
    /// The latest pull of each instance, by name.
    last_pulls: RefCell<HashMap<String, LatestPull>>,
    /// Notified when a queued request may be taken.
    wake: Notify,
    /// Whether the ownership has ended, after which pulls get no request.
    closed: Cell<bool>,
}

#[derive(Debug)]
struct QueuedRequest {
    step: StepKey,
    /// The ids of the workers that the request names.
    workers: Vec<String>,
    /// The expected duration of the request.
    cost_ms: f64,
}

#[derive(Debug)]
struct InProgress {
    /// The name of the instance that pulled the request.
    instance: String,
    /// When the instance pulled the request.
    since: TimeMs,
    priority: u32,
    request: QueuedRequest,
}

#[derive(Clone, Copy, Debug, Default)]
struct LatestPull {
    /// Increases with each pull of the instance.
    number: u64,
    /// When the pull last waited for a request.
    at: TimeMs,
}

impl AdviceQueue {
    /// Queues a request.
    pub(super) fn push(
        &self,
        ask: AdviceRequestId,
        step: StepKey,
        workers: Vec<String>,
        priority: u32,
        cost_ms: f64,
    ) {
        let waiting = QueuedRequest { step, workers, cost_ms };
        self.waiting.borrow_mut().insert((priority, ask), waiting);
        self.wake.notify_one();
    }

    /// Returns the number of queued requests.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Returns the number of requests in progress.
    pub(super) fn in_progress(&self) -> usize {
        self.in_progress.borrow().len()
    }

    /// Ends all waiting pulls without a request.
    pub(super) fn close(&self) {
        self.closed.set(true);
        self.wake.notify_waiters();
    }

    /// Begins a pull, after its answer was reported. Returns its number.
    ///
    /// An instance makes one request at a time. One that pulls again has
    /// abandoned its earlier pulls, which get no more requests, and has not
    /// received those that they got, which are queued again.
    pub(super) fn begin_pull(&self, instance: &str) -> u64 {
        let unreceived: Vec<(AdviceRequestId, InProgress)> = self
            .in_progress
            .borrow_mut()
            .extract_if(|_, request| request.instance == instance)
            .collect();
        for (ask, taken) in unreceived {
            let key = (taken.priority, ask);
            self.waiting.borrow_mut().insert(key, taken.request);
            self.wake.notify_one();
        }
        let mut last_pulls = self.last_pulls.borrow_mut();
        let pull = last_pulls.entry(instance.to_owned()).or_default();
        pull.number += 1;
        pull.at = clock::now();
        pull.number
    }

    /// Returns whether an instance has not pulled again since this pull.
    pub(super) fn is_latest_pull(&self, instance: &str, pull: u64) -> bool {
        let last_pulls = self.last_pulls.borrow();
        last_pulls.get(instance).is_some_and(|latest| latest.number == pull)
    }

    /// Waits until there is a request for an instance, and returns the most
    /// urgent one. Returns `None` after `until`, or if the instance has pulled
    /// again. Drops queued requests for which `is_wanted` returns false.
    pub(super) async fn next(
        &self,
        instance: &str,
        pull: u64,
        until: TimeMs,
        is_wanted: &dyn Fn(AdviceRequestId) -> bool,
    ) -> Option<AdviceWork> {
        let mut was_notified = false;
        loop {
            let now = clock::now();
            let is_latest = self.is_latest_pull(instance, pull);
            if now >= until || self.closed.get() || !is_latest {
                if was_notified {
                    self.wake_next();
                }
                return None;
            }
            if let Some(latest) =
                self.last_pulls.borrow_mut().get_mut(instance)
            {
                latest.at = now;
            }
            if let Some(work) = self.take(instance, now, is_wanted) {
                self.wake_next();
                return Some(work);
            }
            let left = Duration::from_millis(until.ms_since(now));
            let wait = actix_rt::time::timeout(left, self.wake.notified());
            was_notified = wait.await.is_ok();
        }
    }

    /// Wakes another pull if there are queued requests.
    fn wake_next(&self) {
        if !self.waiting.borrow().is_empty() {
            self.wake.notify_one();
        }
    }

    /// Takes the most urgent request that may be made now.
    fn take(
        &self,
        instance: &str,
        now: TimeMs,
        is_wanted: &dyn Fn(AdviceRequestId) -> bool,
    ) -> Option<AdviceWork> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|(_, ask), _| is_wanted(*ask));
        let may_be_long = self.may_take_long_request(now);
        let key = waiting
            .iter()
            .find(|(_, request)| {
                may_be_long || request.cost_ms < LONG_REQUEST_MS
            })
            .map(|(key, _)| *key)?;
        let request = waiting.remove(&key)?;
        let (priority, ask) = key;
        let work = AdviceWork {
            ask,
            term: 0,
            step: request.step.to_string(),
            workers: request.workers.clone(),
            cost_ms: request.cost_ms as u64,
        };
        let instance = instance.to_owned();
        let in_progress =
            InProgress { instance, since: now, priority, request };
        self.in_progress.borrow_mut().insert(ask, in_progress);
        Some(work)
    }

    /// Returns whether another long request may be made now.
    fn may_take_long_request(&self, now: TimeMs) -> bool {
        let in_progress = self.in_progress.borrow();
        let long = in_progress
            .values()
            .filter(|taken| taken.request.cost_ms >= LONG_REQUEST_MS)
            .count();
        long < self
            .active_instances(now)
            .saturating_sub(SHORT_REQUEST_INSTANCES)
            .max(1)
    }

    /// Returns the number of instances that have pulled a request recently.
    pub(super) fn active_instances(&self, now: TimeMs) -> usize {
        let last_pulls = self.last_pulls.borrow();
        let is_active =
            |pull: &&LatestPull| now.ms_since(pull.at) < INSTANCE_TIMEOUT_MS;
        last_pulls.values().filter(is_active).count()
    }

    /// Removes an answered request. Returns how long it took in milliseconds;
    /// `None` if [`AdviceQueue::take_overdue`] removed it before.
    pub(super) fn finish(&self, ask: AdviceRequestId) -> Option<u64> {
        let request = self.in_progress.borrow_mut().remove(&ask)?;
        self.wake.notify_one();
        Some(clock::now().ms_since(request.since))
    }

    /// Removes the requests that have had no answer for too long, and returns
    /// their ids.
    pub(super) fn take_overdue(&self, now: TimeMs) -> Vec<AdviceRequestId> {
        let mut in_progress = self.in_progress.borrow_mut();
        let overdue: Vec<AdviceRequestId> = in_progress
            .iter()
            .filter(|(_, taken)| {
                let allowed_ms =
                    taken.request.cost_ms as u64 * 2 + OVERDUE_MARGIN_MS;
                now.ms_since(taken.since) > allowed_ms
            })
            .map(|(ask, _)| *ask)
            .collect();
        for ask in &overdue {
            in_progress.remove(ask);
        }
        overdue
    }
}

impl Owner {
    /// Begins a pull of an instance. Returns its number.
    pub fn begin_pull(&self, instance: &str) -> u64 {
        self.advice_queue.begin_pull(instance)
    }

    /// Returns whether an instance has not pulled again since this pull.
    pub fn is_latest_pull(&self, instance: &str, pull: u64) -> bool {
        self.advice_queue.is_latest_pull(instance, pull)
    }

    /// Makes advice requests from the owner's own machine until the ownership
    /// ends. `address` is that of the advice service.
    pub(super) async fn serve_local_advice(self: Rc<Owner>, address: String) {
        let advisor = Advisor::new(&address);
        let instance = self.node.settings.instance.name.clone();
        while self.alive.get() {
            let pull = self.begin_pull(&instance);
            let until = clock::now().plus_ms(PULL_WAIT_MS);
            if let Some(work) = self.next_work(&instance, pull, until).await {
                let answer = request_advice(&advisor, work).await;
                self.report_advice(answer);
            }
        }
    }

    /// Reports overdue requests as failed to the engine.
    pub(super) fn expire_overdue_requests(&self) {
        for ask in self.advice_queue.take_overdue(clock::now()) {
            self.report_advice(AdviceAnswer {
                ask,
                term: self.term,
                tickets: None,
            });
        }
    }
}
