//! Explains the states of jobs, tasks, teams and workers, and what would
//! change them.

use super::{
    Explanation, Scheduler,
    gang::startable_size,
    job::{Group, Job},
    slot::TeamSlot,
    worker::Worker,
};
use crate::{
    DataCentre, JobId, JobState, Resources, TaskId, TaskState, TeamName,
    TimeMs, WorkerId,
};

/// The most lines of an explanation.
const LINE_LIMIT: usize = 10;
/// On how many workers a job without a finished task has to fail until the
/// job itself is presumed to be at fault.
const BAD_JOB_WORKERS: usize = 3;

/// How many workers are ruled out for a task, by the first reason that
/// applies.
#[derive(Clone, Copy, Debug, Default)]
struct FilterCounts {
    /// All workers that were counted.
    all: u32,
    /// Workers in other data centres than the wanted one.
    elsewhere: u32,
    too_small: u32,
    leaving: u32,
    suspected: u32,
    probation: u32,
    reserved: u32,
    full: u32,
    /// Workers that are not ruled out.
    with_room: u32,
}

impl FilterCounts {
    /// Counts a worker by the first reason that rules it out for the tasks of
    /// a group.
    fn count(
        &mut self,
        worker: &Worker,
        group: &Group,
        data_centre: Option<&DataCentre>,
    ) {
        let shape = &worker.shape;
        self.all += 1;
        let is_elsewhere =
            data_centre.is_some_and(|wanted| *wanted != shape.data_centre);
        let counter = if is_elsewhere {
            &mut self.elsewhere
        } else if !group.size.fits_in(&shape.held) {
            &mut self.too_small
        } else if worker.leaving {
            &mut self.leaving
        } else if worker.suspected {
            &mut self.suspected
        } else if !worker.health.is_ready() {
            &mut self.probation
        } else if !group.size.fits_in(&worker.free()) {
            &mut self.full
        } else if !group.size.fits_in(&worker.room()) {
            &mut self.reserved
        } else {
            &mut self.with_room
        };
        *counter += 1;
    }

    /// Returns the line with all counts that aren't 0.
    fn line(&self) -> String {
        let parts = [
            (self.full, "full"),
            (self.too_small, "too small"),
            (self.elsewhere, "in other data centres"),
            (self.reserved, "reserved for a gang or preempting work"),
            (self.probation, "on probation"),
            (self.suspected, "suspected"),
            (self.leaving, "leaving"),
            (self.with_room, "with room"),
        ];
        let phrases: Vec<String> = parts
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, label)| format!("{count} {label}"))
            .collect();
        format!("of {} workers: {}", self.all, phrases.join(", "))
    }
}

impl Scheduler {
    /// Returns the most important reason for a job's state. It doesn't iterate
    /// over the workers, so it is cheap enough for tables of jobs.
    pub(super) fn short_reason(&self, id: JobId, job: &Job) -> String {
        if job.state != JobState::Waiting {
            return job.state.as_str().to_owned();
        }
        if job.cancelled {
            return "cancelled; its tasks are being stopped".to_owned();
        }
        if job.held {
            return "held by an operator".to_owned();
        }
        if self.exceeds_allotment(job) {
            return "asks for more than its team may run".to_owned();
        }
        if job.counts.delayed > 0 && job.waiting() == 0 {
            return "waits for a retry after a failure".to_owned();
        }
        if self.is_at_limit(job) {
            return format!("team `{}` is at its limit", job.spec.team);
        }
        if self.gangs.contains_key(&id) {
            return "waits for room for all its tasks at once".to_owned();
        }
        let next = job.groups.iter().find(|group| !group.waiting.is_empty());
        match next {
            Some(group) => format!("no worker has room for {}", group.size),
            None => "accepted".to_owned(),
        }
    }

    /// Returns the size that the team's allotment has to allow so that a
    /// waiting job can start: all its tasks for a gang, one task otherwise.
    fn next_size(job: &Job) -> Resources {
        if job.is_gang() {
            return startable_size(job);
        }
        job.groups
            .iter()
            .find(|group| !group.waiting.is_empty())
            .map_or(Resources::ZERO, |group| group.size)
    }

