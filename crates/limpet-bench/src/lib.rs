//! Benches of limpetspur with bounds from stated targets.
