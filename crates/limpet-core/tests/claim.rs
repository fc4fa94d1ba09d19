//! Claims of idempotency keys: a non-idempotent request runs at most once, and
//! a repeated one gets the stored answer.

mod support;

use limpet_core::{
    ErrorKind, TimeMs,
    claim::{Claim, ClaimOutcome, ClaimRequest, ClaimStep, expired_prefixes},
    table::{StoreFault, Transaction},
};
use support::{Table, holder};

const DAY_MS: u64 = 86_400_000;
const NOON: TimeMs = TimeMs::from_ms(20_000 * DAY_MS + DAY_MS / 2);

fn request(body: &[u8]) -> ClaimRequest {
    let team = Some("vendors".parse().unwrap());
    ClaimRequest::new(team, "friday-7", &[b"POST", body])
}

/// Returns a new claim by the instance `name` and its first transaction.
fn start(name: &str, body: &[u8], wall_now: TimeMs) -> (Claim, Transaction) {
    let (claim, step) =
        Claim::new(request(body), holder(name), name, wall_now);
    let ClaimStep::Commit(transaction) = step else { panic!("{step:?}") };
    (claim, transaction)
}

/// Performs all steps of a claim on a table that answers every call.
fn run(
    claim: &mut Claim,
    mut step: ClaimStep,
    table: &mut Table,
) -> ClaimStep {
    loop {
        step = match step {
            ClaimStep::Commit(transaction) => {
                claim.on_commit(Ok(table.commit(&transaction)))
            }
            ClaimStep::Read(key) => claim.on_read(Ok(table.read(&key))),
            done => return done,
        }
    }
}

/// Claims the key for the instance `name`, and returns the claim and its last
/// step.
fn claim(
    name: &str,
    table: &mut Table,
    wall_now: TimeMs,
) -> (Claim, ClaimStep) {
    let (mut claim, first) = start(name, b"pay", wall_now);
    let step = run(&mut claim, ClaimStep::Commit(first), table);
    (claim, step)
}

fn refusal(step: &ClaimStep) -> ErrorKind {
    match step {
        ClaimStep::Refused(err) => err.kind(),
        other => panic!("not refused: {other:?}"),
    }
}

#[test]
fn second_attempt() {
    let mut table = Table::default();
    let (first, step) = claim("a", &mut table, NOON);
    assert_eq!(step, ClaimStep::Granted);
    let (_, step) = claim("b", &mut table, NOON);
    assert_eq!(refusal(&step), ErrorKind::ClaimPending);
    let outcome = ClaimOutcome::new(201, None, b"paid");
    table.commit(&first.finish(outcome.clone()).unwrap());
    let (_, step) = claim("b", &mut table, NOON);
    assert_eq!(step, ClaimStep::Replay(outcome));
}

#[test]
fn lost_answer() {
    let mut table = Table::default();
    let (mut first, transaction) = start("a", b"pay", NOON);
    table.commit(&transaction);
    let step = first.on_commit(Err(StoreFault::Unknown));
    assert_eq!(run(&mut first, step, &mut table), ClaimStep::Granted);
    let (_, step) = claim("b", &mut table, NOON);
    assert_eq!(refusal(&step), ErrorKind::ClaimPending);
}

#[test]
fn lost_race() {
    let mut table = Table::default();
    let (mut first, transaction) = start("a", b"pay", NOON);
    let step = first.on_commit(Err(StoreFault::Unknown));
    claim("b", &mut table, NOON);
    // The lost write arrives after the other claim and has no effect.
    table.commit(&transaction);
    let step = run(&mut first, step, &mut table);
    assert_eq!(refusal(&step), ErrorKind::ClaimPending);
    assert!(first.release().is_none());
}

#[test]
fn different_request() {
    let mut table = Table::default();
    claim("a", &mut table, NOON);
    let (mut other, first) = start("b", b"pay twice", NOON);
    let step = run(&mut other, ClaimStep::Commit(first), &mut table);
    assert_eq!(refusal(&step), ErrorKind::ClaimMismatch);
}

#[test]
fn released_claim() {
    let mut table = Table::default();
    let (first, _) = claim("a", &mut table, NOON);
    table.commit(&first.release().unwrap());
    let (_, step) = claim("b", &mut table, NOON);
    assert_eq!(step, ClaimStep::Granted);
}

#[test]
fn retry_across_midnight() {
    let mut table = Table::default();
    claim("a", &mut table, NOON);
    // A retry finds the claim if the clock of its instance is up to a day
    // ahead or behind.
    for skew in [DAY_MS, DAY_MS - 1] {
        let later = NOON.plus_ms(skew);
        let (_, step) = claim("b", &mut table, later);
        assert_eq!(refusal(&step), ErrorKind::ClaimPending);
        let earlier = TimeMs::from_ms(NOON.as_ms() - skew);
        let (_, step) = claim("b", &mut table, earlier);
        assert_eq!(refusal(&step), ErrorKind::ClaimPending);
    }
    // The claim counts as expired two days later, but not yet after one.
    let rows = |days: u64| {
        expired_prefixes(NOON.plus_ms(days * DAY_MS))
            .iter()
            .flat_map(|prefix| table.scan(prefix))
            .count()
    };
    assert_eq!((rows(1), rows(2)), (0, 1));
}
