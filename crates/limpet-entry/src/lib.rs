//! An entry instance, which runs jobs on the workers of an external platform.
//!
//! Every instance accepts jobs by writing them to the platform's store, and
//! answers queries about them. One instance at a time owns the cell: it
//! places tasks on the platform's workers and writes their progress to the
//! store. If the owner fails, another instance takes over from the store.
//! `docs/PLATFORM.md` describes the design.

mod accept;
mod cancel;
mod candidates;
mod clock;
mod config_watch;
mod evacuation_rows;
mod front;
mod link;
mod metrics;
mod node;
mod owner;
mod owner_record;
mod owner_view;
mod owner_watch;
mod ownership;
mod progress_row;
mod rows;
mod run;
mod serve;
mod settings;
mod store_wait;
mod stored_job;

pub use crate::{
    evacuation_rows::{EvacuationChange, EvacuationRows},
    owner::{EarlyCancels, Lanes, NEXT_LANE_MS},
    progress_row::{
        ProgressRecord, ProgressStamp, decode_progress, encode_progress,
    },
    rows::{LANES, Lane, PARTS, decode_job, encode_job},
    run::run_entry,
    settings::{
        AdviceSettings, BoundSettings, EntrySettings, InstanceSettings,
        LogSettings, SETTINGS_VARIABLE, SchedulingSettings, StoreSettings,
    },
    store_wait::{AnswerTimes, Waited, wait_for_answer},
    stored_job::StoredJob,
};
