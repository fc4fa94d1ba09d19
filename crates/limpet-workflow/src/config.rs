use limpet_core::Resources;

/// All that operators have decided, as one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellConfig {
    /// The revision; it never goes back.
    pub revision: u64,
    /// The queues.
    pub queues: Vec<QueueConfig>,
    /// The services whose workers run the queues' tasks.
    pub services: Vec<ServiceConfig>,
    /// The teams and their keys.
    pub teams: Vec<TeamConfig>,
    /// Limits on what a client sends.
    pub limits: RequestLimits,
}

/// A queue: where jobs are submitted and how they are run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueConfig {
    /// Its name.
    pub name: String,
    /// The host that selects it.
    pub host: String,
    /// The start of the path that selects it.
    pub path_prefix: String,
    /// Whether calls need no key.
    pub public: bool,
    /// How its jobs are run.
    pub policy: QueuePolicy,
}

/// How the jobs of a queue are run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct QueuePolicy {
    /// The service whose workers run the tasks.
    pub service: String,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// The latency objective, in lengths of the job's longest chain.
    pub stretch: f64,
    /// What the latency objective grants besides.
    pub objective_ms: u64,
    /// What asking which workers may run a step costs; `None` where all may.
    pub advice: Option<AdvicePolicy>,
}

/// What a call for advice costs, and for how long its tickets are good.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct AdvicePolicy {
    /// What each call takes.
    pub decide_ms: f64,
    /// What each worker that is asked about adds.
    pub per_worker_ms: f64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

/// A service: a pool of workers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceConfig {
    /// Its name.
    pub name: String,
    /// Whether its workers refuse what doesn't fit.
    pub enforces_capacity: bool,
}

/// A team and what it may have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TeamConfig {
    /// Its name.
    pub name: String,
    /// The keys that its calls carry.
    pub keys: Vec<String>,
    /// Its share when all is full.
    pub weight: f64,
    /// What it may have running; a resource without a limit is unlimited.
    pub limit: Resources,
}

/// Limits on what a client sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// The longest body.
    pub body_bytes: usize,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits { body_bytes: 262_144 }
    }
}

impl CellConfig {
    /// Returns the queue that a host and path select, by longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        self.queues
            .iter()
            .filter(|queue| queue.host == host)
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the team that holds `key`.
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
