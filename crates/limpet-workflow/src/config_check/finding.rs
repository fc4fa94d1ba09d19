/// How much a finding matters.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// The configuration can be used, but probably isn't what was meant.
    Warning,
    /// The configuration should not be used.
    Error,
}

/// What is wrong with an entry or a field.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum FindingKind {
    /// The text isn't a configuration.
    Undecodable,
    /// The revision isn't above that of the version in force.
    StaleRevision,
    /// A number is negative, not finite, not whole or too large.
    OutOfRange,
    /// Two entries of a kind have the same name.
    DuplicateName,
    /// No request reaches the queue, since a later one has the same host and
    /// path prefix.
    ShadowedQueue,
    /// The queue's service isn't configured.
    UnknownService,
    /// No queue uses the service.
    UnusedService,
    /// The queue has no host name.
    EmptyHost,
    /// The path prefix doesn't begin with `/`.
    RelativePathPrefix,
    /// The queue allows no attempt.
    ZeroAttempts,
    /// The latency objective is shorter than the work.
    StretchBelowOne,
    /// Tickets expire before a usual request for advice is answered.
    ExpiredTickets,
    /// Two teams have the same API key.
    SharedKey,
    /// The team has no API key.
    NoKeys,
    /// The team's weight is 0 or negative.
    WeightNotPositive,
    /// The team may use less than one core.
    LimitBelowOneCore,
    /// No request may have a body.
    ZeroBodyLimit,
}

impl FindingKind {
    /// Returns the severity of findings of this kind.
    pub const fn severity(self) -> Severity {
        match self {
            FindingKind::UnusedService
            | FindingKind::NoKeys
            | FindingKind::LimitBelowOneCore => Severity::Warning,
            _ => Severity::Error,
        }
    }
}

/// The kinds of entries of a configuration.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum EntryKind {
    /// The configuration itself.
    Config,
    /// A queue.
    Queue,
    /// A service.
    Service,
    /// A team.
    Team,
    /// The limits on client requests.
    Limits,
}

/// The fields of the entries.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[expect(missing_docs, reason = "the names are those of the drafts' fields")]
pub enum Field {
    Revision,
    Name,
    Host,
    PathPrefix,
    Public,
    Service,
    Priority,
    MaxAttempts,
    Stretch,
    ObjectiveMs,
    Advice,
    AdviceDecideMs,
    AdvicePerWorkerMs,
    AdviceValidMs,
    EnforcesCapacity,
    Keys,
    Weight,
    LimitCoresMilli,
    LimitMemoryMb,
    LimitAccelerators,
    BodyBytes,
}

/// Where a finding is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// The kind of the entry.
    pub entry: EntryKind,
    /// The name of the entry; empty for those without one.
    pub name: String,
    /// The position of the entry among those of its kind, from 1, since names
    /// can be empty or duplicate; `None` where there is only one.
    pub position: Option<usize>,
    /// The field; `None` for the entry as a whole.
    pub field: Option<Field>,
}

/// A fault or a doubtful value of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What is wrong.
    pub kind: FindingKind,
    /// Where it is.
    pub place: Place,
    /// The bad value and the allowed range. It contains no API key, and names
    /// neither entry kinds nor fields, since the platform has other words for
    /// them.
    pub message: String,
}

impl Finding {
    /// Returns the finding for a text that isn't a configuration.
    pub fn undecodable(message: String) -> Finding {
        let place = Place {
            entry: EntryKind::Config,
            name: String::new(),
            position: None,
            field: None,
        };
        Finding { kind: FindingKind::Undecodable, place, message }
    }

    /// Returns the severity of the finding.
    pub const fn severity(&self) -> Severity {
        self.kind.severity()
    }
}
