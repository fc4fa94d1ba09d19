//! Renews the holds of workers during a load.

use futures::future;
use limpet_adapter::{HoldOutcome, HoldRequest, Runner};
use limpet_workflow::WorkerSlot;

use super::Owner;
use crate::{clock, metrics::Metrics};

/// The first renewals of all workers are spread over this time.
const SPREAD_MS: u64 = 200;
/// The minimum pause after a renewal. Two renewals in a row may fail before a
/// lease of 3 s expires.
const MIN_PAUSE_MS: u64 = 900;
/// The maximum pause after a renewal. Pauses vary, so that renewals stay
/// spread.
const MAX_PAUSE_MS: u64 = 1_300;
/// The pause after a failed renewal.
const RETRY_MS: u64 = 150;

impl Owner {
    /// Renews the holds of the listed workers until the ownership ends.
    ///
    /// Reports aren't applied, and no ends are acknowledged, as the claims of
    /// the reported runs may not be loaded yet.
    pub(super) async fn renew_holds(&self) {
        let slots = self.engine.borrow().worker_slots();
        let count = slots.len() as u64;
        let renewals = slots.map(|slot| async move {
            clock::pause(SPREAD_MS * u64::from(slot) / count).await;
            self.renew_holds_of(slot).await;
        });
        future::join_all(renewals).await;
    }

    /// Renews a worker's hold until the ownership ends.
    async fn renew_holds_of(&self, slot: WorkerSlot) {
        while self.alive.get() {
            let runner = self.runner(slot).filter(|_| self.may_renew());
            let pause_ms = match runner {
                Some(runner) => self.renew_hold(slot, &runner).await,
                None => RETRY_MS,
            };
            clock::pause(pause_ms).await;
        }
    }

    /// Sends a hold request, which renews the worker's lease if its clock is
    /// known. Returns the pause before the next one, in milliseconds.
    async fn renew_hold(&self, slot: WorkerSlot, runner: &Runner) -> u64 {
        let hold_until_ms =
            self.engine.borrow_mut().renew_hold(slot, clock::now());
        let fencing_token = self.fencing_token(slot);
        let request = HoldRequest {
            fencing_token,
            committed_end: 0,
            hold_until_ms,
            wait_ms: 0,
        };
        let outcome = runner.hold(request).await;
        if !self.alive.get() {
            return 0;
        }
        let mut engine = self.engine.borrow_mut();
        match outcome {
            HoldOutcome::Report(report) => {
                let is_known =
                    engine.record_clock(slot, &report, clock::now());
                match is_known && hold_until_ms.is_none() {
                    true => 0,
                    false => rand::random_range(MIN_PAUSE_MS..MAX_PAUSE_MS),
                }
            }
            HoldOutcome::Fenced => {
                drop(engine);
                self.end_fenced(runner);
                0
            }
            HoldOutcome::NoAnswer(_)
            | HoldOutcome::OtherLife
            | HoldOutcome::Refused
            | HoldOutcome::Failed(_) => {
                Metrics::count(&self.node.metrics.polls_failed);
                engine.forget_clock(slot);
                RETRY_MS
            }
        }
    }
}
