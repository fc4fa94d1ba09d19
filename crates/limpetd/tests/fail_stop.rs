//! A panic of the control thread aborts the process; a panic of another thread
//! doesn't.
//!
//! Each test runs its own executable again as a child process that panics.

use std::{
    env, panic,
    process::{Command, Output},
    thread,
};

/// Set in the child process, to the thread that is to panic.
const PANIC_IN: &str = "LIMPETD_TEST_PANIC_IN";

/// Runs a test of this executable as the child process.
fn run_self(test: &str, panic_in: &str) -> Output {
    Command::new(env::current_exe().unwrap())
        .args(["--exact", test, "--nocapture"])
        .env(PANIC_IN, panic_in)
        .output()
        .unwrap()
}

/// Panics and catches the panic, as a runtime does for its tasks.
fn panic_quietly() {
    let caught = panic::catch_unwind(|| panic!("intended by the test"));
    assert!(caught.is_err());
}

#[test]
fn control_panics() {
    if env::var(PANIC_IN).is_ok() {
        limpetd::abort_on_panic_in_this_thread();
        panic_quietly();
        return;
    }
    let output = run_self("control_panics", "control");
    assert_eq!(output.status.code(), None, "a signal ended it");
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
