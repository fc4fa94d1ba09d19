use std::{cmp::Reverse, collections::BinaryHeap};

use limpet_core::{
    EndpointId, ErrorKind, TimeMs,
    routing::{
        Choice, Deadline, FailedAttempt, Outcome, RetryBudget, RetryDecision,
        decide_retry,
    },
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    FleetFault, ReplayOptions, ReplayOutcome, Trace, TraceRequest,
    instance::{
        Dispatch, Instance, LOCAL_HOP_US, REMOTE_HOP_US, data_centre, endpoint,
    },
    runner::{Handling, Runner},
    trace::{INSTANCES, TEAMS},
};

/// The number of runners.
pub const RUNNERS: usize = 50;
/// The time that a client waits for its answer.
const DEADLINE_MS: u64 = 1_000;
/// How often an instance checks its queue while requests wait. A request may
/// become ready, or expire, just because time passes.
const DISPATCH_INTERVAL_US: u64 = 5_000;

/// What happens at a point in time. The numbers are indices of requests,
/// attempts or instances.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A request arrives at its instance.
    Arrive(usize),
    /// An attempt reaches its runner.
    Reach(usize),
    /// A runner ends its work on an attempt.
    End(usize),
    /// The answer to an attempt reaches the instance.
    Answer(usize, Answer),
    /// The deadline of a request passes.
    Deadline(usize),
    /// An attempt may be hedged by a second one.
    Hedge(usize),
    /// An instance dispatches requests from its queue.
    Dispatch(usize),
}

/// A runner's answer to an attempt.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Answer {
    /// A complete answer, with the number of slots in use at the runner.
    Complete(u32),
    Refused,
    Failed,
}

/// A request that was sent to one runner.
struct Attempt {
    request: usize,
    runner: usize,
    started_us: u64,
    /// The one-way network delay to the runner.
    hop_us: u64,
    /// Whether the instance still waits for the answer.
    in_flight: bool,
    /// Whether the request occupies a slot of a runner that never answers.
    hanging: bool,
}

/// The state of a request.
#[derive(Clone, Default)]
struct Progress {
    /// Whether the request was answered or refused, failed, or passed its
    /// deadline.
    done: bool,
    /// The number of attempts so far.
    attempts: u32,
    /// The runners to which they were sent.
    tried: Vec<EndpointId>,
    /// The indices of the attempts in flight.
    in_flight: Vec<usize>,
}

/// The simulated fleet, its virtual clock and the events to come.
struct Simulation<'a> {
    trace: &'a Trace,
    options: ReplayOptions,
    now_us: u64,
    /// Time, sequence number and event. Events at the same time are handled
    /// in the order in which they were scheduled.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    runners: Vec<Runner>,
    attempts: Vec<Attempt>,
    /// The state of each request of the trace.
    progress: Vec<Progress>,
    outcome: ReplayOutcome,
}

