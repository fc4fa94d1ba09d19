use super::{
    Plan, PlanContext, already_exists, team::find_team, unknown_name,
};
use crate::{
    Error, ErrorKind, KeyId, Result, TimeMs,
    command::KeyHolder,
    config::{ConfigChange, KeyRecord, KeySecret, Role},
};

/// Plans to grant a new key. A team's key may submit work; an operator's key
/// may give every command.
pub(super) fn grant(
    context: PlanContext<'_>,
    key: &KeyId,
    holder: &KeyHolder,
    expires_in_ms: Option<u64>,
) -> Result<Plan> {
    if context.config.keys.contains_key(key) {
        // The id of a withdrawn key can't be reused, because withdrawal can't
        // be undone.
        return Err(already_exists("key", key.as_str()));
    }
    let (team, role) = match holder {
        KeyHolder::Operators => (None, Role::Operate),
        KeyHolder::Team(team) => {
            find_team(context.config, team)?;
            (Some(team.clone()), Role::Submit)
        }
    };
    let expires_at = expires_in_ms.map(|ms| context.wall_now.plus_ms(ms));
    let secret = KeySecret::new(key.clone(), context.draw.secret.clone());
    let record = secret.to_record(team, role, context.draw.salt, expires_at);
    Ok(Plan {
        before: "no key".to_owned(),
        after: format!("key {key} for {holder}"),
        change: Some(ConfigChange::GrantKey { key: key.clone(), record }),
        notes: Vec::new(),
        new_key: Some(secret),
    })
}

/// Plans to withdraw a key. The last valid operator's key can't be withdrawn,
/// because nobody could change the configuration afterwards.
pub(super) fn withdraw(context: PlanContext<'_>, key: &KeyId) -> Result<Plan> {
    let config = context.config;
    let record: &KeyRecord = config.keys.get(key).ok_or_else(|| {
        let known = config.keys.keys().map(KeyId::as_str);
        unknown_name(ErrorKind::NotFound, "key", key.as_str(), known)
    })?;
    if is_valid_operator_key(record, context.wall_now)
        && !has_other_operator_key(context, key)
    {
        return Err(Error::new(
            ErrorKind::Conflict,
            format!("key `{key}` is the last one that may operate the cell"),
        ));
    }
    Ok(Plan {
        change: (!record.withdrawn)
            .then(|| ConfigChange::WithdrawKey { key: key.clone() }),
        before: format!("key {key} granted"),
        after: format!("key {key} withdrawn"),
        ..Plan::default()
    })
}

/// Returns whether there is a valid operator's key besides `key`.
fn has_other_operator_key(context: PlanContext<'_>, key: &KeyId) -> bool {
    let mut others = context.config.keys.iter().filter(|(id, _)| *id != key);
    others.any(|(_, record)| is_valid_operator_key(record, context.wall_now))
}

fn is_valid_operator_key(record: &KeyRecord, wall_now: TimeMs) -> bool {
    let expired = record.expires_at.is_some_and(|at| at <= wall_now);
    record.role == Role::Operate && !record.withdrawn && !expired
}
