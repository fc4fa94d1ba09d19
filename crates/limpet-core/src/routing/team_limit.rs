use rustc_hash::FxHashMap;

use super::RouterShare;
use crate::{Error, ErrorKind, Result, TeamName, TimeMs};

/// Counts each team's requests in flight against this router's part of the
/// team's limit, so that no request waits for a call to a store.
#[derive(Clone, Debug, Default)]
pub struct TeamLimits {
    in_flight: FxHashMap<TeamName, u32>,
}

impl TeamLimits {
    /// Counts a new request of a team. A `limit` of [`u32::MAX`] means no
    /// limit.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TeamLimit`] if the team has as many requests in flight
    /// here as this router's part of the limit allows.
    pub fn begin(
        &mut self,
        team: &TeamName,
        limit: u32,
        share: &RouterShare,
        now: TimeMs,
    ) -> Result<()> {
        let part = match limit {
            u32::MAX => u32::MAX,
            limit => share.part_of_limit(limit, now),
        };
        let in_flight = self.in_flight.entry(team.clone()).or_default();
        if *in_flight >= part {
            return Err(Error::new(
                ErrorKind::TeamLimit,
                format!(
                    "team `{team}` has {in_flight} requests in flight here; \
                     at most {part} of the limit of {limit} are allowed here"
                ),
            ));
        }
        *in_flight += 1;
        Ok(())
    }

    /// Counts the end of a request for which [`TeamLimits::begin`] succeeded.
    pub fn end(&mut self, team: &TeamName) {
        if let Some(in_flight) = self.in_flight.get_mut(team) {
            *in_flight = in_flight.saturating_sub(1);
            if *in_flight == 0 {
                self.in_flight.remove(team);
            }
        }
    }
}