    /// Returns whether the team's allotment is too far used up for a job to
    /// start.
    fn is_at_limit(&self, job: &Job) -> bool {
        !self.teams.get(job.team).allows(&Scheduler::next_size(job))
    }

    /// Explains why a job is in its state and what would change that, or
    /// returns `None` if the job is not known.
    pub fn explain_job(&self, id: JobId) -> Option<Explanation> {
        let job = self.jobs.get(&id)?;
        let reason = self.short_reason(id, job);
        let mut lines = vec![format!("job {id} is {}", job.state)];
        if job.state == JobState::Waiting {
            lines.push(reason);
            self.add_waiting_lines(id, job, &mut lines);
        } else {
            lines.push(format!(
                "{} of {} tasks run, {} are done",
                job.counts.placed,
                job.tasks.len(),
                job.counts.done
            ));
        }
        add_failure_line(job, &mut lines);
        lines.truncate(LINE_LIMIT);
        Some(Explanation { lines })
    }

    /// Adds lines on what keeps a waiting job from starting and what would
    /// change that.
    fn add_waiting_lines(
        &self,
        id: JobId,
        job: &Job,
        lines: &mut Vec<String>,
    ) {
        let team = self.teams.get(job.team);
        if self.exceeds_allotment(job) {
            lines.push(format!(
                "a limit of at least {} for team `{}` would let it run",
                Scheduler::next_size(job),
                team.name
            ));
            return;
        }
        if self.is_at_limit(job) {
            lines.push(format!(
                "the team runs {} of {}; the end of one of its tasks or a \
                 higher limit would let it start",
                team.running, team.allotment
            ));
            return;
        }
        let data_centre = job.spec.data_centre.as_ref();
        for group in job.groups.iter().filter(|g| !g.waiting.is_empty()) {
            let mut counts = FilterCounts::default();
            for worker in self.fleet.iter() {
                counts.count(worker, group, data_centre);
            }
            lines.push(counts.line());
            add_remedy_line(&counts, lines);
        }
        self.add_gang_line(id, job, lines);
        lines.push(self.share_line(job));
    }

    /// Adds a line on the reservation for gangs, if the job is a waiting gang.
    fn add_gang_line(&self, id: JobId, job: &Job, lines: &mut Vec<String>) {
        if !self.gangs.contains_key(&id) {
            return;
        }
        let Some(reservation) = &self.reservation else { return };
        let line = if reservation.job == id {
            format!(
                "room for all {} tasks is reserved until {}; the start is \
                 expected by {}",
                job.waiting(),
                reservation.expires_at,
                reservation.expected_at
            )
        } else {
            format!(
                "job {} holds the only reservation for gangs until {} at the \
                 latest",
                reservation.job, reservation.expires_at
            )
        };
        lines.push(line);
    }

    /// Returns a line on the usage of a job's team and its place in the order
    /// in which teams are served.
    fn share_line(&self, job: &Job) -> String {
        let order = self.teams.order();
        let position = order.iter().position(|&team| team == job.team);
        let team = self.teams.get(job.team);
        format!(
            "team `{}` uses {:.1}% of the cell and is served as number {} \
             of {} teams",
            team.name,
            team.fraction(self.fleet.held()) * 100.0,
            position.unwrap_or(0) + 1,
            order.len()
        )
    }

    /// Explains why a task is in its state, or returns `None` if the task is
    /// not known.
    pub fn explain_task(&self, id: TaskId) -> Option<Explanation> {
        let job = self.jobs.get(&id.job)?;
        let task = job.tasks.get(id.index as usize)?;
        let mut lines = vec![format!("task {id} is {}", task.state)];
        if let Some(worker) = &task.worker {
            let verb = if task.state.is_placed() { "is" } else { "was last" };
            lines.push(format!("it {verb} on worker `{worker}`"));
        }
        if let Some(reason) = task.stopping {
            lines.push(format!("it was told to stop: {reason}"));
        }
        match task.state {
            TaskState::Unknown => lines.push(
                "it isn't idempotent and may have run, so it is not started \
                 again; submit it again if it did not run"
                    .to_owned(),
            ),
            TaskState::Waiting => {
                let delayed = self.delayed.iter().find(|(_, t)| *t == id);
                if let Some((at, _)) = delayed {
                    lines.push(format!(
                        "retry {} is due at {at}",
                        task.retries.max(1)
                    ));
                }
                let job = self.explain_job(id.job)?;
                lines.extend(job.lines.into_iter().skip(1));
            }
            _ => {}
        }
        lines.truncate(LINE_LIMIT);
        Some(Explanation { lines })
    }

