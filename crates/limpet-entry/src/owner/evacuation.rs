//! Logs what the owner does about evacuations.

use slog::{info, warn};

use super::Owner;

impl Owner {
    /// Logs the state of the evacuations, if there are any.
    pub(super) fn log_evacuations(&self) {
        let engine = self.engine.borrow();
        let state = engine.evacuation_state();
        if state.data_centres == 0 {
            return;
        }
        let names: Vec<&str> =
            engine.evacuations().iter().map(String::as_str).collect();
        info!(self.node.log, "evacuation: state"; "term" => self.term,
            "data_centres" => names.join(", "),
            "workers" => state.workers,
            "runs" => state.runs,
            "moved" => state.moves,
            "stay" => %state.stays);
        if engine.is_all_evacuated() {
            warn!(self.node.log,
                "evacuation: all workers are evacuated; nothing starts";
                "term" => self.term);
        }
    }

    /// Returns whether the evacuations were confirmed recently enough to start
    /// tasks. Logs when that changes.
    pub(super) fn may_start(&self) -> bool {
        let is_fresh = self.node.evacuations_are_fresh();
        if self.starts_held_back.replace(!is_fresh) == is_fresh {
            match is_fresh {
                true => info!(self.node.log,
                    "evacuation: confirmed again; starts go on";
                    "term" => self.term),
                false => warn!(self.node.log,
                    "evacuation: not confirmed; nothing starts";
                    "term" => self.term,
                    "config_age_ms" => self.node.config_age_ms()),
            }
        }
        is_fresh
    }
}
