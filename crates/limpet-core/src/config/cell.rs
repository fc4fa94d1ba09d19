use std::collections::{BTreeMap, BTreeSet};

use super::{
    ConfigChange, KeyRecord, KeySecret, QueueConfig, ServiceConfig, TeamConfig,
};
use crate::{
    EndpointId, Error, ErrorKind, InstanceId, KeyId, QueueName, Result,
    Revision, ServiceName, TeamName, TimeMs, WorkerId,
};

/// The configuration of the cell, as operators have set it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct CellConfig {
    /// The number of changes that led to this configuration.
    pub revision: Revision,
    /// The teams.
    pub teams: BTreeMap<TeamName, TeamConfig>,
    /// The queues.
    pub queues: BTreeMap<QueueName, QueueConfig>,
    /// The services.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// The API keys, including withdrawn ones.
    pub keys: BTreeMap<KeyId, KeyRecord>,
    /// The workers that accept no new tasks.
    #[serde(default)]
    pub drained_workers: BTreeSet<WorkerId>,
    /// The endpoints that are sent no new requests.
    #[serde(default)]
    pub drained_endpoints: BTreeSet<EndpointId>,
    /// The instances that own no shards.
    #[serde(default)]
    pub drained_instances: BTreeSet<InstanceId>,
}

impl CellConfig {
    /// Applies one change and increments the revision.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::NotFound`] where the change withdraws a key that
    /// was never granted, and [`ErrorKind::Conflict`] where it grants a key
    /// whose id is taken. The configuration is then unchanged.
    pub fn apply(&mut self, change: &ConfigChange) -> Result<()> {
        match change {
            ConfigChange::SetTeam { team, config } => {
                self.teams.insert(team.clone(), config.clone());
            }
            ConfigChange::SetQueue { queue, config } => {
                self.queues.insert(queue.clone(), config.clone());
            }
            ConfigChange::SetService { service, config } => {
                self.services.insert(service.clone(), config.clone());
            }
            ConfigChange::GrantKey { key, record } => {
                self.grant_key(key, record)?;
            }
            ConfigChange::WithdrawKey { key } => self.withdraw_key(key)?,
            ConfigChange::DrainWorker { worker, drained } => {
                set_member(&mut self.drained_workers, worker, *drained);
            }
            ConfigChange::DrainEndpoint { endpoint, drained } => {
                set_member(&mut self.drained_endpoints, endpoint, *drained);
            }
            ConfigChange::DrainInstance { instance, drained } => {
                set_member(&mut self.drained_instances, instance, *drained);
            }
        }
        self.revision = self.revision.next();
        Ok(())
    }

    fn grant_key(&mut self, key: &KeyId, record: &KeyRecord) -> Result<()> {
        if self.keys.contains_key(key) {
            return Err(Error::new(
                ErrorKind::Conflict,
                format!("key `{key}` was granted before"),
            ));
        }
        self.keys.insert(key.clone(), record.clone());
        Ok(())
    }

    fn withdraw_key(&mut self, key: &KeyId) -> Result<()> {
        let record = self.keys.get_mut(key).ok_or_else(|| {
            Error::new(ErrorKind::NotFound, format!("no key `{key}`"))
        })?;
        record.withdrawn = true;
        Ok(())
    }

    /// Verifies a key that came with a request and returns its record.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::UnknownKey`] where the key was never granted or
    /// its secret is wrong, and [`ErrorKind::KeyWithdrawn`] where it was
    /// withdrawn or has expired by `wall_now`.
    pub fn verify_key(
        &self,
        key: &KeySecret,
        wall_now: TimeMs,
    ) -> Result<&KeyRecord> {
        let unknown =
            || Error::new(ErrorKind::UnknownKey, "this key was never granted");
        let record = self.keys.get(key.id()).ok_or_else(unknown)?;
        if !key.matches(record) {
            return Err(unknown());
        }
        let expired = record.expires_at.is_some_and(|at| at <= wall_now);
        if record.withdrawn || expired {
            let reason = if expired { "expired" } else { "was withdrawn" };
            return Err(Error::new(
                ErrorKind::KeyWithdrawn,
                format!("key `{}` {reason}", key.id()),
            ));
        }
        Ok(record)
    }
}

/// Adds an item to a set or removes it, by whether it is to be a member.
fn set_member<T: Clone + Ord>(set: &mut BTreeSet<T>, item: &T, member: bool) {
    if member {
        set.insert(item.clone());
    } else {
        set.remove(item);
    }
}
