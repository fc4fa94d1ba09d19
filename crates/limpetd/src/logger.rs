use slog::{Drain, Level, LevelFilter, Logger, o};

use limpet_entry::LogSettings as LineSettings;

use crate::settings::{LogFormat, LogSettings};

/// Keeps the asynchronous drain alive; dropping it writes what still waits.
pub type LogGuard = slog_async::AsyncGuard;

/// Returns the root logger and the guard that flushes it.
///
/// Lines pass through a bounded queue to a thread of their own, so that a
/// slow terminal delays no request. What doesn't fit is dropped, counted,
/// and the count is written as a line.
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

/// Returns the root logger of an entry instance, which writes one JSON
/// object a line to standard output, and the guard that flushes it.
pub fn build_line_logger(settings: &LineSettings) -> (Logger, LogGuard) {
    let level = settings.level.parse().unwrap_or(Level::Info);
    let drain = slog_json::Json::default(std::io::stdout());
    let drain = std::sync::Mutex::new(drain).ignore_res();
    let (drain, guard) = build_async(drain, settings.queue_lines);
    let drain = LevelFilter::new(drain, level).ignore_res();
    (Logger::root(drain, o!()), guard)
}

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
