//! The choice of a runner for a request.

use limpet_core::{
    DataCentre, EndpointId, TimeMs,
    routing::{
        ChoiceReason, EndpointSpec, Outcome, Router, RouterOptions,
        RouterShare, SlotPolicy,
    },
};

const POLICIES: [SlotPolicy; 3] = [
    SlotPolicy::Credits,
    SlotPolicy::TwoChoices,
    SlotPolicy::CreditsThenBorrow,
];

fn name(index: usize) -> EndpointId {
    EndpointId::new(&format!("r{index}")).expect("a name")
}

fn data_centre(text: &str) -> DataCentre {
    DataCentre::new(text).expect("a name")
}

fn spec(index: usize, centre: &str) -> EndpointSpec {
    EndpointSpec {
        endpoint: name(index),
        data_centre: data_centre(centre),
        slots: 8,
        connections: 64,
    }
}

fn at(ms: u64) -> TimeMs {
    TimeMs::from_ms(ms)
}

/// Returns the first of `routers` routers, with `local` runners in its own
/// data centre and `remote` runners in another one.
fn router(
    policy: SlotPolicy,
    routers: u32,
    local: usize,
    remote: usize,
) -> Router {
    let mut router = Router::new(RouterOptions {
        policy,
        data_centre: data_centre("athens"),
        hop_ms: 1.0,
    });
    let share = RouterShare::new(0, routers, 0, at(0));
    router.sync(&specs(local, remote), &share, at(0));
    router
}

fn specs(local: usize, remote: usize) -> Vec<EndpointSpec> {
    let local_specs = (0..local).map(|index| spec(index, "athens"));
    let remote_specs =
        (local..local + remote).map(|index| spec(index, "patras"));
    local_specs.chain(remote_specs).collect()
}

/// Sends as many requests as the router finds runners for. Returns for each
/// the runner, the reason, and whether it is in another data centre.
fn fill(
    router: &mut Router,
    now: TimeMs,
) -> Vec<(EndpointId, ChoiceReason, bool)> {
    let mut choices = Vec::new();
    // With the policy of two choices, a draw may miss the last free slots.
    for draw in 0..10_000_u64 {
        let draw = draw.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let Some(choice) = router.choose(&[], 0, draw, now) else { continue };
        router.begin(&choice.endpoint, now);
        choices.push((choice.endpoint, choice.reason, choice.spilled));
    }
    choices
}

fn answered(latency_ms: u64, load: u32) -> Outcome {
    Outcome::Answered { latency_ms, load: Some(load) }
}

#[test]
fn slots_not_exceeded() {
    for policy in POLICIES {
        let mut router = router(policy, 1, 4, 0);
        assert_eq!(fill(&mut router, at(0)).len(), 32, "{policy:?}");
        for state in router.endpoints() {
            assert_eq!(state.in_flight(), 8);
        }
    }
}

#[test]
fn credits_divided() {
    let mut given = 0;
    for rank in 0..7 {
        let mut router = Router::new(RouterOptions {
            policy: SlotPolicy::Credits,
            data_centre: data_centre("athens"),
            hop_ms: 1.0,
        });
        let share = RouterShare::new(rank, 7, 0, at(0));
        router.sync(&specs(50, 0), &share, at(0));
        let own = fill(&mut router, at(0)).len();
        assert!((57..=58).contains(&own), "rank {rank} has {own}");
        given += own;
    }
    assert_eq!(given, 400);
}

#[test]
fn borrowed_slots() {
    let mut router = router(SlotPolicy::CreditsThenBorrow, 7, 1, 0);
    let own = router.choose(&[], 0, 0, at(0)).expect("a credit");
    assert_eq!(own.reason, ChoiceReason::Credit);
    let choices = fill(&mut router, at(0));
    assert!(
        choices.iter().any(|(_, reason, _)| *reason == ChoiceReason::Borrowed)
    );
    router.finish(&name(0), answered(10, 8), at(10));
    let full = router.choose(&[], 0, 0, at(11));
    assert_eq!(full, None, "the runner reported all slots in use");
}

#[test]
fn local_runners_first() {
    for policy in POLICIES {
        let mut router = router(policy, 1, 2, 2);
        let choices = fill(&mut router, at(0));
        assert!(!choices[0].2, "{policy:?}");
        let spilled = choices.iter().filter(|(_, _, remote)| *remote).count();
        assert_eq!(spilled, 16, "{policy:?} uses remote slots when full");
    }
}

