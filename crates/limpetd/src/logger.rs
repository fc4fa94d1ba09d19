//! The loggers.

use slog::{Drain, Level, LevelFilter, Logger, o};

use limpet_entry::LogSettings as EntryLogSettings;

use crate::settings::{LogFormat, LogSettings};

/// Keeps the thread that writes the log alive. Dropping it writes the queued
/// lines.
pub type LogGuard = slog_async::AsyncGuard;

/// Returns the root logger of a cell's daemon, which writes to standard error,
/// and the guard that flushes it.
///
/// Lines pass through a bounded queue to a thread of their own, so that slow
/// output delays no request. Lines that don't fit are dropped, and their
/// number is logged.
pub fn build_logger(settings: &LogSettings) -> (Logger, LogGuard) {
    let level = settings.level.parse().unwrap_or(Level::Info);
    let queue_lines = settings.queue_lines as usize;
    let (drain, guard) = match settings.format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build();
            build_async(drain.ignore_res(), queue_lines)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr());
            build_async(std::sync::Mutex::new(drain).ignore_res(), queue_lines)
        }
    };
    let drain = LevelFilter::new(drain, level).ignore_res();
    (Logger::root(drain, o!()), guard)
}

/// Returns the root logger of an entry instance on the users' platform, which
/// writes one JSON object for each line to standard output, and the guard that
/// flushes it.
pub fn build_json_lines_logger(
    settings: &EntryLogSettings,
) -> (Logger, LogGuard) {
    let level = settings.level.parse().unwrap_or(Level::Info);
    let drain = slog_json::Json::default(std::io::stdout());
    let drain = std::sync::Mutex::new(drain).ignore_res();
    let (drain, guard) = build_async(drain, settings.queue_lines);
    let drain = LevelFilter::new(drain, level).ignore_res();
    (Logger::root(drain, o!()), guard)
}

/// Returns a drain that writes to `drain` on a thread of its own, and the
/// guard of that thread.
fn build_async<D>(
    drain: D,
    queue_lines: usize,
) -> (slog_async::Async, LogGuard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(queue_lines)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard()
}
