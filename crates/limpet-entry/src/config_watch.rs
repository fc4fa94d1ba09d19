//! Keeps the configuration and the evacuated data centres up to date: reads
//! them once, then follows the feed of their table.

use std::{rc::Rc, sync::Arc, time::Duration};

use limpet_adapter::{
    CONFIG_KEY, OPERATOR_KEYS_END, OPERATOR_TABLE, Row, RowRange, StoreError,
    decode_config,
};
use limpet_core::TimeMs;
use slog::{info, warn};

use crate::{clock, evacuation_rows::EvacuationChange, node::Node};

/// How long a call of the feed waits for a change. Each answer confirms the
/// API keys, so this is well below the bound on the use of withdrawn keys.
const FEED_WAIT_MS: u64 = 700;
/// How long a read may pause. A configuration takes a while on a slow link.
const READ_PAUSE_MS: u64 = 1_000;
/// The pause after a failed call.
const RETRY_MS: u64 = 100;

/// Applies each new configuration and records when the store confirmed the
/// current one. Never returns.
pub async fn follow_config(node: Rc<Node>) {
    let mut version = None;
    let mut connected = true;
    loop {
        let sent_at = clock::now();
        let result = match version {
            None => read_config(&node, sent_at).await,
            Some(after) => follow(&node, after, sent_at).await,
        };
        let answered = !matches!(
            result,
            Err(StoreError::NoEffect(_)
                | StoreError::Rejected(_)
                | StoreError::Unknown(_))
        );
        node.record_store_call(answered);
        match result {
            Ok(newest) => {
                if !connected {
                    info!(node.log, "store: config confirmed again";
                        "table" => OPERATOR_TABLE);
                }
                connected = true;
                version = Some(newest);
            }
            Err(StoreError::HistoryLost) => version = None,
            Err(err) => {
                if connected {
                    warn!(node.log,
                        "store: config not confirmed; keyed calls may stop";
                        "table" => OPERATOR_TABLE, "reason" => %err,
                        "config_age_ms" => node.config_age_ms());
                }
                connected = false;
                actix_rt::time::sleep(Duration::from_millis(RETRY_MS)).await;
            }
        }
    }
}

/// Reads the configuration and the evacuations. Returns the version from which
/// to follow them.
async fn read_config(node: &Node, sent_at: TimeMs) -> Result<u64, StoreError> {
    let mut rows = Vec::new();
    let mut version = None;
    let mut from = CONFIG_KEY.to_owned();
    loop {
        let range = RowRange {
            table: OPERATOR_TABLE,
            part: "",
            from: &from,
            to: OPERATOR_KEYS_END,
            limit: None,
        };
        let page = node.store.read_page(&range, READ_PAUSE_MS).await?;
        // Later pages may be newer, and the feed must miss no change.
        let first = *version.get_or_insert(page.version);
        let next = page.next_key();
        rows.extend(page.rows);
        match next {
            Some(key) => from = key,
            None => {
                apply_read(node, &rows, first);
                confirm(node, sent_at);
                return Ok(first);
            }
        }
    }
}

/// Applies all rows of the operators' table, as of a version. Evacuations come
/// first, so that a configuration starts nothing in their data centres.
fn apply_read(node: &Node, rows: &[Row], version: u64) {
    let changes = node.evacuations.borrow_mut().replace(rows, version);
    apply_evacuations(node, &changes);
    for row in rows {
        apply_row(node, row);
    }
}

/// Waits for a change after a version. Returns the version to go on from.
async fn follow(
    node: &Node,
    after: u64,
    sent_at: TimeMs,
) -> Result<u64, StoreError> {
    let feed = node.store.feed(OPERATOR_TABLE, after, FEED_WAIT_MS).await?;
    let changes = node.evacuations.borrow_mut().apply(&feed.rows);
    apply_evacuations(node, &changes);
    for row in &feed.rows {
        apply_row(node, row);
    }
    confirm(node, sent_at);
    Ok(feed.version.max(after))
}

/// Records that the store confirmed the table as of `sent_at`.
fn confirm(node: &Node, sent_at: TimeMs) {
    node.confirmed_at.set(node.confirmed_at.get().max(sent_at));
}

/// Logs changes of the evacuations, and passes the evacuated data centres to
/// the owner.
fn apply_evacuations(node: &Node, changes: &[EvacuationChange]) {
    if changes.is_empty() {
        return;
    }
    for change in changes {
        let (name, version) = (&change.data_centre, change.store_version);
        match change.began {
            true => info!(node.log, "evacuation: began";
                "data_centre" => name, "store_version" => version),
            false => info!(node.log, "evacuation: ended";
                "data_centre" => name, "store_version" => version),
        }
    }
    if let Some(owner) = node.owner.borrow().as_ref() {
        owner.set_evacuations(node.evacuations.borrow().data_centres());
    }
}

/// Applies a row of the operators' table if it contains a newer configuration.
fn apply_row(node: &Node, row: &Row) {
    if row.name.key != CONFIG_KEY || !row.name.part.is_empty() {
        return;
    }
    let Some(value) = &row.value else { return };
    let config = match decode_config(value) {
        Ok(config) => config,
        Err(err) => {
            warn!(node.log, "config: undecodable; current revision stays";
                "reason" => err);
            return;
        }
    };
    let in_force = node.config.borrow().as_ref().map(|config| config.revision);
    if in_force.is_some_and(|revision| revision >= config.revision) {
        return;
    }
    info!(node.log, "config: new revision in force";
        "revision" => config.revision, "store_version" => row.version,
        "queues" => config.queues.len(), "teams" => config.teams.len());
    let config = Arc::new(config);
    *node.config.borrow_mut() = Some(Arc::clone(&config));
    if let Some(owner) = node.owner.borrow().as_ref() {
        owner.set_config(config);
    }
}
