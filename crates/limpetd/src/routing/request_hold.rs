use std::rc::Rc;

use limpet_core::{Result, TeamName};

use super::TrafficContext;

/// Counts one request as under way, for its team and for the shutdown,
/// until its answer has ended.
pub(crate) struct RequestHold {
    context: TrafficContext,
    team: Option<TeamName>,
}

impl RequestHold {
    /// Takes in a request of a team with this limit.
    ///
    /// # Errors
    ///
    /// `TeamLimit` where the team has too many under way.
    pub(crate) fn begin(
        context: &TrafficContext,
        team: Option<(&TeamName, u32)>,
    ) -> Result<Rc<RequestHold>> {
        let now = context.now();
        if let Some((team, limit)) = team {
            context.with_state(|state| state.begin_team(team, limit, now))?;
        }
        context.activity().begin();
        Ok(Rc::new(RequestHold {
            context: context.clone(),
            team: team.map(|(team, _)| team.clone()),
        }))
    }
}

impl Drop for RequestHold {
    fn drop(&mut self) {
        if let Some(team) = &self.team {
            self.context.with_state(|state| state.end_team(team));
        }
        self.context.activity().end();
    }
}
