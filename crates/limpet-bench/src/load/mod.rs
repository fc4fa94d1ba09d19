//! An open-loop load client.
//!
//! Requests leave on a schedule that doesn't wait for answers, and each
//! latency counts from the time at which the request was due. A server that
//! stalls therefore shows in every request that was due meanwhile, as
//! callers would feel it, and not in the one that it stalled on alone
//! (coordinated omission).

mod client;
mod options;
mod outcome;
mod schedule;

pub use self::{
    client::run,
    options::LoadOptions,
    outcome::{LoadOutcome, Reply},
    schedule::measure_schedule,
};
