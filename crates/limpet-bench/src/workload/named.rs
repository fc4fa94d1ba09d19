use limpet_core::{
    DataCentre, QueueName, Rack, Resources, TeamName, WorkerId,
    config::{QueueConfig, QueuePolicy},
    scheduler::{Event, WorkerShape},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, FaultKind, Stream, WorkClass, Workload};

/// A minute.
const MINUTE_MS: u64 = 60_000;
/// What a worker of today holds.
const HELD: Resources = Resources::new(16_000, 65_536, 0);

/// Returns the evening of the study circles: batches fill 50 workers in
/// three data centres when the members enrol.
pub fn koinonia(seed: u64) -> Workload {
    let peak = 8 * MINUTE_MS..20 * MINUTE_MS;
    let to_ms = 24 * MINUTE_MS;
    let streams = vec![
        enrolment("enrolment", &peak, 25.0),
        service("sign-up", 60),
        batch("rosters", to_ms, 0.5, 45_000),
        batch("seats", to_ms, 0.8, 30_000),
        batch("archive", to_ms, 0.5, 90_000),
        gang("printing", to_ms, 0.01, 12),
        urgent("rosters", to_ms),
    ];
    build("koinonia", seed, 50, 8, 3, streams, peak, to_ms)
}

/// Returns a Friday of the school meals: parents top up at dawn while
/// vendors' settlements and reports fill 50 workers in four data centres.
pub fn association(seed: u64) -> Workload {
    let peak = 6 * MINUTE_MS..18 * MINUTE_MS;
    let to_ms = 24 * MINUTE_MS;
    let settlements = Stream {
        idempotent: 0.0,
        checkpoint: 0.0,
        ..batch("settlements", to_ms, 0.4, 20_000)
    };
    let streams = vec![
        enrolment("top-ups", &peak, 20.0),
        service("wallet", 50),
        settlements,
        batch("vendors", to_ms, 0.6, 60_000),
        batch("reports", to_ms, 0.6, 90_000),
        gang("forecast", to_ms, 0.01, 16),
        urgent("settlements", to_ms),
    ];
    build("association", seed, 50, 6, 4, streams, peak, to_ms)
}

/// Returns three minutes of the target's peak: 680 workers, 130 teams, 660
/// starts a second.
pub fn target(seed: u64) -> Workload {
    let to_ms = 3 * MINUTE_MS;
    let peak = MINUTE_MS / 2..to_ms;
    let mut streams = vec![
        enrolment("team-0", &peak, 200.0),
        service("team-1", 1_000),
        gang("team-2", to_ms, 0.05, 32),
        urgent("team-3", to_ms),
    ];
    for n in 4..130 {
        let per_s = 0.5 + 6.0 / f64::from(n - 3).sqrt();
        streams.push(batch(&format!("team-{n}"), to_ms, per_s, 10_000));
    }
    build("target", seed, 680, 8, 5, streams, peak, to_ms)
}

fn enrolment(team: &str, peak: &std::ops::Range<u64>, per_s: f64) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Interactive,
        from_ms: peak.start,
        to_ms: peak.end,
        per_s,
        tasks: 1,
        cores_milli: 500,
        octaves: 1,
        run_time_ms: 3_000,
        idempotent: 0.5,
        checkpoint: 0.0,
    }
}

/// Services start in the first seconds and stay.
fn service(team: &str, count: u32) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Service,
        from_ms: 0,
        to_ms: 10_000,
        per_s: f64::from(count) / 10.0,
        tasks: 1,
        cores_milli: 1_000,
        octaves: 1,
        run_time_ms: 0,
        idempotent: 1.0,
        checkpoint: 0.0,
    }
}

fn batch(team: &str, to_ms: u64, per_s: f64, run_time_ms: u64) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Batch,
        from_ms: 0,
        to_ms,
        per_s,
        tasks: 4,
        cores_milli: 500,
        octaves: 4,
        run_time_ms,
        idempotent: 0.9,
        checkpoint: 0.3,
    }
}

