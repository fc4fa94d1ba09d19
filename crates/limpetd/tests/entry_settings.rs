//! The sizes of an entry instance in its settings are checked, and optional.

use limpet_entry::EntrySettings;

/// Returns a settings text with further lines on the instance.
fn text(lines: &str) -> String {
    format!(
        r#"
        [instance]
        name = "entry-1"
        data_centre = "z1"
        front_address = "127.0.0.1:1"
        ready_address = "127.0.0.1:2"
        link_address = "127.0.0.1:3"
        metrics_address = "127.0.0.1:4"
        shutdown_s = 6
        {lines}
        [store]
        address = "127.0.0.1:5"
        [bounds]
        key_freshness_ms = 5000
        hold_ms = 6000
        status_kept_s = 120
        "#
    )
}

/// Returns the capacity of an instance with these lines.
fn capacity_milli(lines: &str) -> u64 {
    let settings = EntrySettings::from_toml(&text(lines)).unwrap();
    settings.instance.capacity_milli()
}

/// Returns the message about these lines.
fn fault(lines: &str) -> String {
    EntrySettings::from_toml(&text(lines)).unwrap_err().message().to_owned()
}

/// Settings of earlier versions have no sizes.
#[test]
fn sizes_missing() {
    assert_eq!(capacity_milli(""), 1_000);
}

/// The scarcer of processor and link decides.
#[test]
fn scarcer_size() {
    let lines = "cpu_share = 0.5\ncores = 2\nlink_mbps = 1000.0";
    assert_eq!(capacity_milli(lines), 1_000);
    assert_eq!(capacity_milli("cpu_share = 0.12\nlink_mbps = 10"), 100);
    assert_eq!(capacity_milli("cpu_share = 0.12\nlink_mbps = 200"), 120);
}

/// A faulty size must not start an instance.
#[test]
fn sizes_invalid() {
    assert_eq!(
        fault("cpu_share = 0"),
        "instance.cpu_share is 0; it must be 0.001 to 64"
    );
    assert_eq!(
        fault("cores = -1.5"),
        "instance.cores is -1.5; it must be 0.001 to 1024"
    );
    assert_eq!(
        fault("link_mbps = nan"),
        "instance.link_mbps is NaN; it must be 0.1 to 1000000"
    );
}

/// Returns the bound on evacuations, or the message about it, with this line
/// at the end of the settings.
fn evacuate_ms(line: &str) -> Result<Option<u64>, String> {
    EntrySettings::from_toml(&(text("") + line))
        .map(|settings| settings.bounds.evacuate_ms)
        .map_err(|err| err.message().to_owned())
}

/// Guards against deployments without a bound on evacuations that don't start,
/// and against a bound below what the feed can keep.
#[test]
fn evacuation_bound() {
    assert_eq!(evacuate_ms(""), Ok(None));
    assert_eq!(evacuate_ms("evacuate_ms = 5000"), Ok(Some(5_000)));
    assert_eq!(
        evacuate_ms("evacuate_ms = 100").unwrap_err(),
        "bounds.evacuate_ms is 100; it must be 2000 to 3600000"
    );
}

/// Guards against a part that is enabled where the settings don't ask for it.
#[test]
fn keep_apart() {
    let read = |lines: &str| {
        let text = format!("{}\n{lines}", text(""));
        EntrySettings::from_toml(&text).unwrap().scheduling.keep_apart
    };
    assert!(!read(""));
    assert!(!read("[scheduling]"));
    assert!(read("[scheduling]\nkeep_apart = true"));
}