    /// Explains how a team's usage compares with its share and its allotment,
    /// or returns `None` if the team is not known.
    pub fn explain_team(&self, name: &TeamName) -> Option<Explanation> {
        let slot = self.teams.slot(name)?;
        let team = self.teams.get(slot);
        let held = self.fleet.held();
        let order = self.teams.order();
        let position = order.iter().position(|&found| found == slot);
        let mut lines = vec![
            format!(
                "team `{name}` runs {} of {}",
                team.running, team.allotment
            ),
            format!("its waiting tasks need {}", team.waiting),
            format!(
                "it uses {:.1}% of the cell now and used {:.1}% lately; its \
                 weight is {}",
                team.fraction(held) * 100.0,
                team.mean_fraction * 100.0,
                team.weight
            ),
            format!(
                "it is served as number {} of {} teams",
                position.unwrap_or(0) + 1,
                order.len()
            ),
        ];
        lines.extend(self.usage_lines(slot));
        lines.truncate(LINE_LIMIT);
        Some(Explanation { lines })
    }

    /// Returns a line for each queue with the ratio of use to declared size of
    /// the team's tasks.
    fn usage_lines(&self, team: TeamSlot) -> Vec<String> {
        self.queues
            .keys()
            .filter_map(|queue| {
                let ratio = self.estimates.usage_ratio_p90(team, queue)?;
                Some(format!(
                    "nine of ten tasks in queue `{queue}` use at most {:.0}% \
                     of what they declare",
                    ratio * 100.0
                ))
            })
            .collect()
    }

    /// Explains what runs on a worker and whether it takes tasks, or returns
    /// `None` if the worker is not known.
    pub fn explain_worker(&self, id: &WorkerId) -> Option<Explanation> {
        let worker = self.fleet.get(self.fleet.slot(id)?)?;
        let mut lines = vec![
            format!("worker `{id}` is {}", worker.state()),
            format!(
                "{} tasks hold {} of {}",
                worker.tasks.len(),
                worker.committed,
                worker.shape.held
            ),
            format!("its tasks were last seen to use {}", worker.used),
        ];
        if !worker.reserved.is_zero() {
            lines.push(format!("{} is reserved", worker.reserved));
        }
        match worker.state() {
            "probation" => lines.push(
                "tasks of several jobs failed here; one task that succeeds \
                 ends the probation"
                    .to_owned(),
            ),
            "suspected" => {
                lines.push("it takes tasks again once it answers".to_owned())
            }
            _ => {}
        }
        Some(Explanation { lines })
    }

    /// Returns the earliest time at which a delayed task may start, so that
    /// the caller can set a timer.
    pub fn next_due_at(&self) -> Option<TimeMs> {
        self.delayed.first().map(|&(at, _)| at)
    }
}

/// Adds a line on what would give tasks room, by the reasons that rule out
/// workers.
fn add_remedy_line(counts: &FilterCounts, lines: &mut Vec<String>) {
    let line = if counts.too_small + counts.elsewhere == counts.all {
        "no worker is large enough; a larger one has to join"
    } else if counts.full > 0 {
        "the end of running work, or a higher share, would let it start"
    } else if counts.probation + counts.suspected + counts.leaving > 0 {
        "a worker that answers or succeeds again would let it start"
    } else {
        return;
    };
    lines.push(line.to_owned());
}

/// Adds a line on the failures of a job's tasks, if there were any.
fn add_failure_line(job: &Job, lines: &mut Vec<String>) {
    if job.failed_on.is_empty() {
        return;
    }
    let workers = job.failed_on.len();
    let is_bad_job = job.counts.done == 0 && workers >= BAD_JOB_WORKERS;
    let verdict = if is_bad_job {
        "the job itself seems to be at fault"
    } else {
        "they are retried on other workers"
    };
    lines.push(format!(
        "tasks failed on {workers} workers, {} retries used; {verdict}",
        job.retries
    ));
}
