//! Each checker of an invariant of requests detects a violation.

use limpet_core::{
    EndpointId, TimeMs,
    check::{
        AtMostOnceCheck, CompleteAnswerCheck, GracefulShutdownCheck,
        LeavingEndpointCheck, NotRunCheck, RequestEnd,
    },
};

#[test]
fn complete_answer() {
    let mut check = CompleteAnswerCheck::default();
    check.record_request("a", b"aaaa");
    check.record_request("b", b"bbbb");
    assert!(check.record_answer("a", b"aaaa").is_ok());
    assert!(check.record_answer("a", b"bbbb").is_err());
    assert!(check.record_answer("b", b"bb").is_err());
    assert!(check.record_answer("c", b"").is_err());
    assert_eq!(check.complete(), 1);
}

#[test]
fn not_run() {
    let mut check = NotRunCheck::default();
    assert!(check.record_run("a").is_ok());
    assert!(check.record_refusal("b").is_ok());
    assert!(check.record_run("b").is_err());
    assert!(check.record_refusal("a").is_err());
}

#[test]
fn at_most_once() {
    let mut check = AtMostOnceCheck::default();
    assert!(check.record_run("a").is_ok());
    assert!(check.record_run("b").is_ok());
    let violation = check.record_run("a").expect_err("ran twice");
    insta::assert_snapshot!(
        violation,
        @"non-idempotent request at most once broken: request a ran 2 times"
    );
}

#[test]
fn leaving_endpoint() {
    let mut check = LeavingEndpointCheck::default();
    let runner = EndpointId::new("r1").expect("a name");
    let at = TimeMs::from_ms;
    assert!(check.record_request(&runner, at(9_000)).is_ok());
    check.record_evidence(&runner, at(10_000));
    check.record_evidence(&runner, at(11_000));
    assert!(check.record_request(&runner, at(12_000)).is_ok());
    assert!(check.record_request(&runner, at(12_001)).is_err());
    check.record_return(&runner);
    assert!(check.record_request(&runner, at(13_000)).is_ok());
}

#[test]
fn graceful_shutdown() {
    let mut check = GracefulShutdownCheck::default();
    check.record_request("a");
    check.record_shutdown();
    check.record_request("b");
    assert!(check.record_end("a", RequestEnd::Complete).is_ok());
    assert!(check.record_end("b", RequestEnd::Truncated).is_err());
    assert!(check.record_exit().is_ok());
    check.record_request("c");
    assert!(check.record_exit().is_err());
}
