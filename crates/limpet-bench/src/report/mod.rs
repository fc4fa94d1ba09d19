//! An HTML page that shows a run next to an earlier one.
//!
//! The page is a single file without scripts or external resources. It holds
//! a table of the values that miss their bound, and a chart of each metric
//! with its bounds.

mod chart;
mod draw;
mod page;
mod read;

pub use self::{
    chart::{Chart, Series, charts},
    page::render,
    read::read_records,
};
