//! Division of slots, connections and team limits among routers that don't
//! communicate.

use limpet_core::{
    ErrorKind, TeamName, TimeMs,
    routing::{RouterShare, TeamLimits, share_of},
};
use proptest::{prelude::*, test_runner::RngSeed};

const SETTLE_MS: u64 = 1_000;

fn at(ms: u64) -> TimeMs {
    TimeMs::from_ms(ms)
}

fn team() -> TeamName {
    TeamName::new("rosters").expect("a name")
}

/// Returns a configuration with a fixed seed, so that every run tests the
/// same cases.
fn cases() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn parts_sum_to_total(total in 0_u32..1_000, routers in 1_u32..40) {
        let sum: u32 =
            (0..routers).map(|rank| share_of(total, rank, routers)).sum();
        prop_assert_eq!(sum, total);
    }

    /// The sum of all parts never exceeds the limit while the number of
    /// routers changes and each router learns of it at a different time.
    #[test]
    fn limit_not_exceeded(
        limit in 0_u32..200,
        before in 1_u32..8,
        after in 1_u32..8,
        delays in prop::collection::vec(0_u64..SETTLE_MS, 8),
    ) {
        let start = at(10_000);
        let joined = |rank: u32| if rank < before { at(0) } else { start };
        let mut shares: Vec<RouterShare> = (0..before.max(after))
            .map(|rank| {
                let routers = if rank < before { before } else { after };
                RouterShare::new(rank, routers, SETTLE_MS, joined(rank))
            })
            .collect();
        for ms in (0..4 * SETTLE_MS).step_by(50) {
            let now = start.plus_ms(ms);
            let mut sum = 0;
            for (rank, share) in (0..).zip(&mut shares) {
                let informed = ms >= delays[rank as usize];
                let left = rank >= after && informed;
                if informed && rank < after {
                    share.update(rank, after, now);
                } else if rank < before {
                    share.update(rank, before, now);
                }
                if !left {
                    sum += share.part_of_limit(limit, now);
                }
            }
            prop_assert!(sum <= limit, "{sum} of {limit} after {ms} ms");
        }
    }
}

#[test]
fn connections_for_joiner() {
    let connections: u32 = (0..6)
        .map(|rank| {
            RouterShare::new(rank, 6, SETTLE_MS, at(0))
                .part_reserving_joiner(64)
        })
        .sum();
    let joiner = RouterShare::new(6, 7, SETTLE_MS, at(0));
    assert!(connections + joiner.part_reserving_joiner(64) <= 64);
}

#[test]
fn team_limit() {
    let share = RouterShare::new(0, 3, 0, at(0));
    let mut limits = TeamLimits::default();
    for _ in 0..4 {
        limits.begin(&team(), 10, &share, at(0)).expect("within the part");
    }
    let err = limits.begin(&team(), 10, &share, at(0)).expect_err("full");
    assert_eq!(err.kind(), ErrorKind::TeamLimit);
    limits.end(&team());
    limits.begin(&team(), 10, &share, at(0)).expect("a request has ended");
}
