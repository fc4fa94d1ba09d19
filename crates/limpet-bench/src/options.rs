use std::path::PathBuf;

use bpaf::{Parser, construct, long};

/// The flags that every bench takes.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// The seed of every random choice.
    pub seed: u64,
    /// How long each case lasts, where the bench goes by time.
    pub duration_ms: u64,
    /// The factor on the sizes of the cases; 1 for the stated ones.
    pub size: f64,
    /// Where the release binaries of the daemons are.
    pub binaries: PathBuf,
    /// Run only the cases whose name contains this; empty for all.
    pub case: String,
}

impl BenchOptions {
    /// Returns the parser of the flags.
    pub fn parser() -> impl Parser<BenchOptions> {
        let seed = long("seed")
            .help("Seed of every random choice")
            .argument("NUMBER")
            .fallback(1)
            .display_fallback();
        let duration_ms = long("duration-ms")
            .help("How long each timed case lasts")
            .argument("MS")
            .fallback(10_000)
            .display_fallback();
        let size = long("size")
            .help("Factor on the sizes of the cases")
            .argument("FACTOR")
            .fallback(1.0)
            .display_fallback();
        let binaries = long("binaries")
            .help("Directory of the release binaries")
            .argument("DIRECTORY")
            .fallback(PathBuf::from("target/release"));
        let case = long("case")
            .help("Only cases whose name contains this")
            .argument("TEXT")
            .fallback(String::new());
        construct!(BenchOptions { seed, duration_ms, size, binaries, case })
    }

    /// Says whether a case is to run.
    pub fn includes(&self, case: &str) -> bool {
        case.contains(&self.case)
    }
}
