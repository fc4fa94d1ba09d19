use limpet_core::{
    DataCentre, QueueName, Rack, Resources, TeamName, WorkerId,
    config::{QueueConfig, QueuePolicy},
    scheduler::{Event, WorkerShape},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Fault, FaultKind, Stream, WorkClass, Workload};

const MINUTE_MS: u64 = 60_000;
/// The capacity of each worker.
const WORKER_CAPACITY: Resources = Resources::new(16_000, 65_536, 0);

/// Returns an evening of an organisation of study circles: batch jobs fill 50
/// workers in three data centres while members enrol.
pub fn koinonia(seed: u64) -> Workload {
    let peak = 8 * MINUTE_MS..20 * MINUTE_MS;
    let to_ms = 24 * MINUTE_MS;
    let streams = vec![
        interactive("enrolment", &peak, 25.0),
        service("sign-up", 60),
        batch("rosters", to_ms, 0.5, 45_000),
        batch("seats", to_ms, 0.8, 30_000),
        batch("archive", to_ms, 0.5, 90_000),
        gang("printing", to_ms, 0.01, 12),
        urgent("rosters", to_ms),
    ];
    build("koinonia", seed, 50, 8, 3, streams, peak, to_ms)
}

/// Returns a Friday of an association for school meals: parents top up their
/// accounts at dawn while the vendors' settlements and reports fill 50
/// workers in four data centres.
pub fn association(seed: u64) -> Workload {
    let peak = 6 * MINUTE_MS..18 * MINUTE_MS;
    let to_ms = 24 * MINUTE_MS;
    let settlements = Stream {
        idempotent_fraction: 0.0,
        checkpoint_fraction: 0.0,
        ..batch("settlements", to_ms, 0.4, 20_000)
    };
    let streams = vec![
        interactive("top-ups", &peak, 20.0),
        service("wallet", 50),
        settlements,
        batch("vendors", to_ms, 0.6, 60_000),
        batch("reports", to_ms, 0.6, 90_000),
        gang("forecast", to_ms, 0.01, 16),
        urgent("settlements", to_ms),
    ];
    build("association", seed, 50, 6, 4, streams, peak, to_ms)
}

/// Returns three minutes of the peak at the target size: 680 workers and 130
/// teams, with about 660 task starts a second.
pub fn target(seed: u64) -> Workload {
    let to_ms = 3 * MINUTE_MS;
    let peak = MINUTE_MS / 2..to_ms;
    let mut streams = vec![
        interactive("team-0", &peak, 200.0),
        service("team-1", 1_000),
        gang("team-2", to_ms, 0.05, 32),
        urgent("team-3", to_ms),
    ];
    for n in 4..130 {
        let jobs_per_s = 0.5 + 6.0 / f64::from(n - 3).sqrt();
        streams.push(batch(&format!("team-{n}"), to_ms, jobs_per_s, 10_000));
    }
    build("target", seed, 680, 8, 5, streams, peak, to_ms)
}

/// Short interactive jobs of one task during the peak.
fn interactive(
    team: &str,
    peak: &std::ops::Range<u64>,
    jobs_per_s: f64,
) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Interactive,
        from_ms: peak.start,
        to_ms: peak.end,
        jobs_per_s,
        tasks: 1,
        cores_milli: 500,
        size_doublings: 1,
        run_time_ms: 3_000,
        idempotent_fraction: 0.5,
        checkpoint_fraction: 0.0,
    }
}

/// Services of one task that start in the first 10 s and run until the end.
fn service(team: &str, count: u32) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Service,
        from_ms: 0,
        to_ms: 10_000,
        jobs_per_s: f64::from(count) / 10.0,
        tasks: 1,
        cores_milli: 1_000,
        size_doublings: 1,
        run_time_ms: 0,
        idempotent_fraction: 1.0,
        checkpoint_fraction: 0.0,
    }
}

/// Batch jobs of four tasks.
fn batch(team: &str, to_ms: u64, jobs_per_s: f64, run_time_ms: u64) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Batch,
        from_ms: 0,
        to_ms,
        jobs_per_s,
        tasks: 4,
        cores_milli: 500,
        size_doublings: 4,
        run_time_ms,
        idempotent_fraction: 0.9,
        checkpoint_fraction: 0.3,
    }
}

