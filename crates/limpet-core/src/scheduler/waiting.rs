//! Keeps the backlog consistent with the states of jobs and tasks.

use std::collections::btree_map::Entry;

use super::{
    Scheduler,
    backlog::WaitingGroup,
    gang::WaitingGang,
    job::Job,
    slot::{ClassSlot, TeamSlot},
};
use crate::{JobId, Resources, TaskId, TaskState, TimeMs};

impl Scheduler {
    /// Adds a waiting task to those that may start.
    pub(super) fn push_waiting(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let group = job.group_index(id.index);
        job.groups[group].waiting.push(id.index);
        let (team, size, held) = (job.team, job.groups[group].size, job.held);
        if !held {
            let team = self.teams.get_mut(team);
            team.waiting = team.waiting.plus(&size);
        }
        self.sync_group(id.job, group);
    }

    /// Removes the next task of a group from the backlog and returns its
    /// index.
    pub(super) fn pop_waiting(
        &mut self,
        id: JobId,
        group: usize,
    ) -> Option<u32> {
        let job = self.jobs.get_mut(&id)?;
        let index = job.groups[group].waiting.pop()?;
        let (team, size, held) = (job.team, job.groups[group].size, job.held);
        if !held {
            let team = self.teams.get_mut(team);
            team.waiting = team.waiting.minus(&size);
        }
        self.sync_group(id, group);
        Some(index)
    }

    /// Removes a task from the backlog, whatever its position.
    pub(super) fn remove_waiting(&mut self, id: TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let group = job.group_index(id.index);
        let waiting = &mut job.groups[group].waiting;
        let Some(at) = waiting.iter().rposition(|&index| index == id.index)
        else {
            return;
        };
        let last = waiting.len() - 1;
        waiting.swap(at, last);
        self.pop_waiting(id.job, group);
    }

    /// Updates the backlog and the waiting gangs after the state of a job
    /// changed.
    pub(super) fn sync_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.is_startable_gang() {
            self.gangs.remove(&id);
        } else if let Entry::Vacant(vacant) = self.gangs.entry(id) {
            vacant.insert(WaitingGang::NEW);
            self.new_gangs.push(id);
        }
        for group in 0..self.jobs[&id].groups.len() {
            self.sync_entry(id, group);
        }
    }

    /// Updates the backlog after the waiting tasks of a group changed. For a
    /// gang, this concerns the whole job.
    fn sync_group(&mut self, id: JobId, group: usize) {
        if self.jobs[&id].is_gang() {
            self.sync_job(id);
        } else {
            self.sync_entry(id, group);
        }
    }

    /// Adds the entry of a group to the backlog or removes it, whichever the
    /// state of its job and its waiting tasks require.
    fn sync_entry(&mut self, id: JobId, index: usize) {
        let job = &self.jobs[&id];
        let group = &job.groups[index];
        let in_backlog = is_in_backlog(job) && !group.waiting.is_empty();
        let entry = WaitingGroup {
            rank_ms: job.rank_ms,
            job: id,
            group: index as u32,
        };
        let (team, class) = (job.team, group.class);
        if in_backlog {
            self.add_to_backlog(team, class, entry);
        } else {
            self.remove_from_backlog(team, class, &entry);
        }
    }

    fn add_to_backlog(
        &mut self,
        team: TeamSlot,
        class: ClassSlot,
        entry: WaitingGroup,
    ) {
        if self.backlog.insert(team, class, entry) {
            let team = self.teams.get_mut(team);
            team.waiting_classes.insert(class);
            team.ready_classes.insert(class);
        }
    }

    fn remove_from_backlog(
        &mut self,
        team: TeamSlot,
        class: ClassSlot,
        entry: &WaitingGroup,
    ) {
        if self.backlog.remove(team, class, entry) {
            let team = self.teams.get_mut(team);
            team.waiting_classes.remove(class);
            team.ready_classes.remove(class);
        }
    }

    /// Holds a job, so that none of its tasks starts, or releases it.
    pub(super) fn hold_job(&mut self, id: JobId, held: bool) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.held == held || job.state.is_final() {
            return;
        }
        job.held = held;
        let requested = waiting_size(job);
        let team = self.teams.get_mut(job.team);
        team.waiting = if held {
            team.waiting.minus(&requested)
        } else {
            team.waiting.plus(&requested)
        };
        self.sync_job(id);
    }

    /// Removes all waiting tasks of a job from the backlog.
    pub(super) fn clear_waiting(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !job.held {
            let requested = waiting_size(job);
            let team = self.teams.get_mut(job.team);
            team.waiting = team.waiting.minus(&requested);
        }
        job.groups.iter_mut().for_each(|group| group.waiting.clear());
        self.sync_job(id);
    }

    /// Delays a waiting task, so that it does not start before `at`.
    pub(super) fn delay_task(&mut self, id: TaskId, at: TimeMs) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        job.counts.delayed += 1;
        self.delayed.insert((at, id));
    }

    /// Adds the delayed tasks whose time has come to those that may start.
    pub(super) fn release_delayed(&mut self, now: TimeMs) {
        while let Some(&(at, id)) = self.delayed.first() {
            if at > now {
                return;
            }
            self.delayed.pop_first();
            if self.end_delay(id) {
                self.push_waiting(id);
            }
        }
    }

    /// Counts one delayed task less and returns whether the task still waits.
    pub(super) fn end_delay(&mut self, id: TaskId) -> bool {
        let Some(job) = self.jobs.get_mut(&id.job) else { return false };
        job.counts.delayed = job.counts.delayed.saturating_sub(1);
        job.tasks[id.index as usize].state == TaskState::Waiting
    }
}

/// Returns whether the waiting tasks of a job are placed one by one from the
/// backlog. For a gang, this holds only while other tasks of it are placed
/// and its tasks can move singly.
fn is_in_backlog(job: &Job) -> bool {
    let one_by_one = !job.is_gang()
        || (job.counts.placed > 0 && job.can_move_single_tasks());
    one_by_one && !job.held && !job.cancelled && !job.state.is_final()
}

/// Returns the total size of a job's waiting tasks that may start.
fn waiting_size(job: &Job) -> Resources {
    job.groups.iter().fold(Resources::ZERO, |sum, group| {
        sum.plus(&group.size.times(group.waiting.len() as u64))
    })
}
