//! Counts the requests in flight.

use std::rc::Rc;

use limpet_core::{Result, TeamName};

use super::TrafficContext;

/// Counts a request as in flight until it is dropped: for the limit of its
/// team, and for the shutdown, which waits for requests in flight.
pub(crate) struct InFlightRequest {
    context: TrafficContext,
    team: Option<TeamName>,
}

impl InFlightRequest {
    /// Begins to count a request, of a team with this limit if there is one.
    ///
    /// # Errors
    ///
    /// `TeamLimit` if the team has too many requests in flight.
    pub(crate) fn begin(
        context: &TrafficContext,
        team: Option<(&TeamName, u32)>,
    ) -> Result<Rc<InFlightRequest>> {
        let now = context.now();
        if let Some((team, limit)) = team {
            context.with_state(|state| state.begin_team(team, limit, now))?;
        }
        context.activity().begin();
        Ok(Rc::new(InFlightRequest {
            context: context.clone(),
            team: team.map(|(team, _)| team.clone()),
        }))
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        if let Some(team) = &self.team {
            self.context.with_state(|state| state.end_team(team));
        }
        self.context.activity().end();
    }
}
