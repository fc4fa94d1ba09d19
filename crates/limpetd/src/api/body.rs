//! Reads the bodies of jobs and commands.

use std::time::Duration;

use actix_http::Payload;
use futures::StreamExt;
use limpet_core::{Error, ErrorKind, Result};

use crate::settings::LimitSettings;

/// Reads the body of a job file or command as text.
///
/// # Errors
///
/// [`ErrorKind::TooLarge`] if it is longer than the limit,
/// [`ErrorKind::CallerTimeout`] if the caller sends it too slowly, and
/// [`ErrorKind::InvalidRequest`] if it ends early or isn't UTF-8.
pub(super) async fn read_text(
    payload: Payload,
    limits: &LimitSettings,
) -> Result<String> {
    let timeout = Duration::from_millis(limits.body_ms);
    let reading = read_bytes(payload, limits.body_bytes as usize);
    let bytes =
        actix_rt::time::timeout(timeout, reading).await.map_err(|_| {
            Error::new(
                ErrorKind::CallerTimeout,
                format!("the body took longer than {} ms", limits.body_ms),
            )
        })??;
    String::from_utf8(bytes).map_err(|_| {
        Error::new(ErrorKind::InvalidRequest, "the body is not UTF-8 text")
    })
}

async fn read_bytes(
    mut payload: Payload,
    limit_bytes: usize,
) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|err| {
            Error::new(
                ErrorKind::InvalidRequest,
                format!("the body ended early: {err}"),
            )
        })?;
        if bytes.len() + chunk.len() > limit_bytes {
            return Err(Error::new(
                ErrorKind::TooLarge,
                format!("the body is longer than {limit_bytes} bytes"),
            ));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}