#[test]
fn spill_when_faster() {
    let mut router = router(SlotPolicy::Credits, 1, 1, 1);
    for index in 0..8 {
        router.begin(&name(0), at(0));
        if index < 4 {
            router.finish(&name(0), answered(2, 0), at(2));
        }
    }
    for _ in 0..4 {
        router.begin(&name(0), at(2));
    }
    // With eight requests of 2 ms in flight, a local slot comes free after
    // 0.25 ms on average. The round trip of 2 ms is longer.
    assert_eq!(router.choose(&[], 0, 0, at(3)), None);
    // With 20 requests queued already, the round trip is shorter.
    let choice = router.choose(&[], 20, 0, at(3)).expect("a remote runner");
    assert!(choice.spilled);
}

#[test]
fn local_runners_unreachable() {
    let mut router = router(SlotPolicy::CreditsThenBorrow, 1, 2, 2);
    for index in 0..2 {
        router.begin(&name(index), at(0));
        router.finish(&name(index), Outcome::Unreachable, at(0));
    }
    let choice = router.choose(&[], 0, 3, at(1)).expect("a remote runner");
    assert!(choice.spilled);
    let later = router.choose(&[], 0, 3, at(1_001)).expect("a local runner");
    assert!(!later.spilled, "a local runner is tried again");
}

#[test]
fn probation() {
    let mut router = router(SlotPolicy::Credits, 1, 1, 0);
    for _ in 0..3 {
        router.begin(&name(0), at(0));
        router.finish(&name(0), Outcome::Failed, at(0));
    }
    assert!(!router.accepts_requests(&[], at(999)));
    assert_eq!(
        fill(&mut router, at(1_000)).len(),
        1,
        "one request while on probation"
    );
    for _ in 0..3 {
        router.finish(&name(0), answered(5, 0), at(1_010));
        router.begin(&name(0), at(1_010));
    }
    assert!(fill(&mut router, at(1_010)).len() > 1);
}

#[test]
fn service_wide_fault() {
    let mut router = router(SlotPolicy::Credits, 1, 4, 0);
    for round in 0..40 {
        let runner = name(round % 4);
        router.begin(&runner, at(0));
        router.finish(&runner, Outcome::Faulty { latency_ms: 5 }, at(0));
    }
    assert!(
        router
            .endpoints()
            .iter()
            .filter(|state| state.accepts_requests(at(1)))
            .count()
            >= 3,
        "a fault that all runners show ejects at most one"
    );
}

#[test]
fn stalled_runner() {
    let mut router = router(SlotPolicy::Credits, 1, 2, 0);
    for index in 0..2 {
        router.begin(&name(index), at(0));
    }
    router.finish(&name(1), answered(10, 0), at(10));
    router.begin(&name(1), at(900));
    for draw in 0..50 {
        let choice = router.choose(&[], 0, draw, at(901)).expect("a runner");
        assert_eq!(choice.endpoint, name(1), "the other runner is stalled");
    }
}

#[test]
fn slow_start() {
    let mut router = router(SlotPolicy::Credits, 1, 1, 0);
    let share = RouterShare::new(0, 1, 0, at(0));
    router.sync(&specs(2, 0), &share, at(0));
    let cold = fill(&mut router, at(0));
    let new = cold.iter().filter(|(runner, _, _)| *runner == name(1)).count();
    assert_eq!(new, 2, "a quarter of its slots at first");
    let warm = fill(&mut router, at(10_000));
    assert_eq!(warm.len(), 6, "the rest of its eight slots after 10 s");
}

#[test]
fn leaving_runner() {
    let mut router = router(SlotPolicy::Credits, 1, 2, 0);
    let leaving = router.get_mut(&name(0)).expect("listed");
    leaving.mark_leaving(at(0));
    let suspect = router.get_mut(&name(1)).expect("listed");
    suspect.mark_suspected();
    assert!(!router.accepts_requests(&[], at(1)));
    let suspect = router.get_mut(&name(1)).expect("listed");
    suspect.record_probe(true, at(2));
    let choice = router.choose(&[], 0, 0, at(2)).expect("a runner");
    assert_eq!(choice.endpoint, name(1));
}

#[test]
fn refusing_runners() {
    let mut router = router(SlotPolicy::TwoChoices, 7, 2, 0);
    for _ in 0..20 {
        for index in 0..2 {
            router.begin(&name(index), at(0));
            router.finish(&name(index), Outcome::Refused, at(0));
        }
    }
    assert!(router.all_refuse(at(1)));
    assert_eq!(router.choose(&[], 0, 0, at(1)), None);
    assert!(router.choose(&[], 0, 0, at(1_001)).is_some(), "tried again");
}
