//! Evacuations of data centres.

use std::collections::BTreeSet;

use limpet_workflow::StartOrder;

use super::Simulation;

impl Simulation {
    /// Spreads the workers over data centres, in turns.
    pub fn spread(&mut self, data_centres: &[&str]) {
        for number in 0..self.workers.len() {
            let name = data_centres[number % data_centres.len()];
            self.workers[number].data_centre = name.to_owned();
            let (listing, now) = (self.listing(number), self.now());
            if !self.is_loading() {
                self.engine.set_listing(listing, now);
            }
        }
    }

    /// Begins the evacuation of a data centre.
    pub fn evacuate(&mut self, data_centre: &str) {
        let now_ms = self.now_ms;
        self.evacuated.entry(data_centre.to_owned()).or_insert(now_ms);
        self.tell_evacuations();
    }

    /// Ends the evacuation of a data centre.
    pub fn end_evacuation(&mut self, data_centre: &str) {
        self.evacuated.remove(data_centre);
        self.tell_evacuations();
    }

    /// Passes the evacuations to the engine.
    pub(super) fn tell_evacuations(&mut self) {
        let names: BTreeSet<String> = self.evacuated.keys().cloned().collect();
        let now = self.now();
        self.engine.set_evacuations(names, now);
    }

    /// Returns the data centre of a worker.
    pub fn data_centre(&self, id: &str) -> &str {
        let worker = self.workers.iter().find(|worker| worker.id == id);
        &worker.expect("the worker is known").data_centre
    }

    /// Returns the starts in a data centre since `since_ms`.
    pub fn starts_in(&self, data_centre: &str, since_ms: u64) -> usize {
        let starts = self.starts.iter().filter(|(at, _, id)| {
            *at >= since_ms && self.data_centre(id) == data_centre
        });
        starts.count()
    }

    /// Returns the number of runs in a data centre.
    pub fn runs_in(&self, data_centre: &str) -> usize {
        self.workers
            .iter()
            .filter(|worker| worker.data_centre == data_centre)
            .map(|worker| worker.runs.len())
            .sum()
    }

    /// Records a violation if an order is sent to an evacuated data centre.
    pub(super) fn check_evacuated_order(&mut self, order: &StartOrder) {
        let worker = &self.workers[order.worker as usize];
        if self.evacuated.contains_key(&worker.data_centre) {
            let violation = format!(
                "{} is ordered at {} in an evacuated data centre",
                order.task, worker.id
            );
            self.history.violations.push(violation);
        }
    }

    /// Records how late after the beginning of an evacuation an order of
    /// before starts a run.
    pub(super) fn record_late_start(&mut self, order: &StartOrder) {
        let worker = &self.workers[order.worker as usize];
        if let Some(since_ms) = self.evacuated.get(&worker.data_centre) {
            let late_ms = self.now_ms - since_ms;
            self.longest_late_start_ms =
                self.longest_late_start_ms.max(late_ms);
        }
    }
}
