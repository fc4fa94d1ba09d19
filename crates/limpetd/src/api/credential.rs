//! Verifies the keys of requests.

use actix_http::{
    RequestHead,
    header::{AUTHORIZATION, HeaderMap, HeaderValue},
};
use limpet_core::{
    Error, ErrorKind, KeyId, Result, TeamName,
    config::{KeySecret, Role},
};

use super::context::ApiContext;
use crate::control::Caller;

/// Returns the key in the `authorization` header, or `None` without one.
///
/// # Errors
///
/// [`ErrorKind::UnknownKey`] if the header isn't written `Bearer ID:SECRET`.
fn read_key(headers: &HeaderMap) -> Result<Option<KeySecret>> {
    headers.get(AUTHORIZATION).map(parse_key).transpose()
}

/// Parses the value of an `authorization` header.
///
/// # Errors
///
/// As [`read_key`].
pub(super) fn parse_key(value: &HeaderValue) -> Result<KeySecret> {
    let text = value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer ").map(str::trim));
    let Some(text) = text else {
        return Err(Error::new(
            ErrorKind::UnknownKey,
            "the header must be written `Authorization: Bearer ID:SECRET`",
        ));
    };
    KeySecret::parse(text)
}

/// Verifies the key of a request that needs one, and returns its caller.
///
/// # Errors
///
/// [`ErrorKind::UnknownKey`] if the request has no key, and otherwise as
/// [`crate::View::verify_key`].
pub(super) fn verify(head: &RequestHead, api: &ApiContext) -> Result<Caller> {
    let key = read_key(&head.headers)?.ok_or_else(|| {
        Error::new(ErrorKind::UnknownKey, "no key came with the request")
    })?;
    let view = api.view.load();
    let record =
        view.verify_key(&key, api.clock.now(), api.wall_clock.now())?;
    Ok(Caller {
        key: key.id().clone(),
        role: record.role,
        team: record.team.clone(),
    })
}

/// Verifies that a request may submit a job for a team, and returns the key's
/// id. If the job's queue is `open`, the request needs no key.
///
/// # Errors
///
/// [`ErrorKind::UnknownTeam`] if there is no such team,
/// [`ErrorKind::NotPermitted`] if the key belongs to another team, and
/// otherwise as [`verify`].
pub(super) fn verify_submitter(
    head: &RequestHead,
    api: &ApiContext,
    team: &TeamName,
    open: bool,
) -> Result<Option<KeyId>> {
    let has_key = head.headers.contains_key(AUTHORIZATION);
    if !api.view.load().config.teams.contains_key(team) {
        // A wrong key is refused before the caller learns whether the team
        // exists.
        if has_key || open {
            verify_unless_open(head, api, open)?;
        }
        return Err(Error::new(
            ErrorKind::UnknownTeam,
            format!("no team `{team}`"),
        ));
    }
    if open && !has_key {
        return Ok(None);
    }
    let caller = verify(head, api)?;
    let allowed =
        caller.role == Role::Operate || caller.team.as_ref() == Some(team);
    if !allowed {
        return Err(Error::new(
            ErrorKind::NotPermitted,
            format!("key `{}` is not of team `{team}`", caller.key),
        ));
    }
    Ok(Some(caller.key))
}

/// Verifies the key of a request. A request without one passes if `open`.
fn verify_unless_open(
    head: &RequestHead,
    api: &ApiContext,
    open: bool,
) -> Result<()> {
    if !open || head.headers.contains_key(AUTHORIZATION) {
        verify(head, api)?;
    }
    Ok(())
}
