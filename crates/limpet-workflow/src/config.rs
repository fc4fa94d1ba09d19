//! The configuration that operators maintain: queues, services and teams.

use limpet_core::Resources;

/// One revision of the configuration that operators maintain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellConfig {
    /// The revision number; a newer configuration has a higher one.
    pub revision: u64,
    /// The queues that accept jobs.
    pub queues: Vec<QueueConfig>,
    /// The services whose workers run the tasks of the queues.
    pub services: Vec<ServiceConfig>,
    /// The teams, with their API keys and limits.
    pub teams: Vec<TeamConfig>,
    /// Limits on client requests.
    pub limits: RequestLimits,
}

/// A queue: the URLs that select it, and the policy for its jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueConfig {
    /// The name of the queue.
    pub name: String,
    /// The host name, without a port, of requests for this queue.
    pub host: String,
    /// The path prefix of requests for this queue.
    pub path_prefix: String,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// How jobs of this queue are run.
    pub policy: QueuePolicy,
}

/// How jobs of a queue are run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QueuePolicy {
    /// The service whose workers run the tasks.
    pub service: String,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The number of failed runs of a task, or of a gang, at which the job
    /// fails.
    pub max_attempts: u32,
    /// The factor by which the job's estimated critical path, with a request
    /// for advice a step, is multiplied in its latency objective.
    pub stretch: f64,
    /// Added to that product in the latency objective.
    pub objective_ms: u64,
    /// How advice on the workers that may run a step is requested; `None` if
    /// every worker of the service may run it.
    pub advice: Option<AdvicePolicy>,
}

/// The expected duration of an advice request, and how long its tickets are
/// valid.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AdvicePolicy {
    /// The fixed duration of a request.
    pub decide_ms: f64,
    /// The additional duration for each worker that the request names.
    pub per_worker_ms: f64,
    /// How long a ticket is valid after it was issued.
    pub valid_ms: u64,
}

/// The number of workers of the request for advice that counts as part of a
/// step's work in the latency objective of its job.
const USUAL_ADVICE_WORKERS: f64 = 30.0;

impl AdvicePolicy {
    /// Returns the duration of a request about as many workers as the latency
    /// objective allows for.
    pub fn usual_ms(&self) -> f64 {
        self.decide_ms + self.per_worker_ms * USUAL_ADVICE_WORKERS
    }
}

/// A service: a pool of workers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceConfig {
    /// The name of the service.
    pub name: String,
    /// Whether its workers refuse tasks that exceed their free capacity.
    pub enforces_capacity: bool,
}

/// A team, its API keys and its resource limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamConfig {
    /// The name of the team.
    pub name: String,
    /// The API keys of its clients.
    pub keys: Vec<String>,
    /// The rate, in jobs per second, above which its submissions are placed
    /// after those of other teams. A rate below 1 counts as 1.
    pub weight: f64,
    /// The most resources that its running tasks may use together.
    pub limit: Resources,
}

/// Limits on client requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// The maximum size of a request body.
    pub body_bytes: usize,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits { body_bytes: 262_144 }
    }
}

impl CellConfig {
    /// Returns the queue for a request, or `None` if no queue matches its
    /// host and path.
    ///
    /// The queue with the longest matching path prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host)
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the team that an API key belongs to.
    pub fn team_of_key(&self, key: &str) -> Option<&TeamConfig> {
        self.teams.iter().find(|team| team.keys.iter().any(|k| k == key))
    }

    /// Returns the team with this name.
    pub fn team(&self, name: &str) -> Option<&TeamConfig> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        self.services.iter().find(|service| service.name == name)
    }
}
