//! One entry instance on the users' platform.
//!
//! Every instance accepts jobs by a row of the platform's store and answers
//! for them. One of them owns the cell at a time: it places tasks on the
//! platform's workers and keeps what it decides in the store.
//! `docs/PLATFORM.md` argues the design.

mod accept;
mod clock;
mod config_watch;
mod front;
mod link;
mod metrics;
mod node;
mod owner;
mod owner_view;
mod owner_watch;
mod ownership;
mod rows;
mod run;
mod serve;
mod settings;

pub use crate::{
    run::run_entry,
    settings::{
        AdviceSettings, BoundSettings, EntrySettings, InstanceSettings,
        LogSettings, SETTINGS_VARIABLE, StoreSettings,
    },
};
