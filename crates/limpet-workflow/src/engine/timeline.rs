//! Where the time of a job goes, from its acceptance until its end is durable.
//!
//! Each moment counts for one activity: that of the least advanced task among
//! those whose turn has come, since the job can't end before it. The times of
//! all activities add up to the time of the job. `docs/OPERATIONS.md` shows
//! how to read them.

use std::fmt;

use limpet_core::TimeMs;

use super::{
    Engine, Moment, WaitCause,
    job::{ClaimPhase, Job, Step, Task},
};
use crate::{
    effect::{Effect, StopReason},
    key::{JobKey, StepKey, TaskKey},
    progress::JobPhase,
};

/// What a job spends time on, the least advanced first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Activity {
    /// The job is accepted, and its owner doesn't know it yet.
    Handover,
    /// A task waits to be placed.
    Wait(WaitCause),
    /// A run is being stopped, or has been and isn't known to have ended.
    Stop,
    /// A claim waits until it is durable.
    Commit,
    /// A start order has no reply yet, or its outcome is unknown.
    Order,
    /// A task runs for the first time.
    Run,
    /// A task runs again after a run that failed.
    RerunFailed,
    /// A task runs again after a run that was stopped.
    RerunStopped,
    /// A task runs again after a run that was lost or did not begin.
    RerunLost,
    /// The end of the job isn't durable yet.
    Notice,
}

impl Activity {
    /// All activities.
    pub const ALL: [Activity; 17] = [
        Activity::Handover,
        Activity::Wait(WaitCause::Turn),
        Activity::Wait(WaitCause::Quota),
        Activity::Wait(WaitCause::Headroom),
        Activity::Wait(WaitCause::Advice),
        Activity::Wait(WaitCause::Room),
        Activity::Wait(WaitCause::Gathering),
        Activity::Wait(WaitCause::Breaking),
        Activity::Wait(WaitCause::Suspect),
        Activity::Stop,
        Activity::Commit,
        Activity::Order,
        Activity::Run,
        Activity::RerunFailed,
        Activity::RerunStopped,
        Activity::RerunLost,
        Activity::Notice,
    ];

    /// Returns the name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Activity::Handover => "handover",
            Activity::Wait(WaitCause::Turn) => "turn",
            Activity::Wait(WaitCause::Quota) => "quota",
            Activity::Wait(WaitCause::Headroom) => "headroom",
            Activity::Wait(WaitCause::Advice) => "advice",
            Activity::Wait(WaitCause::Room) => "room",
            Activity::Wait(WaitCause::Gathering) => "gathering",
            Activity::Wait(WaitCause::Breaking) => "breaking",
            Activity::Wait(WaitCause::Suspect) => "suspect",
            Activity::Stop => "stop",
            Activity::Commit => "commit",
            Activity::Order => "order",
            Activity::Run => "run",
            Activity::RerunFailed => "rerun_failed",
            Activity::RerunStopped => "rerun_stopped",
            Activity::RerunLost => "rerun_lost",
            Activity::Notice => "notice",
        }
    }

    fn index(self) -> usize {
        let position = Activity::ALL.iter().position(|other| *other == self);
        position.expect("all activities are listed")
    }
}

/// The times of a job's activities.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Timeline {
    /// In milliseconds, in the order of [`Activity::ALL`].
    spent_ms: [u32; Activity::ALL.len()],
    /// The present activity and when it was last added up.
    present: Activity,
    since: TimeMs,
}

impl Timeline {
    /// Returns the times of a job that its owner knows from `now` on.
    pub(super) fn new(now: TimeMs) -> Timeline {
        Timeline {
            spent_ms: [0; Activity::ALL.len()],
            present: Activity::Wait(WaitCause::Turn),
            since: now,
        }
    }

    /// Adds the time of an activity.
    pub(super) fn add(&mut self, activity: Activity, ms: u64) {
        let spent = &mut self.spent_ms[activity.index()];
        *spent = spent.saturating_add(u32::try_from(ms).unwrap_or(u32::MAX));
    }

    /// Adds the time since the latest change to the present activity, which
    /// becomes `next`.
    fn advance(&mut self, next: Activity, now: TimeMs) {
        self.add(self.present, now.ms_since(self.since));
        self.present = next;
        self.since = now;
    }

    /// Returns the time of each activity that took any, in milliseconds.
    pub fn spent_ms(&self) -> impl Iterator<Item = (Activity, u64)> {
        let spent = Activity::ALL.into_iter().zip(self.spent_ms);
        spent
            .map(|(activity, ms)| (activity, ms.into()))
            .filter(|(_, ms)| *ms > 0)
    }