fn gang(team: &str, to_ms: u64, per_s: f64, tasks: u32) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Gang,
        from_ms: 0,
        to_ms,
        per_s,
        tasks,
        cores_milli: 2_000,
        octaves: 1,
        run_time_ms: 60_000,
        idempotent: 1.0,
        checkpoint: 0.5,
    }
}

fn urgent(team: &str, to_ms: u64) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Urgent,
        from_ms: 0,
        to_ms,
        per_s: 0.05,
        tasks: 3,
        cores_milli: 1_000,
        octaves: 2,
        run_time_ms: 10_000,
        idempotent: 0.5,
        checkpoint: 0.0,
    }
}

#[allow(clippy::too_many_arguments)]
fn build(
    name: &'static str,
    seed: u64,
    workers: usize,
    rack: usize,
    places: usize,
    streams: Vec<Stream>,
    peak_ms: std::ops::Range<u64>,
    horizon_ms: u64,
) -> Workload {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shapes: Vec<WorkerShape> =
        (0..workers).map(|n| shape(n, rack, places)).collect();
    let mut arrivals = Vec::new();
    for stream in &streams {
        stream.add_to(&mut arrivals, &mut rng);
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    let faults = faults(&shapes, rack, horizon_ms, &mut rng);
    let setup = setup(&streams);
    Workload {
        name,
        workers: shapes,
        setup,
        arrivals,
        faults,
        horizon_ms,
        peak_ms,
    }
}

fn setup(streams: &[Stream]) -> Vec<Event> {
    let mut events = Vec::new();
    for policy in [QueuePolicy::Service, QueuePolicy::Batch, QueuePolicy::Gang]
    {
        events.push(Event::QueueChanged {
            queue: QueueName::new(policy.as_str()).expect("a valid name"),
            config: QueueConfig { policy, open: false, stop_over_size: false },
        });
    }
    for (n, stream) in streams.iter().enumerate() {
        let team = TeamName::new(&stream.team).expect("a valid name");
        events.push(Event::AllotmentChanged {
            team: team.clone(),
            allotment: Resources::UNLIMITED,
        });
        // The teams whose callers wait hold the largest share.
        let interactive = stream.class == WorkClass::Interactive;
        let weight = if interactive { 4 } else { 1 + n as u32 % 3 };
        events.push(Event::ShareChanged { team, weight });
    }
    events
}

fn shape(n: usize, rack: usize, places: usize) -> WorkerShape {
    let rack = n / rack;
    WorkerShape {
        worker: WorkerId::new(&format!("w-{n:03}")).expect("a valid name"),
        data_centre: DataCentre::new(&format!("dc-{}", rack % places))
            .expect("a valid name"),
        rack: Rack::new(&format!("rack-{rack}")).expect("a valid name"),
        held: HELD,
    }
}

/// One worker fails everything, one rack lapses and comes back, one worker
/// leaves.
fn faults(
    shapes: &[WorkerShape],
    rack: usize,
    horizon_ms: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<Fault> {
    let at = |part: f64| (horizon_ms as f64 * part) as u64;
    let any = |rng: &mut ChaCha8Rng| {
        shapes[rng.random_range(rack..shapes.len())].worker.clone()
    };
    let (bad, leaving) = (any(rng), any(rng));
    let mut faults = vec![
        Fault { at_ms: at(0.2), kind: FaultKind::FailsAll(bad.clone()) },
        Fault { at_ms: at(0.5), kind: FaultKind::Repaired(bad) },
        Fault { at_ms: at(0.6), kind: FaultKind::Leaves(leaving) },
    ];
    for shape in &shapes[..rack] {
        let lost = FaultKind::Lapses(shape.worker.clone());
        faults.push(Fault { at_ms: at(0.7), kind: lost });
        let back = FaultKind::Returns(shape.clone());
        faults.push(Fault { at_ms: at(0.8), kind: back });
    }
    faults
}
