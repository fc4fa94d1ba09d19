//! Keeps the configuration up to date: reads it once, then follows the feed
//! of its table.

use std::{rc::Rc, sync::Arc, time::Duration};

use limpet_adapter::{
    CONFIG_KEY, OPERATOR_TABLE, Row, RowRange, StoreError, decode_config,
};
use limpet_core::TimeMs;
use slog::{info, warn};

use crate::{clock, node::Node};

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

/// Reads the configuration. Returns the version from which to follow it.
async fn read_config(node: &Node, sent_at: TimeMs) -> Result<u64, StoreError> {
    let to = format!("{CONFIG_KEY}\u{1}");
    let range = RowRange {
        table: OPERATOR_TABLE,
        part: "",
        from: CONFIG_KEY,
        to: &to,
        limit: None,
    };
    let page = node.store.read_page(&range, READ_PAUSE_MS).await?;
    for row in &page.rows {
        apply_row(node, row);
    }
    confirm(node, sent_at);
    Ok(page.version)
}

/// Waits for a change after a version. Returns the version to go on from.
async fn follow(
    node: &Node,
    after: u64,
    sent_at: TimeMs,
) -> Result<u64, StoreError> {
    let feed = node.store.feed(OPERATOR_TABLE, after, FEED_WAIT_MS).await?;
    for row in &feed.rows {
        apply_row(node, row);
    }
    confirm(node, sent_at);
    Ok(feed.version.max(after))
}

/// Records that the store confirmed the configuration as of `sent_at`.
fn confirm(node: &Node, sent_at: TimeMs) {
    node.confirmed_at.set(node.confirmed_at.get().max(sent_at));
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
