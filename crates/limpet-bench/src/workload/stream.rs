use limpet_core::{JobSpec, QueueName, TaskSpec, TeamName};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::Arrival;

/// The kind of work that a job does, by which reports group waiting times.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WorkClass {
    /// Work that is placed before all other work.
    Urgent,
    /// Work whose result a person waits for, such as an enrolment or a top-up.
    Interactive,
    /// Work that runs until it is stopped.
    Service,
    /// Work in the background, such as rosters, settlements and reports.
    Batch,
    /// Work whose tasks start together.
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

    /// Returns the name of the class in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            WorkClass::Urgent => "urgent",
            WorkClass::Interactive => "interactive",
            WorkClass::Service => "service",
            WorkClass::Batch => "batch",
            WorkClass::Gang => "gang",
        }
    }

    /// Returns the queue that jobs of the class are submitted to.
    const fn queue(self) -> &'static str {
        match self {
            WorkClass::Service => "service",
            WorkClass::Gang => "gang",
            _ => "batch",
        }
    }
}

/// Similar jobs of one team that arrive as a Poisson process.
#[derive(Clone, Debug)]
pub struct Stream {
    /// The name of the team.
    pub team: String,
    /// The kind of work.
    pub class: WorkClass,
    /// The start of the interval in which jobs arrive.
    pub from_ms: u64,
    /// The end of the interval in which jobs arrive.
    pub to_ms: u64,
    /// The mean number of jobs that arrive a second.
    pub jobs_per_s: f64,
    /// The number of tasks of each job.
    pub tasks: u32,
    /// The smallest size of a task. Larger ones are this size doubled up to
    /// `size_doublings` times, and the larger the rarer.
    pub cores_milli: u64,
    /// How many times the smallest size is doubled to give the largest.
    pub size_doublings: u32,
    /// The median of the declared run times, which spread from a quarter of
    /// it to four times as long; ignored for services.
    pub run_time_ms: u64,
    /// The fraction of the jobs that are idempotent.
    pub idempotent_fraction: f64,
    /// The fraction of the jobs that can checkpoint.
    pub checkpoint_fraction: f64,
}

/// The fraction of the jobs that always fail.
const FAILING_FRACTION: f64 = 0.002;
/// The fraction of the jobs that are cancelled.
const CANCELLED_FRACTION: f64 = 0.02;

impl Stream {
    /// Adds the stream's jobs to `arrivals`.
    pub(super) fn add_to(
        &self,
        arrivals: &mut Vec<Arrival>,
        rng: &mut ChaCha8Rng,
    ) {
        let mut at_ms = self.from_ms as f64;
        loop {
            let wait_s = -(1.0 - rng.random::<f64>()).ln() / self.jobs_per_s;
            at_ms += wait_s * 1000.0;
            if at_ms >= self.to_ms as f64 {
                return;
            }
            arrivals.push(self.arrival(at_ms as u64, rng));
        }
    }

    fn arrival(&self, at_ms: u64, rng: &mut ChaCha8Rng) -> Arrival {
        let cancelled = rng.random_bool(CANCELLED_FRACTION);
        let is_not_urgent = self.class != WorkClass::Urgent;
        Arrival {
            at_ms,
            spec: self.spec(rng),
            class: self.class,
            // From a tenth of the declared run time to ten times as long.
            run_factor: 10f64.powf(rng.random_range(-1.0..1.0)),
            always_fails: is_not_urgent && rng.random_bool(FAILING_FRACTION),
            cancelled_at_ms: (is_not_urgent && cancelled)
                .then(|| at_ms + rng.random_range(1_000..120_000)),
        }
    }

    fn spec(&self, rng: &mut ChaCha8Rng) -> JobSpec {
        // The square of a uniform number makes small sizes the most frequent.
        let doublings =
            rng.random::<f64>().powi(2) * f64::from(self.size_doublings + 1);
        let cores_milli = self.cores_milli << doublings as u32;
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
                idempotent: rng.random_bool(self.idempotent_fraction),
                can_checkpoint: rng.random_bool(self.checkpoint_fraction),
            }],
        }
    }
}
