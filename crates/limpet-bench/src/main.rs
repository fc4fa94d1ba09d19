//! Runs the benchmarks of limpetspur and prints their records as JSON lines,
//! or draws recorded runs as an HTML page.

use std::{
    fs,
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
};

use bpaf::{Parser, construct, long};
use eyre::WrapErr;
use limpet_bench::{
    BENCHES, Bench, BenchOptions, Record,
    report::{read_records, render},
};

/// The subcommand given on the command line.
enum Command {
    Bench(&'static Bench, BenchOptions),
    Report(ReportOptions),
}

/// The options of the `report` subcommand.
struct ReportOptions {
    current: PathBuf,
    saved: Option<PathBuf>,
    page: PathBuf,
}

fn main() -> eyre::Result<ExitCode> {
    let report = report_subcommand();
    let parser = BENCHES.iter().map(bench_subcommand).fold(report, either);
    let command = parser
        .to_options()
        .descr("Benchmarks limpetspur and prints JSON lines")
        .run();
    match command {
        Command::Bench(bench, options) => run_bench(bench, &options),
        Command::Report(options) => write_report(&options),
    }
}

fn run_bench(bench: &Bench, options: &BenchOptions) -> eyre::Result<ExitCode> {
    let records = (bench.run)(options)?;
    print_records(&records)?;
    let missed = records.iter().any(|record| !record.ok);
    Ok(if missed { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn write_report(options: &ReportOptions) -> eyre::Result<ExitCode> {
    let current = read_records(&options.current)?;
    let saved = match &options.saved {
        Some(path) => read_records(path)?,
        None => Vec::new(),
    };
    let page = render(&current, &saved)?;
    fs::write(&options.page, page).wrap_err_with(|| {
        format!("can't write the page {}", options.page.display())
    })?;
    Ok(ExitCode::SUCCESS)
}

fn bench_subcommand(bench: &'static Bench) -> Box<dyn Parser<Command>> {
    BenchOptions::parser()
        .map(move |options| Command::Bench(bench, options))
        .to_options()
        .descr(bench.about)
        .command(bench.name)
        .boxed()
}

fn report_subcommand() -> Box<dyn Parser<Command>> {
    let current = long("current")
        .help("File with the JSON lines of the run to draw")
        .argument("FILE");
    let saved = long("saved")
        .help("File with the JSON lines of an earlier run, for comparison")
        .argument("FILE")
        .optional();
    let page = long("page")
        .help("File to write the HTML page to")
        .argument("FILE")
        .fallback(PathBuf::from("target/bench.html"))
        .debug_fallback();
    construct!(ReportOptions { current, saved, page })
        .map(Command::Report)
        .to_options()
        .descr("Draws a run as an HTML page, compared with an earlier run")
        .command("report")
        .boxed()
}

/// Returns a parser that accepts the subcommands of both parsers.
fn either(
    first: Box<dyn Parser<Command>>,
    second: Box<dyn Parser<Command>>,
) -> Box<dyn Parser<Command>> {
    construct!([first, second]).boxed()
}

fn print_records(records: &[Record]) -> eyre::Result<()> {
    let mut out = io::stdout().lock();
    for record in records {
        serde_json::to_writer(&mut out, record)?;
        writeln!(out)?;
    }
    Ok(())
}
