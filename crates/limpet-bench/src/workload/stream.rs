use limpet_core::{JobSpec, QueueName, TaskSpec, TeamName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Arrival;

/// What kind of work a job is, for the reports.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WorkClass {
    /// It goes before all others.
    Urgent,
    /// A member or parent waits for it: enrolments and top-ups.
    Interactive,
    /// It runs until it is stopped.
    Service,
    /// Rosters, settlements and reports.
    Batch,
    /// Its tasks start together.
    Gang,
}

impl WorkClass {
    /// Every class.
    pub const ALL: [WorkClass; 5] = [
        WorkClass::Urgent,
        WorkClass::Interactive,
        WorkClass::Service,
        WorkClass::Batch,
        WorkClass::Gang,
    ];

    /// Returns the word for reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            WorkClass::Urgent => "urgent",
            WorkClass::Interactive => "interactive",
            WorkClass::Service => "service",
            WorkClass::Batch => "batch",
            WorkClass::Gang => "gang",
        }
    }

    const fn queue(self) -> &'static str {
        match self {
            WorkClass::Service => "service",
            WorkClass::Gang => "gang",
            _ => "batch",
        }
    }
}

/// Like jobs of one team that arrive at random at a steady rate.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The team.
    pub team: String,
    /// The kind of work.
    pub class: WorkClass,
    /// When the first may arrive.
    pub from_ms: u64,
    /// When no more arrive.
    pub to_ms: u64,
    /// Jobs a second.
    pub per_s: f64,
    /// The tasks of a job.
    pub tasks: u32,
    /// The smallest size of a task; a few are up to `octaves` doublings
    /// larger.
    pub cores_milli: u64,
    /// The doublings of the largest size.
    pub octaves: u32,
    /// The median of the declared run times.
    pub run_time_ms: u64,
    /// The part of the jobs that may run again.
    pub idempotent: f64,
    /// The part of the jobs that can save their progress.
    pub checkpoint: f64,
}

/// The part of the jobs that always fail.
const BROKEN: f64 = 0.002;
/// The part of the jobs that are cancelled.
const CANCELLED: f64 = 0.02;

impl Stream {
    /// Adds the stream's jobs.
    pub(super) fn add_to(
        &self,
        arrivals: &mut Vec<Arrival>,
        rng: &mut ChaCha8Rng,
    ) {
        let mut at_ms = self.from_ms as f64;
        loop {
            let wait_s = -(1.0 - rng.random::<f64>()).ln() / self.per_s;
            at_ms += wait_s * 1000.0;
            if at_ms >= self.to_ms as f64 {
                return;
            }
            arrivals.push(self.arrival(at_ms as u64, rng));
        }
    }

    fn arrival(&self, at_ms: u64, rng: &mut ChaCha8Rng) -> Arrival {
        let cancelled = rng.random_bool(CANCELLED);
        let calm = self.class != WorkClass::Urgent;
        Arrival {
            at_ms,
            spec: self.spec(rng),
            class: self.class,
            // A tenth to ten times what was declared.
            run_factor: 10f64.powf(rng.random_range(-1.0..1.0)),
            broken: calm && rng.random_bool(BROKEN),
            cancelled_at_ms: (calm && cancelled)
                .then(|| at_ms + rng.random_range(1_000..120_000)),
        }
    }

    fn spec(&self, rng: &mut ChaCha8Rng) -> JobSpec {
        // Squared, so that most sizes are small.
        let octaves =
            rng.random::<f64>().powi(2) * f64::from(self.octaves + 1);
        let cores_milli = self.cores_milli << octaves as u32;
        let memory_per_core = 512 << rng.random_range(0..4);
        let spread = 4f64.powf(rng.random_range(-1.0..1.0));
        let run_time_ms = (self.run_time_ms as f64 * spread) as u64;
        let service = self.class == WorkClass::Service;
        JobSpec {
            name: self.class.as_str().to_owned(),
            team: TeamName::new(&self.team).expect("a valid name"),
            queue: QueueName::new(self.class.queue()).expect("a valid name"),
            urgent: self.class == WorkClass::Urgent,
            all_at_once: self.class == WorkClass::Gang,
            data_centre: None,
            tasks: vec![TaskSpec {
                name: "task".to_owned(),
                count: self.tasks,
                cores_milli,
                memory_mb: (memory_per_core * cores_milli / 1000).max(64),
                accelerators: 0,
                run_time_ms: (!service).then_some(run_time_ms.max(100)),
                idempotent: rng.random_bool(self.idempotent),
                can_checkpoint: rng.random_bool(self.checkpoint),
            }],
        }
    }
}
