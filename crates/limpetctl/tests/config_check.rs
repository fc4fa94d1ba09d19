//! Runs `limpetctl config check` without a daemon.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use insta::assert_snapshot;
use serde_json::Value;

const SOUND: &str = "examples/platform-config.json";
const FAULTY: &str = "examples/platform-config-faulty.json";

struct Outcome {
    code: i32,
    out: String,
    err: String,
}

/// Runs the check from the root of the repository, with an address and a key
/// file that don't exist, since it has to work without them.
fn check(arguments: &[&str]) -> Outcome {
    let output = Command::new(env!("CARGO_BIN_EXE_limpetctl"))
        .args(["config", "check"])
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .env("LIMPET_ADDRESS", "127.0.0.1:9")
        .env("LIMPET_KEY_FILE", "/nowhere/operator.key")
        .env("COLUMNS", "100")
        .output()
        .expect("limpetctl starts");
    let text = |bytes| String::from_utf8(bytes).expect("output in UTF-8");
    Outcome {
        code: output.status.code().expect("an exit, not a signal"),
        out: text(output.stdout),
        err: text(output.stderr),
    }
}

/// Writes a copy of the sound example with a part replaced.
fn write_replaced(name: &str, from: &str, to: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = fs::read_to_string(root.join(SOUND)).unwrap();
    assert!(text.contains(from), "{SOUND} lacks {from}");
    let file = format!("limpetctl-{name}-{}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    fs::write(&path, text.replacen(from, to, 1)).unwrap();
    path
}

/// Scripts tell clean, doubtful and unusable configurations apart by the exit
/// status alone.
#[test]
fn exit_status() {
    assert_eq!(check(&[SOUND]).code, 0);
    let doubtful = write_replaced("doubtful", "64000", "999");
    assert_eq!(check(&[doubtful.to_str().unwrap()]).code, 1);
    assert_eq!(check(&[FAULTY]).code, 2);
    let older = write_replaced("older", "\"version\": 7", "\"version\": 6");
    let older = older.to_str().unwrap();
    assert_eq!(check(&[SOUND, "--against", older]).code, 0);
    assert_eq!(check(&[older, "--against", SOUND]).code, 2);
    assert_eq!(check(&["examples/one-node.toml"]).code, 2);
    assert_eq!(check(&["/nowhere/config.json"]).code, 2);
    assert_eq!(check(&[SOUND, "--against", "/nowhere/config.json"]).code, 2);
    assert_eq!(check(&[SOUND, "--against", "examples/one-node.toml"]).code, 2);
    assert_eq!(check(&[]).code, 2);
}

#[test]
fn findings_as_text() {
    let outcome = check(&[FAULTY]);
    assert_eq!(outcome.err, "");
    assert_snapshot!(outcome.out, @"
    error: route 1 `web`, path_prefix: `jobs.example/web` also selects `previews` (entry 2), which gets all requests; must be unique
    error: route 1 `web`, max_attempts: 0; must be at least 1
    error: route 1 `web`, advice.valid_ms: 50 ms; must be above the 80 ms that a request about 30 workers takes
    error: route 2 `previews`, service: no service `preview` is configured
    warning: service 2 `batch`, name: nothing is sent to `batch`
    warning: tenant 1 `rosters`, upper_limit.cpu: 500 thousandths of a core; must be 0 for no limit, or at least 1000
    errors: 4, warnings: 2
    ");
}

#[test]
fn undecodable_text() {
    assert_snapshot!(check(&["examples/one-node.toml"]).out, @"
    error: configuration: line 1, column 1: expected value
    errors: 1, warnings: 0
    ");
    let outcome = check(&[SOUND, "--against", "examples/one-node.toml"]);
    assert_snapshot!(outcome.err, @"cannot decode configuration examples/one-node.toml: line 1, column 1: expected value");
}

/// Guards against output for programs that isn't one object a line, or lacks
/// the place of a finding or the values of a difference.
#[test]
fn output_as_json() {
    let outcome = check(&["--against", SOUND, FAULTY, "--output", "json"]);
    let rows: Vec<Value> = outcome
        .out
        .lines()
        .map(|line| serde_json::from_str(line).expect("an object"))
        .collect();
    let with = |key: &str, value: &str| {
        let row = rows.iter().find(|row| row[key] == value);
        row.unwrap_or_else(|| panic!("no row with {key} {value}"))
    };
    let zero = with("finding", "zero_attempts");
    assert_snapshot!(zero, @r#"{"entry":"route","field":"max_attempts","finding":"zero_attempts","message":"0; must be at least 1","name":"web","position":1,"severity":"error"}"#);
    let weight = with("field", "upper_limit.cpu");
    assert_eq!(weight["severity"], "warning");
    let changed = with("before", "64000");
    assert_snapshot!(changed, @r#"{"after":"500","before":"64000","change":"changed","entry":"tenant","field":"upper_limit.cpu","name":"rosters"}"#);
}

/// Guards against API keys in any output.
#[test]
fn keys_are_not_shown() {
    for format in ["table", "json"] {
        let outcome = check(&[FAULTY, "--against", SOUND, "--output", format]);
        assert!(outcome.out.contains("2 (2 added, 1 removed)"));
        assert!(!outcome.out.contains("rosters-key"), "{}", outcome.out);
    }
}

/// Guards against names that move the cursor or split a line on a terminal,
/// in findings and in differences.
#[test]
fn control_characters_in_names() {
    let name = r#""name": "nightly""#;
    let replaced = r#""name": "a\u001b[2J\nb", "max_attempts": 0"#;
    let path = write_replaced("control", name, replaced);
    for format in ["table", "json"] {
        let path = path.to_str().unwrap();
        let outcome = check(&[path, "--against", SOUND, "--output", format]);
        assert_eq!(outcome.code, 2);
        assert!(outcome.out.contains("[2J"), "{:?}", outcome.out);
        assert!(!outcome.out.contains('\u{1b}'), "{:?}", outcome.out);
    }
}
