//! The limpetspur daemon: one for each entry instance.
//!
//! One thread holds the control state; the traffic threads read the
//! [`View`]s that it publishes and send it messages. `docs/DESIGN.md` argues
//! the split.

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
    daemon::run_daemon,
    fail_stop::abort_on_panic_here,
    logger::{LogGuard, build_line_logger, build_logger},
    settings::Settings,
    view::{View, ViewCell},
};
