//! The limpetspur daemon, which runs one entry instance.
//!
//! The control thread has the state of the instance. The traffic threads
//! serve callers: they read the [`View`]s that the control thread publishes
//! and send it requests. `docs/DESIGN.md` gives the reasons for this split.

mod api;
mod control;
mod daemon;
mod embedded_runner;
mod fail_stop;
mod link;
mod logger;
pub mod metrics;
mod refusals;
pub mod routing;
mod settings;
mod view;

pub use crate::{
    control::RecordReader,
    daemon::run_daemon,
    fail_stop::abort_on_panic_in_this_thread,
    logger::{LogGuard, build_json_lines_logger, build_logger},
    settings::Settings,
    view::{View, ViewCell},
};
