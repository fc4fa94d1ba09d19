//! The operators' command of the limpetspur cluster scheduler.

fn main() {}
