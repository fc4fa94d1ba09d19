use std::fmt;

/// A number as it is written, before a conversion or a default changes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WrittenNumber {
    /// A number without a fraction or an exponent.
    Whole(i128),
    /// Any other number.
    Decimal(f64),
}

impl WrittenNumber {
    /// Returns the number, rounded to the precision of `f64`.
    pub fn as_f64(self) -> f64 {
        match self {
            WrittenNumber::Whole(number) => number as f64,
            WrittenNumber::Decimal(number) => number,
        }
    }
}

impl fmt::Display for WrittenNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WrittenNumber::Whole(number) => number.fmt(f),
            WrittenNumber::Decimal(number) => number.fmt(f),
        }
    }
}

/// A configuration as it is written. Numbers that aren't written are `None`.
///
/// It has no `Debug`, since it holds API keys.
#[derive(Clone, Default)]
pub struct ConfigDraft {
    /// The revision number.
    pub revision: Option<WrittenNumber>,
    /// The queues.
    pub queues: Vec<QueueDraft>,
    /// The services.
    pub services: Vec<ServiceDraft>,
    /// The teams.
    pub teams: Vec<TeamDraft>,
    /// The maximum size of a request body.
    pub body_bytes: Option<WrittenNumber>,
}

/// A [`QueueConfig`](crate::QueueConfig) and its policy as they are written.
#[derive(Clone, Debug, Default)]
#[expect(missing_docs, reason = "the fields are those of `QueueConfig`")]
pub struct QueueDraft {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub public: bool,
    pub service: String,
    pub priority: Option<WrittenNumber>,
    pub max_attempts: Option<WrittenNumber>,
    pub stretch: Option<WrittenNumber>,
    pub objective_ms: Option<WrittenNumber>,
    pub advice: Option<AdviceDraft>,
}

/// An [`AdvicePolicy`](crate::AdvicePolicy) as it is written.
#[derive(Clone, Copy, Debug, Default)]
#[expect(missing_docs, reason = "the fields are those of `AdvicePolicy`")]
pub struct AdviceDraft {
    pub decide_ms: Option<WrittenNumber>,
    pub per_worker_ms: Option<WrittenNumber>,
    pub valid_ms: Option<WrittenNumber>,
}

/// A [`ServiceConfig`](crate::ServiceConfig) as it is written.
#[derive(Clone, Debug, Default)]
#[expect(missing_docs, reason = "the fields are those of `ServiceConfig`")]
pub struct ServiceDraft {
    pub name: String,
    pub enforces_capacity: bool,
}

/// A [`TeamConfig`](crate::TeamConfig) as it is written.
///
/// It has no `Debug`, since it holds API keys.
#[derive(Clone, Default)]
#[expect(missing_docs, reason = "the fields are those of `TeamConfig`")]
pub struct TeamDraft {
    pub name: String,
    pub keys: Vec<String>,
    pub weight: Option<WrittenNumber>,
    pub limit: ResourcesDraft,
}

/// A resource limit as it is written, where 0 means no limit.
#[derive(Clone, Copy, Debug, Default)]
#[expect(missing_docs, reason = "the fields are those of `Resources`")]
pub struct ResourcesDraft {
    pub cores_milli: Option<WrittenNumber>,
    pub memory_mb: Option<WrittenNumber>,
    pub accelerators: Option<WrittenNumber>,
}
