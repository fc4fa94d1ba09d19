use crate::Resources;

/// What operators have decided for a team.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct TeamConfig {
    /// Its part of the full cell, relative to the other teams' weights.
    pub weight: u32,
    /// What it may run at once across the fleet.
    pub limit: Resources,
    /// How many of its requests to services may be under way at once,
    /// across all instances.
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
