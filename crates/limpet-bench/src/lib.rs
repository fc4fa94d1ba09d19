//! Benchmarks of limpetspur, checked against its stated targets.
//!
//! A [`Bench`] returns [`Record`]s, which the program prints as JSON lines.
//! A record may carry a [`Bound`] taken from a target; the program exits with
//! status 1 if any record misses its bound.
//!
//! Benchmarks that send requests share the open-loop client in [`load`].
//! Those that only need decisions replay the code of limpet-core on a virtual
//! clock, as in [`replay`] and [`policy`].

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
    record::{CurvePosition, Record},
};
