//! Follows the platform's list of instances, workers and endpoints.

use std::time::Duration;

use limpet_core::{ShardId, scheduler::Event};
use limpet_platform::{InstanceEntry, Listing, MemberState, WorkerEntry};
use slog::warn;

use super::SharedState;

/// Renews this instance's entry in the platform's list and reads the list, at
/// each poll interval.
pub(super) async fn run(state: SharedState) {
    let interval_ms = state.borrow().parts.settings.control.directory_poll_ms;
    loop {
        refresh(&state).await;
        actix_rt::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// Renews this instance's entry once, reads the list and puts it into use.
async fn refresh(state: &SharedState) {
    let (register, list) = {
        let state = state.borrow();
        let directory = &state.parts.platform.directory;
        let entry = own_entry(&state);
        ((directory.register)(entry), (directory.list)())
    };
    let registered = register.await;
    let listed = list.await;
    let mut state = state.borrow_mut();
    if let Err(err) = registered {
        warn!(
            state.parts.log,
            "directory: renewing this instance's entry failed; retrying";
            "error" => %err
        );
    }
    match listed {
        Ok(listing) => state.adopt_listing(listing),
        Err(err) => {
            warn!(
                state.parts.log,
                "directory: reading the list failed; the old one stays in use";
                "error" => %err
            );
        }
    }
}

fn own_entry(state: &super::ControlState) -> InstanceEntry {
    let settings = &state.parts.settings.instance;
    InstanceEntry {
        instance: settings.id.clone(),
        data_centre: settings.data_centre.clone(),
        link_address: settings.link_address.to_string(),
        state: if state.leaving {
            MemberState::Leaving
        } else {
            MemberState::Live
        },
    }
}

impl super::ControlState {
    /// Puts a new list into use: for the links, the view and the workers of
    /// owned shards.
    fn adopt_listing(&mut self, listing: Listing) {
        self.listing = listing;
        let own = self.instance().clone();
        let peers = self
            .listing
            .instances
            .iter()
            .filter(|entry| entry.instance != own)
            .cloned()
            .collect();
        self.parts.peers.set_peers(peers);
        self.publish_view();
        for cell_shard in self.cell_shards() {
            if self.shards.contains_key(&cell_shard.shard) {
                self.adopt_workers(cell_shard.shard);
            }
        }
    }

    /// Applies the list to the workers of an owned shard, which are those of
    /// its data centre.
    pub(super) fn adopt_workers(&mut self, shard: ShardId) {
        let Some(cell_shard) =
            self.cell_shards().into_iter().find(|cell| cell.shard == shard)
        else {
            return;
        };
        let listed: Vec<WorkerEntry> = self
            .listing
            .workers
            .iter()
            .filter(|entry| entry.shape.data_centre == cell_shard.data_centre)
            .cloned()
            .collect();
        for entry in listed {
            self.adopt_worker(shard, entry);
        }
    }

    /// Opens a link to a newly listed worker, and tells the scheduler when a
    /// known one starts or ceases to leave.
    fn adopt_worker(&mut self, shard: ShardId, entry: WorkerEntry) {
        let drained =
            self.config.drained_workers.contains(&entry.shape.worker);
        let leaving = drained || entry.state == MemberState::Leaving;
        let worker = entry.shape.worker.clone();
        let Some(owned) = self.shards.get_mut(&shard) else { return };
        match owned.workers.get_mut(&worker) {
            Some(link) => {
                let shape = entry.shape.clone();
                link.entry = entry;
                let resumes = link.leaving && !leaving && link.answered;
                link.leaving = leaving;
                if leaving {
                    let event = Event::WorkerLeaving { worker };
                    self.feed(shard, &event);
                } else if resumes {
                    // An operator has ended its drain.
                    self.feed(shard, &Event::WorkerJoined { shape });
                }
            }
            None if !leaving => self.open_link(shard, entry),
            None => {}
        }
    }
}
