//! A record tells whether its value meets its bound, also in its JSON form.

use limpet_bench::Record;

#[test]
fn bound_met() {
    let record = |value| Record::new("path", "submit", "p99", value, "ms");
    assert!(record(1.0).ok);
    assert!(record(1.0).at_most(1.0).ok);
    assert!(!record(1.1).at_most(1.0).ok);
    assert!(!record(0.9).at_least(1.0).ok);
    assert!(!record(f64::NAN).at_most(1.0).ok);
}

#[test]
fn json_round_trip() {
    let record = Record::new("path", "submit", "p99", 2.5, "ms").at_most(20.0);
    let line = serde_json::to_string(&record).unwrap();
    let back: Record = serde_json::from_str(&line).unwrap();
    assert_eq!(back, record);
    assert!(line.contains(r#""bound":{"at_most":20.0},"ok":true"#), "{line}");
}
