//! Writing of journal records to the table in segments: when a segment is
//! sent, how a lost answer is resolved, and how many rows are written.

mod support;

use limpet_core::{
    Epoch, ErrorKind, JobId, ShardId, TaskId, TimeMs,
    journal::{Attempt, Journal, JournalEffect, JournalOptions, Record},
    ownership::owner_key,
    table::{StoreFault, Transaction},
};
use support::Table;

const SHARD: ShardId = ShardId::new(1);

fn at(ms: u64) -> TimeMs {
    TimeMs::from_ms(ms)
}

fn cancelled(job: u64) -> Record {
    Record::JobCancelled { job: JobId::new(job) }
}

/// Returns a table with an owner row for the shard, and the row's version.
fn owned_table() -> (Table, u64) {
    let mut table = Table::default();
    let owner = Transaction::new("own").put(owner_key(SHARD), &1);
    table.commit(&owner);
    let version = table.version;
    (table, version)
}

fn journal(version: u64, options: JournalOptions) -> Journal {
    Journal::new(SHARD, Epoch::new(3), version, options)
}

/// Returns the transaction of the only effect, which must be a commit.
fn commit_of(effects: &[JournalEffect]) -> Transaction {
    match effects {
        [JournalEffect::Commit(transaction)] => transaction.clone(),
        _ => panic!("no single commit: {effects:?}"),
    }
}

#[test]
fn group_commit() {
    let (mut table, version) = owned_table();
    let mut journal = journal(version, JournalOptions::new());
    journal.append(cancelled(1));
    let first = commit_of(&journal.poll(at(0)));
    let ticket = journal.append(cancelled(2));
    let last = journal.append(cancelled(3));
    assert!(journal.poll(at(5)).is_empty(), "one segment is in flight");
    let answer = Ok(table.commit(&first));
    let effects = journal.on_commit(answer, 0.5, at(6));
    assert!(matches!(
        effects[..],
        [JournalEffect::Durable { through, .. }] if through < ticket
    ));
    assert!(journal.poll(at(59)).is_empty(), "segments are 60 ms apart");
    let second = commit_of(&journal.poll(at(60)));
    let answer = Ok(table.commit(&second));
    let effects = journal.on_commit(answer, 0.5, at(61));
    assert!(matches!(
        effects[..],
        [JournalEffect::Durable { through, .. }] if through == last
    ));
    assert!(journal.is_empty());
    assert_eq!(table.scan("segment/").len(), 2);
}

#[test]
fn lost_answer() {
    let (mut table, version) = owned_table();
    let mut journal = journal(version, JournalOptions::new());
    journal.append(cancelled(1));
    let first = commit_of(&journal.poll(at(0)));
    table.commit(&first);
    let effects = journal.on_commit(Err(StoreFault::Unknown), 0.5, at(9));
    assert!(effects.is_empty(), "the resend waits for its back-off");
    let due = journal.due_at(at(9)).unwrap();
    let again = commit_of(&journal.poll(due));
    assert_eq!(again, first);
    let effects = journal.on_commit(Ok(table.commit(&again)), 0.5, due);
    let [JournalEffect::Read(key)] = &effects[..] else {
        panic!("the row was not read: {effects:?}");
    };
    let effects = journal.on_read(Ok(table.read(key)), 0.5, due);
    assert!(matches!(effects[..], [JournalEffect::Durable { .. }]));
    assert_eq!(table.scan("segment/").len(), 1);
}

#[test]
fn fenced_owner() {
    let (mut table, version) = owned_table();
    let mut journal = journal(version, JournalOptions::new());
    journal.append(cancelled(1));
    let first = commit_of(&journal.poll(at(0)));
    journal.on_commit(Err(StoreFault::Unknown), 0.0, at(1));
    table.commit(&Transaction::new("next").put(owner_key(SHARD), &2));
    let again = Ok(table.commit(&first));
    let effects = journal.on_commit(again, 0.0, at(2));
    assert!(matches!(effects[..], [JournalEffect::Read(_)]));
    let effects = journal.on_read(Ok(None), 0.0, at(3));
    assert_eq!(effects, [JournalEffect::Fenced]);
    let refusal = journal.admit().unwrap_err();
    assert_eq!(refusal.kind(), ErrorKind::NotOwner);
}

