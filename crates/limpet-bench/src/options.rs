use std::path::PathBuf;

use bpaf::{Parser, construct, long};

/// The flags that every benchmark accepts.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// The seed of the random number generators.
    pub seed: u64,
    /// The duration of each case in benchmarks that run for a fixed time, in
    /// milliseconds.
    pub duration_ms: u64,
    /// A factor applied to the sizes of the cases; 1 gives the sizes that the
    /// targets state.
    pub size: f64,
    /// The directory that holds the release binary `limpetd`.
    pub binaries: PathBuf,
    /// Only cases whose name contains this text run. An empty text selects all
    /// cases.
    pub case: String,
}

impl BenchOptions {
    /// Returns the command-line parser of the flags.
    pub fn parser() -> impl Parser<BenchOptions> {
        let seed = long("seed")
            .help("Seed of the random number generators")
            .argument("NUMBER")
            .fallback(1)
            .display_fallback();
        let duration_ms = long("duration-ms")
            .help("Duration of each case that runs for a fixed time")
            .argument("MS")
            .fallback(10_000)
            .display_fallback();
        let size = long("size")
            .help("Factor applied to the sizes of the cases")
            .argument("FACTOR")
            .fallback(1.0)
            .display_fallback();
        let binaries = long("binaries")
            .help("Directory that holds the release binaries")
            .argument("DIRECTORY")
            .fallback(PathBuf::from("target/release"));
        let case = long("case")
            .help("Run only cases whose name contains this text")
            .argument("TEXT")
            .fallback(String::new());
        construct!(BenchOptions { seed, duration_ms, size, binaries, case })
    }

    /// Returns whether the case of this name is selected by
    /// [`case`](BenchOptions::case).
    pub fn includes(&self, case: &str) -> bool {
        case.contains(&self.case)
    }
}
