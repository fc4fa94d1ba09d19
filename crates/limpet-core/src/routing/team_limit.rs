use rustc_hash::FxHashMap;

use super::RouterShare;
use crate::{Error, ErrorKind, Result, TeamName, TimeMs};

/// Counts each team's requests under way against this party's part of the
/// team's limit, so that no request asks a store.
#[derive(Clone, Debug, Default)]
pub struct TeamLimits {
    in_flight: FxHashMap<TeamName, u32>,
}

impl TeamLimits {
    /// Takes in one more request of a team.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TeamLimit`] where the team has as many under way as this
    /// party may let it have.
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
                    "team `{team}` has {in_flight} requests under way, \
                     {part} of {limit} are allowed here"
                ),
            ));
        }
        *in_flight += 1;
        Ok(())
    }

    /// Takes in the end of a request that was let in.
    pub fn end(&mut self, team: &TeamName) {
        if let Some(in_flight) = self.in_flight.get_mut(team) {
            *in_flight = in_flight.saturating_sub(1);
            if *in_flight == 0 {
                self.in_flight.remove(team);
            }
        }
    }
}
