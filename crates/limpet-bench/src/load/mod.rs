//! An open-loop load client.
//!
//! Requests are sent on a fixed schedule that doesn't wait for answers, and
//! each latency counts from the time at which the request was due. A stall of
//! the server therefore raises the latency of every request that was due
//! during the stall, as its clients would see it. A client that waited for
//! answers would show the stall in one request only (coordinated omission).

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
