use std::collections::{BTreeMap, VecDeque};

use super::Deadline;
use crate::{Error, ErrorKind, Result};

/// The cost of one request in virtual time at weight 1.
const REQUEST_COST: u64 = 1 << 20;

/// Identifies a waiting request within a queue.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Identifies the request.
    pub ticket: Ticket,
    /// When the answer is due.
    pub deadline: Deadline,
}

#[derive(Clone, Debug)]
struct TeamQueue {
    waiters: VecDeque<Waiter>,
    weight: u32,
    /// The virtual time at which the team's last served request finishes.
    finish: u64,
}

/// A queue of requests that wait for a slot. It serves teams in proportion
/// to their weights, and the requests of one team in order of arrival.
///
/// It implements start-time fair queueing: a team's next request starts in
/// virtual time where its previous one finished, and the request with the
/// earliest start is served first. A team that had no requests starts at the
/// current virtual time, so it can't accumulate credit while idle.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    teams: BTreeMap<String, TeamQueue>,
    /// The start, in virtual time, of the request that was served last.
    virtual_time: u64,
    /// The number of waiting requests of all teams.
    len: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of `team`.
    pub fn team_len(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.waiters.len())
    }

    /// Returns the fraction of the service, from 0 to 1, that `team` gets
    /// while it and all teams with waiting requests keep the queue busy.
    pub fn team_share(&self, team: &str, weight: u32) -> f64 {
        let others: u64 = self
            .teams
            .iter()
            .filter(|(name, queue)| {
                name.as_str() != team && !queue.waiters.is_empty()
            })
            .map(|(_, queue)| u64::from(queue.weight))
            .sum();
        let weight = f64::from(weight.max(1));
        weight / (weight + others as f64)
    }

    /// Adds a request at the end of its team's queue and sets the team's
    /// weight.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::QueueFull`] if `limit` or more requests of the team
    /// are waiting.
    pub fn push(
        &mut self,
        team: &str,
        weight: u32,
        waiter: Waiter,
        limit: usize,
    ) -> Result<()> {
        let waiting = self.team_len(team);
        if waiting >= limit {
            return Err(Error::new(
                ErrorKind::QueueFull,
                format!(
                    "{waiting} requests of team `{team}` are waiting here; \
                     at most {limit} are allowed"
                ),
            ));
        }
        let now = self.virtual_time;
        if !self.teams.contains_key(team) {
            let queue =
                TeamQueue { waiters: VecDeque::new(), weight, finish: now };
            self.teams.insert(team.to_owned(), queue);
        }
        if let Some(queue) = self.teams.get_mut(team) {
            if queue.waiters.is_empty() {
                queue.finish = queue.finish.max(now);
            }
            queue.weight = weight.max(1);
            queue.waiters.push_back(waiter);
            self.len += 1;
        }
        Ok(())
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self) -> Option<Waiter> {
        let (_, queue) = self
            .teams
            .iter_mut()
            .filter(|(_, queue)| !queue.waiters.is_empty())
            .min_by_key(|(_, queue)| queue.finish)?;
        let waiter = queue.waiters.pop_front()?;
        self.virtual_time = queue.finish;
        queue.finish += REQUEST_COST / u64::from(queue.weight);
        self.len -= 1;
        self.drop_idle_teams();
        Some(waiter)
    }

    /// Returns a request that was just popped to the head of its team's
    /// queue and refunds its cost.
    pub fn put_back(&mut self, team: &str, weight: u32, waiter: Waiter) {
        let now = self.virtual_time;
        let queue =
            self.teams.entry(team.to_owned()).or_insert_with(|| TeamQueue {
                waiters: VecDeque::new(),
                weight: weight.max(1),
                finish: now,
            });
        let cost = REQUEST_COST / u64::from(queue.weight);
        queue.finish = queue.finish.saturating_sub(cost);
        queue.waiters.push_front(waiter);
        self.len += 1;
    }

    /// Removes a request whose caller stopped waiting, and returns whether
    /// it was in the queue.
    pub fn remove(&mut self, team: &str, ticket: Ticket) -> bool {
        let Some(queue) = self.teams.get_mut(team) else { return false };
        let before = queue.waiters.len();
        queue.waiters.retain(|waiter| waiter.ticket != ticket);
        let removed = before - queue.waiters.len();
        self.len -= removed;
        removed > 0
    }

    /// Removes the teams without waiting requests whose last request
    /// finished before the current virtual time.
    fn drop_idle_teams(&mut self) {
        let now = self.virtual_time;
        self.teams.retain(|_, queue| {
            !queue.waiters.is_empty() || queue.finish > now
        });
    }
}
