//! Benches of limpetspur with bounds from stated targets.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use bpaf::{Parser, construct};
use limpet_bench::{BENCHES, Bench, BenchOptions, Record};

type Run = (fn(&BenchOptions) -> eyre::Result<Vec<Record>>, BenchOptions);

fn main() -> eyre::Result<ExitCode> {
    let Some(parser) = BENCHES.iter().map(subcommand).reduce(either) else {
        return Ok(ExitCode::SUCCESS);
    };
    let (run, options) = parser
        .to_options()
        .descr("Measures limpetspur; prints JSON lines")
        .run();
    let records = run(&options)?;
    print(&records)?;
    let missed = records.iter().any(|record| !record.ok);
    Ok(if missed { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn subcommand(bench: &'static Bench) -> Box<dyn Parser<Run>> {
    BenchOptions::parser()
        .map(|options| (bench.run, options))
        .to_options()
        .descr(bench.about)
        .command(bench.name)
        .boxed()
}

fn either(
    one: Box<dyn Parser<Run>>,
    other: Box<dyn Parser<Run>>,
) -> Box<dyn Parser<Run>> {
    construct!([one, other]).boxed()
}

fn print(records: &[Record]) -> eyre::Result<()> {
    let mut out = io::stdout().lock();
    for record in records {
        serde_json::to_writer(&mut out, record)?;
        writeln!(out)?;
    }
    Ok(())
}
