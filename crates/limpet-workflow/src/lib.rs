//! Scheduling decisions for jobs of dependent steps on the workers of an
//! external platform.
//!
//! [`Engine`] does no I/O and reads no clock. Each event is passed to one of
//! its methods together with the time at which it was observed. The engine
//! updates its state and produces [`Effect`]s; the daemon carries them out
//! and reports their outcomes as further events. `docs/PLATFORM.md` describes
//! the design.

mod config;
pub mod config_check;
mod effect;
mod engine;
mod key;
mod progress;
mod spec;
mod tenure;
mod worker;

pub use crate::{
    config::{
        AdvicePolicy, CellConfig, QueueConfig, QueuePolicy, RequestLimits,
        ServiceConfig, TeamConfig,
    },
    effect::{
        AdviceRequestId, Effect, LifeEvidence, PairDropped, StartOrder,
        StopOrder, StopReason, Suspicion,
    },
    engine::{
        Activity, CommitWait, Counts, EndedJob, Engine, EngineOptions,
        EvacuationState, EvacuationStays, InterferingPair, LastingAway,
        LifeEnd, LostRun, MachineSpeed, Moment, SilentWorker, StartOutcome,
        Ticket, Timeline, WaitCause, WaitCounts,
    },
    key::{JobKey, StepKey, TaskKey},
    progress::{
        ClaimProgress, CrashRecord, JobPhase, JobProgress, StepProgress,
        TaskCrashes, TaskProgress,
    },
    spec::{JobRecord, JobSpec, MAX_WHOLE_STEP_TASKS, Repeat, StepSpec},
    worker::{
        EndKind, HoldReport, MissedPoll, RunEnd, RunningTask, WorkerListing,
        WorkerSlot,
    },
};
