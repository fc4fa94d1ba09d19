//! Logs where the time of each ended job went, and adds it up for metrics.

use std::cell::Cell;

use limpet_core::TimeMs;
use limpet_workflow::{EndedJob, JobPhase};
use slog::info;

use super::Owner;
use crate::{clock, metrics::Metrics};

/// The most lines a second about jobs that met their objective. What is late
/// has as many for itself, so that load doesn't hide it.
const MAX_LINES: u32 = 50;
/// The period of that limit.
const PERIOD_MS: u64 = 1_000;

/// The lines about ended jobs in the present period.
#[derive(Debug, Default)]
pub(super) struct EndedJobLines {
    began_at: Cell<TimeMs>,
    on_time: Cell<u32>,
    late: Cell<u32>,
}

impl EndedJobLines {
    /// Returns whether another line may be logged, and counts it.
    fn take(&self, is_late: bool, now: TimeMs) -> bool {
        if now.ms_since(self.began_at.get()) >= PERIOD_MS {
            self.began_at.set(now);
            self.on_time.set(0);
            self.late.set(0);
        }
        let lines = match is_late {
            true => &self.late,
            false => &self.on_time,
        };
        lines.set(lines.get() + 1);
        lines.get() <= MAX_LINES
    }
}

impl Owner {
    /// Logs and counts a job whose end is durable.
    pub(super) fn report_ended_job(&self, ended: &EndedJob) {
        let metrics = &self.node.metrics;
        metrics.record_timeline(&ended.queue, &ended.timeline);
        let is_late = ended.late_ms > 0 && ended.phase == JobPhase::Completed;
        if is_late {
            Metrics::count(&metrics.jobs_late);
        }
        if !self.ended_job_lines.take(is_late, clock::now()) {
            Metrics::count(&metrics.job_lines_dropped);
            return;
        }
        info!(self.node.log, "job: ended"; "job" => %ended.job,
            "queue" => &ended.queue, "how" => ?ended.phase,
            "took_ms" => ended.timeline.total_ms(),
            "late_ms" => ended.late_ms, "excess" => ended.excess,
            "spent_ms" => %ended.timeline);
    }
}
