//! The limpetspur daemon: one for each entry instance.

fn main() {}