/// Jobs whose tasks start together, with a declared run time of about a
/// minute.
fn gang(team: &str, to_ms: u64, jobs_per_s: f64, tasks: u32) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Gang,
        from_ms: 0,
        to_ms,
        jobs_per_s,
        tasks,
        cores_milli: 2_000,
        size_doublings: 1,
        run_time_ms: 60_000,
        idempotent_fraction: 1.0,
        checkpoint_fraction: 0.5,
    }
}

/// Rare urgent jobs of three tasks.
fn urgent(team: &str, to_ms: u64) -> Stream {
    Stream {
        team: team.to_owned(),
        class: WorkClass::Urgent,
        from_ms: 0,
        to_ms,
        jobs_per_s: 0.05,
        tasks: 3,
        cores_milli: 1_000,
        size_doublings: 2,
        run_time_ms: 10_000,
        idempotent_fraction: 0.5,
        checkpoint_fraction: 0.0,
    }
}

/// Generates the workload of the streams, with racks of `rack_size` workers
/// that are spread evenly over the data centres.
#[allow(clippy::too_many_arguments)]
fn build(
    name: &'static str,
    seed: u64,
    workers: usize,
    rack_size: usize,
    data_centres: usize,
    streams: Vec<Stream>,
    peak_ms: std::ops::Range<u64>,
    horizon_ms: u64,
) -> Workload {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let shapes: Vec<WorkerShape> =
        (0..workers).map(|n| shape(n, rack_size, data_centres)).collect();
    let mut arrivals = Vec::new();
    for stream in &streams {
        stream.add_to(&mut arrivals, &mut rng);
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    let faults = faults(&shapes, rack_size, horizon_ms, &mut rng);
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

/// Returns the events that set up a queue of each policy, and a team with an
/// unlimited allotment and a weight for each stream.
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
        // Teams with interactive jobs get the largest weight, since people
        // wait for their results.
        let interactive = stream.class == WorkClass::Interactive;
        let weight = if interactive { 4 } else { 1 + n as u32 % 3 };
        events.push(Event::ShareChanged { team, weight });
    }
    events
}

fn shape(n: usize, rack_size: usize, data_centres: usize) -> WorkerShape {
    let rack = n / rack_size;
    WorkerShape {
        worker: WorkerId::new(&format!("w-{n:03}")).expect("a valid name"),
        data_centre: DataCentre::new(&format!("dc-{}", rack % data_centres))
            .expect("a valid name"),
        rack: Rack::new(&format!("rack-{rack}")).expect("a valid name"),
        held: WORKER_CAPACITY,
    }
}

/// Returns the faults of a workload: a worker that fails every task until it
/// is repaired, a worker that leaves, and a rack whose workers are lost and
/// join again.
fn faults(
    shapes: &[WorkerShape],
    rack_size: usize,
    horizon_ms: u64,
    rng: &mut ChaCha8Rng,
) -> Vec<Fault> {
    let at = |fraction: f64| (horizon_ms as f64 * fraction) as u64;
    // Drawn from outside the first rack, which is lost as a whole below.
    let random_worker = |rng: &mut ChaCha8Rng| {
        shapes[rng.random_range(rack_size..shapes.len())].worker.clone()
    };
    let (failing, leaving) = (random_worker(rng), random_worker(rng));
    let mut faults = vec![
        Fault { at_ms: at(0.2), kind: FaultKind::FailsAll(failing.clone()) },
        Fault { at_ms: at(0.5), kind: FaultKind::Repaired(failing) },
        Fault { at_ms: at(0.6), kind: FaultKind::Leaves(leaving) },
    ];
    for shape in &shapes[..rack_size] {
        let lost = FaultKind::LeasesExpire(shape.worker.clone());
        faults.push(Fault { at_ms: at(0.7), kind: lost });
        let returned = FaultKind::Returns(shape.clone());
        faults.push(Fault { at_ms: at(0.8), kind: returned });
    }
    faults
}
