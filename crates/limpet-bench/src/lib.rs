//! Benches of limpetspur with bounds from stated targets.
//!
//! A [`Bench`] returns [`Record`]s, which are printed as JSON lines; the
//! program ends with status 1 where one misses its [`Bound`]. Benches that
//! send requests share the open-loop client in [`load`].

mod bench;
mod bench_cell;
mod bound;
mod capacity;
pub mod decisions;
pub mod load;
mod options;
pub mod overload;
mod path;
pub mod policy;
mod queries;
mod record;
mod recovery;
pub mod replay;
pub mod report;
pub mod route;
pub mod workload;

pub use crate::{
    bench::{BENCHES, Bench},
    bound::Bound,
    options::BenchOptions,
    record::{Along, Record},
};
