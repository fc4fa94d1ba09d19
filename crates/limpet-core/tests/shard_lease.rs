//! Ownership of a shard by leases in the table.

mod support;

use limpet_core::{
    Epoch, ShardId, TimeMs,
    ownership::{
        LeaseEffect, LeaseEvent, LeaseOptions, ShardLease, Takeover,
        lease_key, owner_key,
    },
    table::{StoreFault, Transaction},
};
use support::{Table, holder};

const SHARD: ShardId = ShardId::new(1);

fn at(ms: u64) -> TimeMs {
    TimeMs::from_ms(ms)
}

/// Returns an instance's lease with a duration of 1000 ms and a margin of
/// 100 ms, which is renewed every 300 ms.
fn candidate(name: &str) -> ShardLease {
    let options =
        LeaseOptions::new().lease_ms(1_000).margin_ms(100).renew_ms(300);
    ShardLease::new(SHARD, holder(name), options)
}

fn observe(
    lease: &mut ShardLease,
    table: &Table,
    now: u64,
) -> Vec<LeaseEffect> {
    let event = LeaseEvent::Observed {
        owner: table.read(&owner_key(SHARD)),
        lease: table.read(&lease_key(SHARD)),
    };
    lease.handle(event, at(now)).unwrap()
}

/// Returns the transaction that the lease wants to commit at `now`, if any.
fn tick(lease: &mut ShardLease, now: u64) -> Option<Transaction> {
    let takeover = Takeover { extra_wait_ms: 0, fence: None };
    let event = LeaseEvent::Tick { takeover: Some(takeover) };
    let effects = lease.handle(event, at(now)).unwrap();
    effects.into_iter().find_map(|effect| match effect {
        LeaseEffect::Commit(transaction) => Some(transaction),
        _ => None,
    })
}

/// Commits the transaction that is due at `sent` and delivers its answer at
/// `answered` (both in ms).
fn commit(
    lease: &mut ShardLease,
    table: &mut Table,
    sent: u64,
    answered: u64,
) -> Vec<LeaseEffect> {
    let transaction = tick(lease, sent).expect("a transaction is due");
    let answer = table.commit(&transaction);
    let event = LeaseEvent::Committed(Ok(answer));
    lease.handle(event, at(answered)).unwrap()
}

/// Returns the lease of `a`, which acquired the shard with a commit sent at
/// 10 ms.
fn owner(table: &mut Table) -> ShardLease {
    let mut lease = candidate("a");
    observe(&mut lease, table, 0);
    let effects = commit(&mut lease, table, 10, 15);
    assert!(matches!(effects[..], [LeaseEffect::Acquired { .. }]));
    lease
}

#[test]
fn lease_counts_from_sending() {
    let lease = owner(&mut Table::default());
    assert!(lease.may_act(at(1_009)));
    assert!(!lease.may_act(at(1_010)));
}

#[test]
fn renewal_extends_lease() {
    let mut table = Table::default();
    let mut lease = owner(&mut table);
    assert!(tick(&mut lease, 100).is_none());
    commit(&mut lease, &mut table, 400, 405);
    assert!(lease.may_act(at(1_399)));
    assert!(!lease.may_act(at(1_400)));
}

#[test]
fn takeover_waits() {
    let mut table = Table::default();
    let mut old = owner(&mut table);
    let mut new = candidate("b");
    // The candidate waits for the lease and the margin, 1100 ms in all, and
    // starts anew when it observes a renewal.
    observe(&mut new, &table, 20);
    assert!(tick(&mut new, 1_119).is_none());
    commit(&mut old, &mut table, 1_000, 1_001);
    observe(&mut new, &table, 1_119);
    assert!(tick(&mut new, 2_218).is_none());
    let effects = commit(&mut new, &mut table, 2_219, 2_220);
    let [LeaseEffect::Acquired { epoch, .. }] = effects[..] else {
        panic!("not acquired: {effects:?}");
    };
    assert_eq!(epoch, Epoch::new(2));
    let effects = observe(&mut old, &table, 2_300);
    assert_eq!(effects, [LeaseEffect::Lost { epoch: Epoch::new(1) }]);
}

#[test]
fn fenced_renewal() {
    let mut table = Table::default();
    let mut old = owner(&mut table);
    let renewal = tick(&mut old, 500).unwrap();
    let mut new = candidate("b");
    observe(&mut new, &table, 501);
    commit(&mut new, &mut table, 1_700, 1_701);
    let answer = table.commit(&renewal);
    let event = LeaseEvent::Committed(Ok(answer));
    let effects = old.handle(event, at(1_702)).unwrap();
    assert_eq!(effects, [LeaseEffect::Lost { epoch: Epoch::new(1) }]);
    assert!(!old.may_act(at(1_702)));
}

#[test]
fn lost_answer() {
    // The commit takes effect, but its answer is lost. Reading the row shows
    // the acquisition, but not how long the lease is valid.
    let mut table = Table::default();
    let mut lease = candidate("a");
    observe(&mut lease, &table, 0);
    let transaction = tick(&mut lease, 1).unwrap();
    table.commit(&transaction);
    let event = LeaseEvent::Committed(Err(StoreFault::Unknown));
    assert!(lease.handle(event, at(500)).unwrap().is_empty());
    let effects = observe(&mut lease, &table, 600);
    assert!(matches!(effects[..], [LeaseEffect::Acquired { .. }]));
    assert!(!lease.may_act(at(600)), "no renewal has been confirmed");
    commit(&mut lease, &mut table, 601, 602);
    assert!(lease.may_act(at(1_600)));
}

#[test]
fn release() {
    let mut table = Table::default();
    let mut old = owner(&mut table);
    let before =
        (table.read(&owner_key(SHARD)), table.read(&lease_key(SHARD)));
    old.handle(LeaseEvent::Release, at(100)).unwrap();
    assert!(!old.may_act(at(100)));
    let effects = commit(&mut old, &mut table, 101, 102);
    assert_eq!(effects, [LeaseEffect::Lost { epoch: Epoch::new(1) }]);
    let (owner, lease) = before;
    // Rows that were read before the release don't restore the ownership.
    let late = LeaseEvent::Observed { owner, lease };
    assert!(old.handle(late, at(103)).unwrap().is_empty());
    let mut new = candidate("b");
    observe(&mut new, &table, 110);
    commit(&mut new, &mut table, 110, 111);
    assert_eq!(new.epoch(), Some(Epoch::new(2)));
}

#[test]
fn grants_extend_lease() {
    let mut lease = owner(&mut Table::default());
    let grant = |epoch| LeaseEvent::PeersGranted {
        epoch: Epoch::new(epoch),
        until: at(5_000),
    };
    lease.handle(grant(2), at(900)).unwrap();
    assert!(!lease.may_act(at(1_010)), "the grant was for another epoch");
    lease.handle(grant(1), at(900)).unwrap();
    assert!(lease.may_act(at(4_999)));
    assert!(!lease.may_act(at(5_000)));
}
