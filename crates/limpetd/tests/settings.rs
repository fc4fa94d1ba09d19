//! Settings are checked completely, and all faults are reported at once.

use insta::assert_snapshot;
use limpetd::Settings;

/// Returns the faults in a settings text, one on each line.
fn faults(text: &str) -> String {
    Settings::parse(text).unwrap_err().message().to_owned()
}

#[test]
fn empty_settings() {
    let settings = Settings::parse("").unwrap();
    assert_eq!(settings.instance.traffic_threads, 2);
    assert_eq!(settings.cell.data_centres.len(), 1);
}

#[test]
fn every_fault() {
    let text = r#"
        colour = "blue"
        [instance]
        http_address = "localhost"
        traffic_threads = 0
        [platform]
        kind = "cloud"
        [control]
        lease_ms = 300
        renew_ms = 250
        worker_lease_ms = -1
        [log]
        level = "loud"
        depth = 3
    "#;
    assert_snapshot!(faults(text), @r#"
    instance.http_address is "localhost", allowed is an IP address and port, as in 127.0.0.1:7070
    instance.traffic_threads is 0, allowed is 1 to 64
    platform.kind is "cloud", allowed is "embedded" or "http"
    control.worker_lease_ms is -1, allowed is 200 to 600000
    log.level is "loud", allowed is "trace", "debug", "info", "warning", "error" or "critical"
    log.depth is unknown, allowed is a key of the table in docs/OPERATIONS.md
    colour is unknown, allowed is a key of the table in docs/OPERATIONS.md
    control.lease_ms is 300, allowed is at least twice control.renew_ms, 500
    "#);
}

#[test]
fn foreign_data_centre() {
    let text = r#"
        [instance]
        data_centre = "patras"
        [cell]
        data_centres = ["athens", "volos"]
    "#;
    assert_snapshot!(
        faults(text),
        @"instance.data_centre is patras, allowed is one of cell.data_centres"
    );
}

#[test]
fn nested_faults() {
    let text = r#"
        [cell]
        data_centres = ["local"]
        operator_key = "no colon"
        teams = [{ name = "ro sters" }, { weight = 0, name = "ok" }, 3]
        queues = [{ name = "batch", policy = "magic", size = 1 }]
    "#;
    assert_snapshot!(faults(text), @r#"
    cell.operator_key is hidden, allowed is ID:SECRET
    cell.teams[2] is 3, allowed is a section
    cell.teams[0].name is "ro sters", allowed is a name
    cell.teams[1].weight is 0, allowed is 1 to 1000000
    cell.queues[0].policy is "magic", allowed is "service", "batch" or "gang"
    cell.queues[0].size is unknown, allowed is a key of the table in docs/OPERATIONS.md
    "#);
}

#[test]
fn hidden_key() {
    let text = "[cell]\noperator_key = \"boss:very-secret\"";
    let settings = Settings::parse(text).unwrap();
    let shown = settings.to_toml();
    assert!(!shown.contains("very-secret"), "{shown}");
    assert!(shown.contains("operator_key is set"), "{shown}");
}

#[test]
fn missing_names() {
    let text = "[cell]\nteams = [{ weight = 2 }]";
    assert_snapshot!(
        faults(text),
        @"cell.teams[0].name is missing, allowed is a name"
    );
}

#[test]
fn effective_settings() {
    let shown = Settings::parse("").unwrap().to_toml();
    let again: toml::Table = shown.parse().unwrap();
    assert!(again.contains_key("control"), "{shown}");
}

#[test]
fn broken_toml() {
    assert!(Settings::parse("[instance").is_err());
}
