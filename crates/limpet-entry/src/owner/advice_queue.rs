//! Calls for advice, spread over the instances.
//!
//! The advice service handles one call at a time for each calling machine,
//! so each instance is a lane. Long calls leave some lanes to short ones.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use limpet_adapter::Advisor;
use limpet_core::TimeMs;
use limpet_workflow::{AskId, StepKey};
use tokio::sync::Notify;

use super::Owner;
use crate::{
    clock,
    link::{AdviceAnswer, AdviceWork, PULL_WAIT_MS, advise},
};

/// A call that is likely to take longer counts as long.
const LONG_CALL_MS: f64 = 150.0;
/// The lanes that long calls leave free.
const SHORT_LANES: usize = 2;
/// A lane that hasn't asked for work for so long is gone.
const LANE_KEPT_MS: u64 = 4_000;
/// A call without an answer is given up after what it is likely to take,
/// twice, and this.
const OVERDUE_MS: u64 = 800;

/// Calls that wait or are under way.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    /// By priority, then by age.
    waiting: RefCell<BTreeMap<(u32, AskId), Waiting>>,
    under_way: RefCell<HashMap<AskId, UnderWay>>,
    /// When each instance asked for work last.
    seen: RefCell<HashMap<String, TimeMs>>,
    wake: Notify,
    closed: Cell<bool>,
}

#[derive(Debug)]
struct Waiting {
    step: StepKey,
    workers: Vec<String>,
    cost_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct UnderWay {
    since: TimeMs,
    cost_ms: f64,
}

impl Lanes {
    pub(super) fn push(
        &self,
        ask: AskId,
        step: StepKey,
        workers: Vec<String>,
        priority: u32,
        cost_ms: f64,
    ) {
        let waiting = Waiting { step, workers, cost_ms };
        self.waiting.borrow_mut().insert((priority, ask), waiting);
        self.wake.notify_one();
    }

    /// Returns the calls that wait for a lane.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Returns the calls that are under way.
    pub(super) fn under_way(&self) -> usize {
        self.under_way.borrow().len()
    }

    pub(super) fn close(&self) {
        self.closed.set(true);
        self.wake.notify_waiters();
    }

    /// Returns the most urgent call that may go to a lane, once there is
    /// one.
    pub(super) async fn next(
        &self,
        instance: &str,
        until: TimeMs,
        is_wanted: &dyn Fn(AskId) -> bool,
    ) -> Option<AdviceWork> {
        loop {
            let now = clock::now();
            if now >= until || self.closed.get() {
                return None;
            }
            self.seen.borrow_mut().insert(instance.to_owned(), now);
            if let Some(work) = self.take(now, is_wanted) {
                // Others may be able to take the next one.
                if !self.waiting.borrow().is_empty() {
                    self.wake.notify_one();
                }
                return Some(work);
            }
            let left = Duration::from_millis(until.ms_since(now));
            actix_rt::time::timeout(left, self.wake.notified()).await.ok();
        }
    }

    fn take(
        &self,
        now: TimeMs,
        is_wanted: &dyn Fn(AskId) -> bool,
    ) -> Option<AdviceWork> {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|(_, ask), _| is_wanted(*ask));
        let may_be_long = self.may_take_long(now);
        let key = waiting
            .iter()
            .find(|(_, one)| may_be_long || one.cost_ms < LONG_CALL_MS)
            .map(|(key, _)| *key)?;
        let one = waiting.remove(&key)?;
        let ask = key.1;
        let under_way = UnderWay { since: now, cost_ms: one.cost_ms };
        self.under_way.borrow_mut().insert(ask, under_way);
        Some(AdviceWork {
            ask,
            term: 0,
            step: one.step.to_string(),
            workers: one.workers,
            cost_ms: one.cost_ms as u64,
        })
    }

    fn may_take_long(&self, now: TimeMs) -> bool {
        let under_way = self.under_way.borrow();
        let long = under_way
            .values()
            .filter(|one| one.cost_ms >= LONG_CALL_MS)
            .count();
        long < self.count(now).saturating_sub(SHORT_LANES).max(1)
    }

    /// Returns the lanes that asked for work lately.
    pub(super) fn count(&self, now: TimeMs) -> usize {
        let seen = self.seen.borrow();
        let lately = |at: &&TimeMs| now.ms_since(**at) < LANE_KEPT_MS;
        seen.values().filter(lately).count()
    }

    /// Ends a call; returns how long it took.
    pub(super) fn finish(&self, ask: AskId) -> Option<u64> {
        let one = self.under_way.borrow_mut().remove(&ask)?;
        self.wake.notify_one();
        Some(clock::now().ms_since(one.since))
    }

    /// Returns the calls whose lane is silent for too long, and ends them.
    pub(super) fn take_overdue(&self, now: TimeMs) -> Vec<AskId> {
        let mut under_way = self.under_way.borrow_mut();
        let overdue: Vec<AskId> = under_way
            .iter()
            .filter(|(_, one)| {
                let allowed_ms = one.cost_ms as u64 * 2 + OVERDUE_MS;
                now.ms_since(one.since) > allowed_ms
            })
            .map(|(ask, _)| *ask)
            .collect();
        for ask in &overdue {
            under_way.remove(ask);
        }
        overdue
    }
}

impl Owner {
    /// Makes calls for advice from the owner's own machine.
    pub(super) async fn ask_locally(self: Rc<Owner>, address: String) {
        let advisor = Advisor::new(&address);
        let instance = self.node.settings.instance.name.clone();
        while self.alive.get() {
            let until = clock::now().plus_ms(PULL_WAIT_MS);
            if let Some(work) = self.next_work(&instance, until).await {
                let answer = advise(&advisor, work).await;
                self.take_advice(answer);
            }
        }
    }

    /// Gives up calls whose lane is silent.
    pub(super) fn drop_overdue_asks(&self) {
        for ask in self.lanes.take_overdue(clock::now()) {
            self.take_advice(AdviceAnswer {
                ask,
                term: self.term,
                tickets: None,
            });
        }
    }
}
