//! One page that draws a run beside an earlier one.
//!
//! The page is a single HTML file without scripts or outside parts: a chart
//! for each metric, its bounds drawn in, and a table of what missed one.

mod chart;
mod draw;
mod page;
mod read;

pub use self::{
    chart::{Chart, Series, charts},
    page::render,
    read::read_records,
};
