use std::rc::Rc;

use limpet_core::{Error, ErrorKind, Result, routing::ClaimKey};
use limpet_platform::{
    CommitAnswer, Condition, PortError, TablePort, Transaction, Write,
};
use tokio::sync::mpsc;

use super::{
    ClaimAnswer, ClaimCompletion, ClaimRequest,
    port::ClaimCall,
    row::{ClaimRow, ClaimState},
};

/// How many times a write whose outcome is unclear is tried.
const TRIES: u32 = 3;

/// Serves claims from the table, on the control thread.
pub struct ClaimServer {
    calls: mpsc::Receiver<ClaimCall>,
}

impl ClaimServer {
    pub(super) fn new(calls: mpsc::Receiver<ClaimCall>) -> ClaimServer {
        ClaimServer { calls }
    }

    /// Serves until every port is dropped. Calls are served side by side,
    /// on the thread that calls this.
    pub async fn serve(mut self, table: TablePort) {
        let table = Rc::new(table);
        while let Some(call) = self.calls.recv().await {
            let table = Rc::clone(&table);
            actix_rt::spawn(async move { answer(&table, call).await });
        }
    }
}

async fn answer(table: &TablePort, call: ClaimCall) {
    // A caller that no longer waits needs no reply.
    match call {
        ClaimCall::Claim(request, reply) => {
            drop(reply.send(claim(table, &request).await));
        }
        ClaimCall::Complete(completion, reply) => {
            drop(reply.send(complete(table, completion).await));
        }
        ClaimCall::Release(key, version, reply) => {
            drop(reply.send(release(table, &key, version).await));
        }
    }
}

async fn claim(
    table: &TablePort,
    request: &ClaimRequest,
) -> Result<ClaimAnswer> {
    let key = request.key.as_str();
    if let Some(row) = read(table, key).await? {
        return Ok(row.answer(&request.digest));
    }
    let value =
        ClaimRow { digest: request.digest.clone(), state: ClaimState::Pending };
    match write(table, key, 0, Some(&value)).await? {
        Written::Committed(version) => Ok(ClaimAnswer::Granted { version }),
        // Another instance was faster: the row says what it is doing.
        Written::Conflict => match read(table, key).await? {
            Some(row) => Ok(row.answer(&request.digest)),
            None => Ok(ClaimAnswer::Pending),
        },
    }
}

async fn complete(
    table: &TablePort,
    completion: ClaimCompletion,
) -> Result<()> {
    let key = completion.key.as_str();
    let value = ClaimRow {
        digest: completion.digest,
        state: ClaimState::Done(completion.answer),
    };
    settle(write(table, key, completion.version, Some(&value)).await?, key)
}

async fn release(
    table: &TablePort,
    key: &ClaimKey,
    version: u64,
) -> Result<()> {
    let key = key.as_str();
    settle(write(table, key, version, None).await?, key)
}

fn settle(written: Written, key: &str) -> Result<()> {
    match written {
        Written::Committed(_) => Ok(()),
        Written::Conflict => Err(Error::new(
            ErrorKind::Conflict,
            format!("the row `{key}` was changed by another"),
        )),
    }
}

enum Written {
    Committed(u64),
    Conflict,
}

/// Writes a row under a condition on its version.
///
/// A write with an unclear outcome is sent again with the same token: it
/// can't take effect twice, and a conflict with its own first try shows as
/// a row that bears the token.
async fn write(
    table: &TablePort,
    key: &str,
    version: u64,
    value: Option<&ClaimRow>,
) -> Result<Written> {
    let transaction = transaction(key, version, value)?;
    let mut unclear = false;
    let mut failure = PortError::Unavailable("not tried".to_owned());
    for _ in 0..TRIES {
        match (table.commit)(transaction.clone()).await {
            Ok(CommitAnswer::Committed { version }) => {
                return Ok(Written::Committed(version));
            }
            Ok(CommitAnswer::Conflict { .. }) if unclear => {
                return own_effect(table, key, &transaction).await;
            }
            Ok(CommitAnswer::Conflict { .. }) => {
                return Ok(Written::Conflict);
            }
            Err(err) => {
                unclear |= !err.is_unavailable();
                failure = err;
            }
        }
    }
    if unclear {
        failure = PortError::Unknown(failure.to_string());
    }
    Err(failure.into())
}

/// Says whether a conflict is with the transaction's own earlier try.
async fn own_effect(
    table: &TablePort,
    key: &str,
    transaction: &Transaction,
) -> Result<Written> {
    let row = (table.read)(key.to_owned()).await?;
    let deletes = transaction.writes.iter().all(|w| w.value.is_none());
    match row {
        Some(row) if row.token == transaction.token => {
            Ok(Written::Committed(row.version))
        }
        None if deletes => Ok(Written::Committed(0)),
        _ => Ok(Written::Conflict),
    }
}

fn transaction(
    key: &str,
    version: u64,
    value: Option<&ClaimRow>,
) -> Result<Transaction> {
    let value = value.map(serde_json::to_string).transpose();
    let value = value.map_err(|err| {
        Error::new(ErrorKind::Internal, format!("row `{key}`: {err}"))
    })?;
    Ok(Transaction {
        token: format!("claim-{:032x}", rand::random::<u128>()),
        conditions: vec![Condition { key: key.to_owned(), version }],
        writes: vec![Write { key: key.to_owned(), value }],
    })
}

async fn read(table: &TablePort, key: &str) -> Result<Option<ClaimRow>> {
    let Some(row) = (table.read)(key.to_owned()).await? else {
        return Ok(None);
    };
    let row = serde_json::from_str(&row.value).map_err(|err| {
        Error::new(ErrorKind::Internal, format!("row `{key}`: {err}"))
    })?;
    Ok(Some(row))
}
