//! Benches of limpetspur with bounds from stated targets.
//!
//! A [`Bench`] returns [`Record`]s, which are printed as JSON lines; the
//! program ends with status 1 where one misses its [`Bound`]. Benches that
//! send requests share the open-loop client in [`load`].

mod bench;
mod bound;
pub mod decisions;
pub mod load;
mod options;
mod path;
pub mod policy;
mod record;
pub mod report;
pub mod workload;

pub use crate::{
    bench::{BENCHES, Bench},
    bound::Bound,
    options::BenchOptions,
    record::{Along, Record},
};
