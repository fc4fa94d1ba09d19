//! The directory in memory shows changes late and drops instances that don't
//! register again.

use limpet_core::{DataCentre, InstanceId, TimeMs};
use limpet_platform::{InstanceEntry, MemberState, embedded::MemoryDirectory};

fn entry(state: MemberState) -> InstanceEntry {
    InstanceEntry {
        instance: InstanceId::new("i-1").unwrap(),
        data_centre: DataCentre::new("local").unwrap(),
        link_address: "127.0.0.1:7000".to_owned(),
        state,
    }
}

fn states(directory: &MemoryDirectory, now_ms: u64) -> Vec<MemberState> {
    let listing = directory.list(TimeMs::from_ms(now_ms));
    listing.instances.iter().map(|entry| entry.state).collect()
}

#[test]
fn change_lags() {
    let mut directory = MemoryDirectory::new(100, 10_000);
    directory.register(entry(MemberState::Live), TimeMs::from_ms(500));
    directory.register(entry(MemberState::Leaving), TimeMs::from_ms(550));
    assert_eq!(states(&directory, 599), []);
    assert_eq!(states(&directory, 600), [MemberState::Live]);
    assert_eq!(states(&directory, 650), [MemberState::Leaving]);
}

#[test]
fn entry_expires() {
    let mut directory = MemoryDirectory::new(0, 1_000);
    directory.register(entry(MemberState::Live), TimeMs::from_ms(0));
    assert_eq!(states(&directory, 999).len(), 1);
    assert_eq!(states(&directory, 1_000).len(), 0);
    directory.register(entry(MemberState::Live), TimeMs::from_ms(1_500));
    assert_eq!(states(&directory, 2_000).len(), 1);
}
