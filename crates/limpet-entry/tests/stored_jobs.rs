//! The phase of a job by its rows, as an instance without an owner shows it.

use std::slice;

use limpet_entry::{ProgressRecord, ProgressStamp, StoredJob};
use limpet_workflow::{JobPhase, JobProgress};

/// The version of the job's row.
const VERSION: u64 = 20;

fn stored(version: u64, cancel_version: u64) -> StoredJob {
    StoredJob { version, cancel_version, cancel_request: 0 }
}

/// Returns progress of a submission, by the version of its row.
fn ended(submission: u64, phase: JobPhase) -> ProgressRecord {
    let stamp = ProgressStamp { submission, ..ProgressStamp::default() };
    ProgressRecord { stamp, progress: JobProgress::ended(phase) }
}

/// Guards against a cancelled job that is shown as queued until its owner has
/// read both rows, and against a job that is shown as cancelled although it
/// may be completed.
#[test]
fn cancellation_without_owner() {
    assert_eq!(stored(0, 0).phase(&[]), None);
    assert_eq!(stored(0, 5).phase(&[]), None);
    assert_eq!(stored(VERSION, 0).phase(&[]), Some(JobPhase::Queued));
    assert_eq!(
        stored(VERSION, VERSION - 1).phase(&[]),
        Some(JobPhase::Cancelled)
    );
    assert_eq!(
        stored(VERSION, VERSION + 1).phase(&[]),
        Some(JobPhase::Queued)
    );
}

/// Guards against a job that is shown as completed by the progress of an
/// earlier submission, or of an expired one.
#[test]
fn progress_of_earlier_submission() {
    let earlier = ended(VERSION - 1, JobPhase::Completed);
    let own = ended(VERSION, JobPhase::Failed);
    // Versions before the stamp had a submission.
    let unstamped = ended(0, JobPhase::Completed);
    let phase = |records: &[ProgressRecord]| stored(VERSION, 0).phase(records);
    assert_eq!(phase(slice::from_ref(&earlier)), Some(JobPhase::Queued));
    assert_eq!(phase(&[earlier.clone(), own]), Some(JobPhase::Failed));
    assert_eq!(phase(&[unstamped]), Some(JobPhase::Completed));
    assert_eq!(stored(0, 0).phase(&[earlier]), None);
}
