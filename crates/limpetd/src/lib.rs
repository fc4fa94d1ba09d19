//! The limpetspur daemon: one for each entry instance.
//!
//! One thread holds the control state; the traffic threads read the
//! [`View`]s that it publishes and send it messages. `docs/DESIGN.md` argues
//! the split.

mod settings;
pub mod traffic;
mod view;

pub use crate::{
    settings::Settings,
    view::{View, ViewCell},
};
