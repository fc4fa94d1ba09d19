use std::collections::{BTreeMap, VecDeque};

use super::Deadline;
use crate::{Error, ErrorKind, Result};

/// The cost of one request in virtual time at weight 1.
const REQUEST_COST: u64 = 1 << 20;

/// The number of a waiting request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// A waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiter {
    /// Its number.
    pub ticket: Ticket,
    /// When its answer is due.
    pub deadline: Deadline,
}

#[derive(Clone, Debug)]
struct TeamQueue {
    waiters: VecDeque<Waiter>,
    weight: u32,
    finish: u64,
}

/// Requests that wait for a slot, served fairly between teams by weight and
/// in order of arrival within a team.
///
/// Start-time fair queueing: each team's next request starts in virtual
/// time where its last one finished, and the earliest start goes first. A
/// team that was away starts at the present, so it can't save up time.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    teams: BTreeMap<String, TeamQueue>,
    virtual_time: u64,
    len: usize,
}

impl FairQueue {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Says whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many requests of `team` wait.
    pub fn team_len(&self, team: &str) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.waiters.len())
    }

    /// Returns the part of the service that `team` gets while it and the
    /// teams that wait now go on waiting.
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

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::QueueFull`] where `limit` requests of the team wait
    /// already.
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
                    "{waiting} requests of team `{team}` wait, {limit} are \
                     allowed here"
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

    /// Takes the request that is next.
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

    /// Puts back the request that was just taken, as its team's next.
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

    /// Takes out a request that gave up.
    pub fn remove(&mut self, team: &str, ticket: Ticket) -> bool {
        let Some(queue) = self.teams.get_mut(team) else { return false };
        let before = queue.waiters.len();
        queue.waiters.retain(|waiter| waiter.ticket != ticket);
        let removed = before - queue.waiters.len();
        self.len -= removed;
        removed > 0
    }

    /// Forgets the teams that have caught up with virtual time.
    fn drop_idle_teams(&mut self) {
        let now = self.virtual_time;
        self.teams.retain(|_, queue| {
            !queue.waiters.is_empty() || queue.finish > now
        });
    }
}