/// Replays a trace on a virtual clock until no events are left, and returns
/// how its requests ended. Equal arguments give equal outcomes.
pub fn replay(
    trace: &Trace,
    options: &ReplayOptions,
    seed: u64,
) -> ReplayOutcome {
    let mut simulation = Simulation::new(trace, *options, seed);
    for (index, request) in trace.requests.iter().enumerate() {
        simulation.schedule(request.arrival_us, Event::Arrive(index));
    }
    while let Some(Reverse((at_us, _, event))) = simulation.events.pop() {
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    let Simulation { mut outcome, runners, .. } = simulation;
    outcome.busy_us = runners.iter().map(|runner| runner.busy_us).collect();
    outcome
}

impl<'a> Simulation<'a> {
    fn new(trace: &'a Trace, options: ReplayOptions, seed: u64) -> Self {
        let fault = |group: usize| match group % 3 {
            0 => options.fault,
            _ => FleetFault::None,
        };
        Simulation {
            trace,
            options,
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            instances: (0..INSTANCES)
                .map(|rank| Instance::new(rank, RUNNERS, &options))
                .collect(),
            // Runner `index` is in data centre `index % 3`. Dividing by 3
            // puts faulty runners into every data centre.
            runners: (0..RUNNERS)
                .map(|index| Runner::new(fault(index / 3)))
                .collect(),
            attempts: Vec::new(),
            progress: vec![Progress::default(); trace.requests.len()],
            outcome: ReplayOutcome {
                answered_by_team: vec![0; TEAMS],
                ..ReplayOutcome::default()
            },
        }
    }

    /// Schedules an event at a time of the virtual clock.
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_us, self.sequence, event)));
    }

    fn now(&self) -> TimeMs {
        TimeMs::from_ms(self.now_us / 1_000)
    }

    fn request(&self, index: usize) -> TraceRequest {
        self.trace.requests[index]
    }

    fn deadline(&self, index: usize) -> Deadline {
        let arrival_ms = self.request(index).arrival_us / 1_000;
        Deadline::at(TimeMs::from_ms(arrival_ms + DEADLINE_MS))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(index) => {
                let due = self.request(index).arrival_us + DEADLINE_MS * 1_000;
                self.schedule(due, Event::Deadline(index));
                let instance = self.request(index).instance;
                self.instances[instance].budget.deposit();
                self.request_runner(index);
            }
            Event::Reach(attempt) => self.reach(attempt),
            Event::End(attempt) => self.end(attempt),
            Event::Answer(attempt, answer) => self.answer(attempt, answer),
            Event::Deadline(index) => self.expire(index),
            Event::Hedge(attempt) => self.hedge(attempt),
            Event::Dispatch(instance) => {
                self.instances[instance].dispatch_scheduled = false;
                self.dispatch(instance);
            }
        }
    }

    /// Requests a runner for a new request, or for the next attempt of one.
    fn request_runner(&mut self, index: usize) {
        let request = self.request(index);
        let (deadline, now) = (self.deadline(index), self.now());
        let draw = self.rng.next_u64();
        let tried = self.progress[index].tried.clone();
        let decision = self.instances[request.instance].request_runner(
            index as u64,
            request.team,
            deadline,
            &tried,
            draw,
            now,
        );
        match decision {
            Dispatch::Immediate(choice) => self.send(index, &choice),
            Dispatch::Queued => self.schedule_dispatch(request.instance),
            Dispatch::Refused if self.progress[index].attempts == 0 => {
                self.progress[index].done = true;
                self.outcome.refused += 1;
            }
            Dispatch::Refused => self.fail(index),
        }
    }

    fn fail(&mut self, index: usize) {
        self.progress[index].done = true;
        self.outcome.failed += 1;
    }

    fn send(&mut self, index: usize, choice: &Choice) {
        let runner: usize =
            choice.endpoint.as_str()[1..].parse().unwrap_or_default();
        let request = self.request(index);
        let is_remote = data_centre(runner) != data_centre(request.instance);
        let hop_us = if is_remote { REMOTE_HOP_US } else { LOCAL_HOP_US };
        self.outcome.spilled += u64::from(is_remote);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request: index,
            runner,
            started_us: self.now_us,
            hop_us,
            in_flight: true,
            hanging: false,
        });
        let progress = &mut self.progress[index];
        progress.attempts += 1;
        progress.tried.push(choice.endpoint.clone());
        progress.in_flight.push(attempt);
        if progress.attempts > 1 {
            self.outcome.retries += 1;
        }
        self.schedule(self.now_us + hop_us, Event::Reach(attempt));
        let latency_ms = self.instances[request.instance].latency_ms();
        if let (Some(factor), Some(ms), true) =
            (self.options.hedge_factor, latency_ms, request.idempotent)
        {
            let wait_us = (factor * ms * 1e3) as u64;
            self.schedule(self.now_us + wait_us, Event::Hedge(attempt));
        }
    }

    fn reach(&mut self, attempt: usize) {
        let Attempt { runner, request, hop_us, .. } = self.attempts[attempt];
        let run_us = self.request(request).run_us;
        let back_us = self.now_us + hop_us;
        match self.runners[runner].receive(run_us) {
            Handling::Runs(run_us) => {
                self.schedule(self.now_us + run_us, Event::End(attempt));
            }
            Handling::Refused { collision } => {
                self.outcome.collisions += u64::from(collision);
                self.schedule(
                    back_us,
                    Event::Answer(attempt, Answer::Refused),
                );
            }
            Handling::Fails => {
                self.schedule(back_us, Event::Answer(attempt, Answer::Failed));
            }
            Handling::Hangs => self.attempts[attempt].hanging = true,
        }
    }

    fn end(&mut self, attempt: usize) {
        let Attempt { runner, hop_us, .. } = self.attempts[attempt];
        self.runners[runner].release_slot();
        let load = self.runners[runner].busy_slots;
        let back_us = self.now_us + hop_us;
        self.schedule(back_us, Event::Answer(attempt, Answer::Complete(load)));
    }

    /// Closes an attempt and records its outcome at the instance. Returns
    /// false, and does nothing, if it was closed before.
    fn close(&mut self, attempt: usize, outcome: Outcome) -> bool {
        if !std::mem::take(&mut self.attempts[attempt].in_flight) {
            return false;
        }
        let Attempt { request, runner, .. } = self.attempts[attempt];
        if std::mem::take(&mut self.attempts[attempt].hanging) {
            // The instance closes the connection, so the runner frees its
            // slot.
            self.runners[runner].release_slot();
        }
        self.progress[request].in_flight.retain(|other| *other != attempt);
        let (now, instance) = (self.now(), self.request(request).instance);
        self.instances[instance].finish(&endpoint(runner), outcome, now);
        true
    }

    fn answer(&mut self, attempt: usize, answer: Answer) {
        let Attempt { request: index, started_us, .. } =
            self.attempts[attempt];
        let latency_ms = (self.now_us - started_us) / 1_000;
        let outcome = match answer {
            Answer::Complete(load) => {
                Outcome::Answered { latency_ms, load: Some(load) }
            }
            Answer::Refused => Outcome::Refused,
            Answer::Failed => Outcome::Failed,
        };
        if !self.close(attempt, outcome) {
            return;
        }
        match answer {
            Answer::Complete(_) => self.complete(index),
            Answer::Refused => self.retry(index, ErrorKind::Overloaded),
            Answer::Failed => self.retry(index, ErrorKind::RunnerFailed),
        }
        self.dispatch(self.request(index).instance);
    }

    /// Records a request as answered and abandons its other attempts.
    fn complete(&mut self, index: usize) {
        let request = self.request(index);
        self.progress[index].done = true;
        for other in std::mem::take(&mut self.progress[index].in_flight) {
            self.close(other, Outcome::Abandoned);
        }
        self.outcome.latencies_us.push(self.now_us - request.arrival_us);
        self.outcome.answered_at_us.push(self.now_us);
        self.outcome.answered_by_team[request.team] += 1;
    }

    /// Retries or fails a request unless another attempt is in flight.
    fn retry(&mut self, index: usize, failure: ErrorKind) {
        if self.progress[index].done
            || !self.progress[index].in_flight.is_empty()
        {
            return;
        }
        let request = self.request(index);
        let failed_attempt = FailedAttempt {
            failure,
            idempotent: request.idempotent,
            replayable: true,
            attempts: self.progress[index].attempts,
            // The recorded runners fail alone, and no request crashes them.
            broken: 0,
            deadline: self.deadline(index),
        };
        let now = self.now();
        let decision = self.with_budget(request.instance, |budget| {
            decide_retry(&failed_attempt, budget, now)
        });
        match decision {
            RetryDecision::Retry => self.request_runner(index),
            _ => self.fail(index),
        }
    }

    /// Runs `f` on the instance's retry budget, or on a new, full one if
    /// retries aren't limited.
    fn with_budget<T>(
        &mut self,
        instance: usize,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        match self.options.retry_budget {
            true => f(&mut self.instances[instance].budget),
            false => f(&mut RetryBudget::new()),
        }
    }

    /// Sends a second attempt if the first is still in flight and the budget
    /// allows it.
    fn hedge(&mut self, attempt: usize) {
        let Attempt { request: index, in_flight, .. } = self.attempts[attempt];
        if !in_flight || self.progress[index].attempts > 1 {
            return;
        }
        let instance = self.request(index).instance;
        let (draw, now) = (self.rng.next_u64(), self.now());
        let tried = self.progress[index].tried.clone();
        let router = &self.instances[instance].router;
        let Some(choice) = router.choose(&tried, 0, draw, now) else { return };
        if self.with_budget(instance, RetryBudget::try_spend) {
            self.instances[instance].router.begin(&choice.endpoint, now);
            self.send(index, &choice);
        }
    }

    /// Fails a request whose deadline has passed, and closes its attempts.
    fn expire(&mut self, index: usize) {
        if self.progress[index].done {
            return;
        }
        let request = self.request(index);
        self.fail(index);
        let was_queued = self.instances[request.instance]
            .remove_queued(index as u64, request.team);
        self.outcome.late += u64::from(was_queued);
        for attempt in std::mem::take(&mut self.progress[index].in_flight) {
            let started_us = self.attempts[attempt].started_us;
            let waited_ms = (self.now_us - started_us) / 1_000;
            self.close(attempt, Outcome::TimedOut { waited_ms });
        }
        self.dispatch(request.instance);
    }

    /// Dispatches queued requests of an instance as long as runners can be
    /// chosen for them. If some remain queued, the next check is scheduled.
    fn dispatch(&mut self, instance: usize) {
        loop {
            let (draw, now) = (self.rng.next_u64(), self.now());
            let trace = self.trace;
            let dispatched = self.instances[instance].dispatch_next(
                |request| trace.requests[request as usize].team,
                draw,
                now,
            );
            match dispatched {
                Some((request, Some(choice))) => {
                    self.send(request as usize, &choice);
                }
                Some((request, None)) => {
                    let index = request as usize;
                    self.progress[index].done = true;
                    match self.progress[index].attempts {
                        0 => self.outcome.refused += 1,
                        _ => self.outcome.failed += 1,
                    }
                }
                None => break,
            }
        }
        if !self.instances[instance].queue.is_empty() {
            self.schedule_dispatch(instance);
        }
    }

    fn schedule_dispatch(&mut self, instance: usize) {
        if !std::mem::replace(
            &mut self.instances[instance].dispatch_scheduled,
            true,
        ) {
            self.schedule(
                self.now_us + DISPATCH_INTERVAL_US,
                Event::Dispatch(instance),
            );
        }
    }
}
