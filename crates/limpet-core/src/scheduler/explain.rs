//! Says why something is as it is, and what would change it.

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

/// The most lines that an explanation has.
const LINE_LIMIT: usize = 10;
/// The workers that a job has to fail on to be told apart from bad luck.
const FAILS_EVERYWHERE_WORKERS: usize = 3;

/// How many workers each filter rules out for a task.
#[derive(Clone, Copy, Debug, Default)]
struct Ruled {
    all: u32,
    elsewhere: u32,
    too_small: u32,
    leaving: u32,
    suspected: u32,
    probation: u32,
    reserved: u32,
    full: u32,
    suit: u32,
}

impl Ruled {
    fn count(
        &mut self,
        worker: &Worker,
        group: &Group,
        at: Option<&DataCentre>,
    ) {
        let shape = &worker.shape;
        self.all += 1;
        let place = at.is_some_and(|at| *at != shape.data_centre);
        let ruled_by = if place {
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
            &mut self.suit
        };
        *ruled_by += 1;
    }

    fn line(&self) -> String {
        let parts = [
            (self.full, "full"),
            (self.too_small, "too small"),
            (self.elsewhere, "in other data centres"),
            (self.reserved, "kept for a gang or a preemptor"),
            (self.probation, "on probation"),
            (self.suspected, "suspected"),
            (self.leaving, "leaving"),
            (self.suit, "with room"),
        ];
        let said: Vec<String> = parts
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, what)| format!("{count} {what}"))
            .collect();
        format!("of {} workers: {}", self.all, said.join(", "))
    }
}

impl Scheduler {
    /// Returns the most binding reason for a job's state, without a look at
    /// each worker.
    pub(super) fn short_reason(&self, id: JobId, job: &Job) -> String {
        if job.state != JobState::Waiting {
            return job.state.as_str().to_owned();
        }
        if job.cancelled {
            return "cancelled, its tasks are being stopped".to_owned();
        }
        if job.held {
            return "held back by an operator".to_owned();
        }
        if self.exceeds_allotment(job) {
            return "asks for more than its team may run".to_owned();
        }
        if job.counts.delayed > 0 && job.waiting() == 0 {
            return "waits to be tried again after a failure".to_owned();
        }
        if self.is_at_limit(job) {
            return format!("team `{}` is at its limit", job.spec.team);
        }
        if self.gangs.contains_key(&id) {
            return "its tasks wait for room for all of them".to_owned();
        }
        let size = job.groups.iter().find(|group| !group.waiting.is_empty());
        match size {
            Some(group) => format!("no worker has room for {}", group.size),
            None => "accepted".to_owned(),
        }
    }

    /// Returns a job's waiting size that its team's allotment has to allow.
    fn next_size(job: &Job) -> Resources {
        if job.is_gang() {
            return startable_size(job);
        }
        job.groups
            .iter()
            .find(|group| !group.waiting.is_empty())
            .map_or(Resources::ZERO, |group| group.size)
    }

    fn is_at_limit(&self, job: &Job) -> bool {
        !self.teams.get(job.team).allows(&Scheduler::next_size(job))
    }

    /// Says why a job is in the state that it is in, the most binding
    /// reason first, and what would change it.
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
        let place = job.spec.data_centre.as_ref();
        for group in job.groups.iter().filter(|g| !g.waiting.is_empty()) {
            let mut ruled = Ruled::default();
            for worker in self.fleet.iter() {
                ruled.count(worker, group, place);
            }
            lines.push(ruled.line());
            add_remedy(&ruled, lines);
        }
        self.add_gang_line(id, job, lines);
        lines.push(self.standing_line(job));
    }

    fn add_gang_line(&self, id: JobId, job: &Job, lines: &mut Vec<String>) {
        if !self.gangs.contains_key(&id) {
            return;
        }
        let Some(held) = &self.reservation else { return };
        let line = if held.job == id {
            format!(
                "room for all {} tasks is reserved until {}, expected by {}",
                job.waiting(),
                held.expires_at,
                held.expected_at
            )
        } else {
            format!(
                "job {} holds the reservation for gangs until {} at most",
                held.job, held.expires_at
            )
        };
        lines.push(line);
    }

    fn standing_line(&self, job: &Job) -> String {
        let order = self.teams.order();
        let ahead = order.iter().position(|&team| team == job.team);
        let team = self.teams.get(job.team);
        format!(
            "team `{}` has {:.1}% of the cell and goes {} of {} teams",
            team.name,
            team.part(self.fleet.held()) * 100.0,
            ahead.unwrap_or(0) + 1,
            order.len()
        )
    }

    /// Says why a task is in the state that it is in.
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
                 again; submit it anew if it did not run"
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

    /// Says where a team stands between its share and its limit.
    pub fn explain_team(&self, name: &TeamName) -> Option<Explanation> {
        let slot = self.teams.slot(name)?;
        let team = self.teams.get(slot);
        let held = self.fleet.held();
        let order = self.teams.order();
        let ahead = order.iter().position(|&found| found == slot);
        let mut lines = vec![
            format!(
                "team `{name}` runs {} of {}",
                team.running, team.allotment
            ),
            format!("its waiting tasks ask for {}", team.waiting),
            format!(
                "it has {:.1}% of the cell now and had {:.1}% lately, weight \
                 {}",
                team.part(held) * 100.0,
                team.mean_part * 100.0,
                team.weight
            ),
            format!(
                "its work goes {} of {} teams",
                ahead.unwrap_or(0) + 1,
                order.len()
            ),
        ];
        lines.extend(self.use_lines(slot));
        lines.truncate(LINE_LIMIT);
        Some(Explanation { lines })
    }

    /// Says how far off the team's declared sizes are, queue by queue.
    fn use_lines(&self, team: TeamSlot) -> Vec<String> {
        self.queues
            .keys()
            .filter_map(|queue| {
                let part = self.estimates.use_part(team, queue)?;
                Some(format!(
                    "nine of ten tasks in queue `{queue}` use at most {:.0}% \
                     of what they declare",
                    part * 100.0
                ))
            })
            .collect()
    }

    /// Says what a worker holds and whether it takes tasks.
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
            "suspected" => lines.push("an answer would end it".to_owned()),
            _ => {}
        }
        Some(Explanation { lines })
    }

    /// Returns when the earliest delayed task may start, for whoever sets
    /// timers.
    pub fn next_due_at(&self) -> Option<TimeMs> {
        self.delayed.first().map(|&(at, _)| at)
    }
}

fn add_remedy(ruled: &Ruled, lines: &mut Vec<String>) {
    let line = if ruled.too_small + ruled.elsewhere == ruled.all {
        "no worker is large enough: a larger one has to join"
    } else if ruled.full > 0 {
        "the end of running work, or a higher share, would let it start"
    } else if ruled.probation + ruled.suspected + ruled.leaving > 0 {
        "a worker that answers or succeeds again would let it start"
    } else {
        return;
    };
    lines.push(line.to_owned());
}

fn add_failure_line(job: &Job, lines: &mut Vec<String>) {
    if job.failed_on.is_empty() {
        return;
    }
    let workers = job.failed_on.len();
    let everywhere =
        job.counts.done == 0 && workers >= FAILS_EVERYWHERE_WORKERS;
    let verdict = if everywhere {
        "the job itself seems to be at fault"
    } else {
        "it is tried elsewhere"
    };
    lines.push(format!(
        "tasks failed on {workers} workers, {} retries used; {verdict}",
        job.retries
    ));
}
