use crate::Resources;

/// The configuration of a team.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TeamConfig {
    /// Its share of a full cell, relative to the weights of other teams.
    pub weight: u32,
    /// The most resources that its running tasks may use, over the whole
    /// cell.
    pub limit: Resources,
    /// The most requests to services that it may have in progress, over all
    /// instances.
    pub request_limit: u32,
}

impl Default for TeamConfig {
    fn default() -> TeamConfig {
        TeamConfig {
            weight: 1,
            limit: Resources::UNLIMITED,
            request_limit: u32::MAX,
        }
    }
}