    /// Returns the time of all activities in milliseconds.
    pub fn total_ms(&self) -> u64 {
        self.spent_ms.iter().map(|ms| u64::from(*ms)).sum()
    }
}

impl fmt::Display for Timeline {
    /// Formats the times as `ACTIVITY MS`, separated by commas.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, (activity, ms)) in self.spent_ms().enumerate() {
            let separator = if number == 0 { "" } else { ", " };
            write!(f, "{separator}{} {ms}", activity.name())?;
        }
        Ok(())
    }
}

/// A job whose end is durable.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedJob {
    /// The job.
    pub job: JobKey,
    /// Its queue.
    pub queue: String,
    /// How it ended.
    pub phase: JobPhase,
    /// By how much it missed its latency objective.
    pub late_ms: u64,
    /// Whether it exceeded its team's submission rate.
    pub excess: bool,
    /// Where its time went.
    pub timeline: Timeline,
}

/// Why a task runs again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum RerunReason {
    Failed,
    Stopped,
    #[default]
    Lost,
}

impl RerunReason {
    /// Returns the reason of a run that follows one stopped for `stop`.
    pub(super) fn of_stop(stop: StopReason) -> RerunReason {
        match stop {
            StopReason::Unanswered => RerunReason::Lost,
            _ => RerunReason::Stopped,
        }
    }

    fn activity(self) -> Activity {
        match self {
            RerunReason::Failed => Activity::RerunFailed,
            RerunReason::Stopped => Activity::RerunStopped,
            RerunReason::Lost => Activity::RerunLost,
        }
    }
}

impl Engine {
    /// Brings the times of a job up to date after a change.
    pub(super) fn advance_timeline(&mut self, key: JobKey, now: TimeMs) {
        if let Some(job) = self.jobs.get_mut(&key) {
            let next = job.activity();
            job.timeline.advance(next, now);
        }
    }

    /// Records why a step waits, or that no task of it does.
    pub(super) fn record_wait(
        &mut self,
        key: StepKey,
        cause: Option<WaitCause>,
        now: TimeMs,
    ) {
        if let Some(job) = self.jobs.get_mut(&key.job) {
            let step = job.step_mut(key.occurrence, key.step);
            step.wait_cause = cause.unwrap_or(WaitCause::Turn);
            self.advance_timeline(key.job, now);
        }
    }

    /// Records why the next run of a task follows an earlier one.
    pub(super) fn record_rerun(&mut self, key: TaskKey, reason: RerunReason) {
        if let Some(job) = self.jobs.get_mut(&key.step.job)
            && let Some(task) = job.get_task_mut(key)
        {
            task.rerun_reason = reason;
        }
    }

    /// Reports a job whose end has become durable.
    pub(super) fn report_ended_job(&mut self, key: JobKey, now: Moment) {
        self.advance_timeline(key, now.steady);
        let Some(job) = self.jobs.get(&key) else { return };
        let took_ms = now.steady.ms_since(job.received_at);
        self.effects.push(Effect::JobEnded(Box::new(EndedJob {
            job: key,
            queue: job.record.queue.clone(),
            phase: job.phase,
            late_ms: took_ms.saturating_sub(job.objective_ms()),
            excess: job.excess,
            timeline: job.timeline.clone(),
        })));
    }
}

impl Job {
    /// Returns the activity of the least advanced task whose turn has come.
    fn activity(&self) -> Activity {
        if self.phase.has_ended() {
            return Activity::Notice;
        }
        let steps = self.occurrences.iter().flat_map(|occurrence| {
            let steps = occurrence.steps.iter().enumerate();
            steps
                .filter(|(_, step)| step.remaining > 0)
                .filter(|(index, _)| {
                    self.is_ready(occurrence.number, *index as u32)
                })
                .map(|(_, step)| step)
        });
        steps.map(Step::activity).min().unwrap_or(Activity::Notice)
    }
}

impl Step {
    fn activity(&self) -> Activity {
        let unfinished = self.tasks.iter().filter(|task| !task.done);
        unfinished
            .map(|task| task.activity(self.wait_cause))
            .min()
            .unwrap_or(Activity::Notice)
    }
}

impl Task {
    fn activity(&self, wait_cause: WaitCause) -> Activity {
        let Some(claim) = &self.claim else {
            return Activity::Wait(wait_cause);
        };
        match claim.phase {
            ClaimPhase::Committing => Activity::Commit,
            ClaimPhase::Inherited | ClaimPhase::Starting => Activity::Order,
            ClaimPhase::Stopping | ClaimPhase::Stopped => Activity::Stop,
            ClaimPhase::Running if claim.run == 1 => Activity::Run,
            ClaimPhase::Running => self.rerun_reason.activity(),
        }
    }
}
