//! An in-memory table and sample jobs for the tests of this crate.
#![allow(dead_code)]

use std::collections::BTreeMap;

use limpet_core::{
    InstanceId, JobId, JobSpec, TaskSpec, TimeMs, WorkerId,
    journal::Record,
    ownership::Holder,
    table::{CommitAnswer, Row, Transaction},
};

/// The table service as its contract defines it, with transactions that are
/// committed one at a time.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct Table {
    /// The version of the latest transaction.
    pub version: u64,
    pub rows: BTreeMap<String, Row>,
}

impl Table {
    pub fn read(&self, key: &str) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .values()
            .filter(|row| row.key.starts_with(prefix))
            .cloned()
            .collect()
    }

    pub fn commit(&mut self, transaction: &Transaction) -> CommitAnswer {
        for condition in &transaction.conditions {
            let version =
                self.rows.get(&condition.key).map_or(0, |row| row.version);
            if version != condition.version {
                let key = condition.key.clone();
                return CommitAnswer::Conflict { key, version };
            }
        }
        self.version += 1;
        for write in &transaction.writes {
            self.write(&write.key, write.value.as_ref(), &transaction.token);
        }
        CommitAnswer::Committed { version: self.version }
    }

    fn write(&mut self, key: &str, value: Option<&String>, token: &str) {
        let Some(value) = value else {
            self.rows.remove(key);
            return;
        };
        let row = Row {
            key: key.to_owned(),
            value: value.clone(),
            version: self.version,
            token: token.to_owned(),
        };
        self.rows.insert(key.to_owned(), row);
    }
}

pub fn holder(name: &str) -> Holder {
    Holder {
        instance: InstanceId::new(name).unwrap(),
        incarnation: 1,
        link_address: "127.0.0.1:1".to_owned(),
    }
}

pub fn worker(name: &str) -> WorkerId {
    WorkerId::new(name).unwrap()
}

/// Returns a job with two tasks of one core each.
pub fn job(idempotent: bool) -> JobSpec {
    JobSpec {
        name: "reconcile".to_owned(),
        team: "vendors".parse().unwrap(),
        queue: "batch".parse().unwrap(),
        urgent: false,
        all_at_once: false,
        data_centre: None,
        tasks: vec![TaskSpec {
            name: "part".to_owned(),
            count: 2,
            cores_milli: 1_000,
            memory_mb: 64,
            accelerators: 0,
            run_time_ms: Some(1_000),
            idempotent,
            can_checkpoint: false,
        }],
    }
}

/// Returns the record of the acceptance of [`job`].
pub fn accepted(id: JobId, idempotent: bool) -> Record {
    Record::JobAccepted {
        job: id,
        spec: Box::new(job(idempotent)),
        token: "t".to_owned(),
        key: None,
        accepted_at: TimeMs::ZERO,
    }
}