#[test]
fn bounded_waiting_bytes() {
    let (_, version) = owned_table();
    let options = JournalOptions { waiting_bytes: 100, ..Default::default() };
    let mut journal = journal(version, options);
    journal.append(cancelled(1));
    journal.poll(at(0));
    for job in 0..20 {
        if journal.admit().is_err() {
            break;
        }
        journal.append(cancelled(job));
    }
    let refusal = journal.admit().unwrap_err();
    assert_eq!(refusal.kind(), ErrorKind::StoreUnavailable);
    assert!(journal.waiting_bytes() < 200);
}

#[test]
fn resend_backoff() {
    let (_, version) = owned_table();
    let mut journal = journal(version, JournalOptions::new());
    journal.append(cancelled(1));
    journal.poll(at(0));
    let mut now = at(0);
    let mut waits = Vec::new();
    for _ in 0..8 {
        journal.on_commit(Err(StoreFault::Unavailable), 0.999, now);
        let due = journal.due_at(now).unwrap();
        waits.push(due.ms_since(now));
        now = due;
        commit_of(&journal.poll(now));
    }
    insta::assert_snapshot!(format!("{waits:?}"),
        @"[49, 99, 199, 399, 799, 1598, 1998, 1998]");
}

/// Returns the number of rows that are written in 10 s for a rate of starts,
/// over a table that answers after 3 ms.
fn rows_for(starts_per_s: u64) -> u64 {
    let (mut table, version) = owned_table();
    let options = JournalOptions { flush_ms: 5, ..JournalOptions::new() };
    let mut journal = journal(version, options);
    let mut answer: Option<(u64, Transaction)> = None;
    let mut rows = 0;
    for now in 0..10_000 {
        for _ in
            0..(now + 1) * starts_per_s / 1_000 - now * starts_per_s / 1_000
        {
            let record = Record::TaskNotStarted {
                task: TaskId::new(JobId::new(now), 0),
                attempt: Attempt::default(),
            };
            journal.append(record);
        }
        let effects = match answer.take_if(|(due, _)| *due <= now) {
            Some((_, transaction)) => {
                let answer = Ok(table.commit(&transaction));
                journal.on_commit(answer, 0.0, at(now))
            }
            None => journal.poll(at(now)),
        };
        for effect in effects {
            if let JournalEffect::Commit(transaction) = effect {
                rows += 1;
                answer = Some((now + 3, transaction));
            }
        }
    }
    rows
}

#[test]
fn row_budget() {
    // Each of five shards has a fifth of 660 starts/s. The five together may
    // write 100 rows/s.
    let rows = rows_for(132);
    println!("{rows} rows in 10 s for {} starts", 132 * 10);
    assert!(rows * 5 <= 100 * 10);
}

#[test]
fn awaited_records() {
    let (mut table, version) = owned_table();
    let options = JournalOptions {
        flush_ms: 5,
        burst_segments: 0,
        ..JournalOptions::new()
    };
    let mut journal = journal(version, options);
    journal.append(cancelled(1));
    let first = commit_of(&journal.poll(at(0)));
    journal.on_commit(Ok(table.commit(&first)), 0.0, at(1));
    journal.append(Record::TaskNotStarted {
        task: TaskId::new(JobId::new(1), 0),
        attempt: Attempt::default(),
    });
    // Nobody waits for the record of a failed start, so it is held back. A
    // submitter waits for the accepted job, so both are sent at once.
    assert!(journal.poll(at(59)).is_empty());
    journal.append(support::accepted(JobId::new(2), true));
    let both = commit_of(&journal.poll(at(59)));
    assert!(both.writes[0].value.as_ref().unwrap().contains("accepted"));
}
