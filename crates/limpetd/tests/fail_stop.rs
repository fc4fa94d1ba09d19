//! A panic on the control thread ends the process; one elsewhere doesn't.

use std::{
    env, panic,
    process::{Command, Output},
    thread,
};

/// Set for the process that is to panic, to the thread that does.
const PANIC_IN: &str = "LIMPETD_TEST_PANIC_IN";

fn run_self(test: &str, panic_in: &str) -> Output {
    Command::new(env::current_exe().unwrap())
        .args(["--exact", test, "--nocapture"])
        .env(PANIC_IN, panic_in)
        .output()
        .unwrap()
}

fn panic_quietly() {
    let caught = panic::catch_unwind(|| panic!("as the test asks"));
    assert!(caught.is_err());
}

#[test]
fn control_panics() {
    if env::var(PANIC_IN).is_ok() {
        limpetd::abort_on_panic_in_this_thread();
        // A runtime catches the panics of its tasks, as this does.
        panic_quietly();
        return;
    }
    let output = run_self("control_panics", "control");
    assert_eq!(output.status.code(), None, "it was ended by a signal");
}

#[test]
fn traffic_panics() {
    if env::var(PANIC_IN).is_ok() {
        limpetd::abort_on_panic_in_this_thread();
        thread::spawn(panic_quietly).join().unwrap();
        return;
    }
    let output = run_self("traffic_panics", "traffic");
    assert!(output.status.success(), "{output:?}");
}
