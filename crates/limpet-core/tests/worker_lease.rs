//! When a worker's leases have certainly expired.

use limpet_core::{
    Epoch, TimeMs,
    ownership::{WorkerLease, WorkerLeaseOptions},
};

const OPTIONS: WorkerLeaseOptions = WorkerLeaseOptions {
    lease_ms: 1_000,
    margin_ms: 100,
    detached_ms: 5_000,
    suspect_ms: 300,
};

fn at(ms: u64) -> TimeMs {
    TimeMs::from_ms(ms)
}

#[test]
fn unreached_worker() {
    let lease = WorkerLease::new(OPTIONS, at(50));
    assert!(!lease.is_reached());
    // The lease, the margin and the time for detached tasks, 6100 ms in all,
    // count from the creation of the record at 50 ms.
    assert!(!lease.has_expired(at(6_149)));
    assert!(lease.has_expired(at(6_150)));
}

#[test]
fn counts_from_receipt() {
    let mut lease = WorkerLease::new(OPTIONS, at(0));
    let epoch = Epoch::new(2);
    lease.on_sent(at(10));
    assert!(lease.on_answer(epoch, epoch, 77, at(20)));
    assert_eq!(lease.stamp_ms(), Some(77));
    // A repeated answer or a late, older one doesn't extend the leases.
    assert!(lease.on_answer(epoch, epoch, 77, at(500)));
    assert!(lease.on_answer(epoch, epoch, 60, at(500)));
    // The lease and the margin, 1100 ms in all, count from the receipt of the
    // first answer at 20 ms.
    assert_eq!(lease.expires_at(), at(1_120));
}

#[test]
fn newer_owner() {
    let mut lease = WorkerLease::new(OPTIONS, at(0));
    assert!(!lease.on_answer(Epoch::new(2), Epoch::new(3), 77, at(20)));
    assert!(!lease.is_reached());
}

#[test]
fn overdue_answer() {
    let mut lease = WorkerLease::new(OPTIONS, at(0));
    lease.on_sent(at(10));
    lease.on_sent(at(250));
    // A worker is suspected 300 ms after the oldest unanswered request.
    assert!(!lease.is_suspected(at(309)));
    assert!(lease.is_suspected(at(310)));
    lease.on_answer(Epoch::new(1), Epoch::new(1), 5, at(320));
    assert!(!lease.is_suspected(at(900)));
}
