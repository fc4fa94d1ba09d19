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
    instance::{HOP_US, Instance, NEAR_US, Turn, data_centre, endpoint},
    runner::{Runner, Taken},
    trace::{INSTANCES, TEAMS},
};

/// The runners of a site.
pub const RUNNERS: usize = 50;
/// How long a caller waits.
const DEADLINE_MS: u64 = 1_000;
/// How often a queue is looked after while time alone may free a slot.
const PUMP_US: u64 = 5_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Reach(usize),
    End(usize),
    Answer(usize, Answer),
    Deadline(usize),
    Hedge(usize),
    Pump(usize),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Answer {
    Whole(u32),
    Refused,
    Failed,
}

struct Attempt {
    request: usize,
    runner: usize,
    begun_us: u64,
    way_us: u64,
    open: bool,
    hanging: bool,
}

#[derive(Clone, Default)]
struct Progress {
    done: bool,
    attempts: u32,
    tried: Vec<EndpointId>,
    open: Vec<usize>,
}

struct Simulation<'a> {
    trace: &'a Trace,
    options: ReplayOptions,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    runners: Vec<Runner>,
    attempts: Vec<Attempt>,
    progress: Vec<Progress>,
    outcome: ReplayOutcome,
}

/// Replays a trace and returns what became of it.
pub fn replay(
    trace: &Trace,
    options: &ReplayOptions,
    seed: u64,
) -> ReplayOutcome {
    let mut simulation = Simulation::new(trace, *options, seed);
    for (index, request) in trace.requests.iter().enumerate() {
        simulation.at(request.arrival_us, Event::Arrive(index));
    }
    while let Some(Reverse((at_us, _, event))) = simulation.events.pop() {
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    let Simulation { mut outcome, runners, .. } = simulation;
    outcome.busy_us = runners.iter().map(|one| one.busy_us).collect();
    outcome
}

impl<'a> Simulation<'a> {
    fn new(trace: &'a Trace, options: ReplayOptions, seed: u64) -> Self {
        let fault = |index: usize| match index % 3 {
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
            // Faulty runners stand in every data centre.
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

    fn at(&mut self, at_us: u64, event: Event) {
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
                self.at(due, Event::Deadline(index));
                let instance = self.request(index).instance;
                self.instances[instance].budget.deposit();
                self.ask(index);
            }
            Event::Reach(attempt) => self.reach(attempt),
            Event::End(attempt) => self.end(attempt),
            Event::Answer(attempt, answer) => self.answer(attempt, answer),
            Event::Deadline(index) => self.give_up(index),
            Event::Hedge(attempt) => self.hedge(attempt),
            Event::Pump(instance) => {
                self.instances[instance].pumped = false;
                self.pump(instance);
            }
        }
    }

    fn ask(&mut self, index: usize) {
        let request = self.request(index);
        let (deadline, now) = (self.deadline(index), self.now());
        let draw = self.rng.next_u64();
        let tried = self.progress[index].tried.clone();
        let turn = self.instances[request.instance].ask(
            index as u64,
            request.team,
            deadline,
            &tried,
            draw,
            now,
        );
        match turn {
            Turn::Now(choice) => self.send(index, &choice),
            Turn::Wait => self.pump_later(request.instance),
            Turn::Refused if self.progress[index].attempts == 0 => {
                self.progress[index].done = true;
                self.outcome.refused += 1;
            }
            Turn::Refused => self.fail(index),
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
        let far = data_centre(runner) != data_centre(request.instance);
        let way_us = if far { HOP_US } else { NEAR_US };
        self.outcome.spilled += u64::from(far);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request: index,
            runner,
            begun_us: self.now_us,
            way_us,
            open: true,
            hanging: false,
        });
        let progress = &mut self.progress[index];
        progress.attempts += 1;
        progress.tried.push(choice.endpoint.clone());
        progress.open.push(attempt);
        if progress.attempts > 1 {
            self.outcome.retries += 1;
        }
        self.at(self.now_us + way_us, Event::Reach(attempt));
        let latency_ms = self.instances[request.instance].latency_ms();
        if let (Some(factor), Some(ms), true) =
            (self.options.hedge_factor, latency_ms, request.idempotent)
        {
            let wait_us = (factor * ms * 1e3) as u64;
            self.at(self.now_us + wait_us, Event::Hedge(attempt));
        }
    }

    fn reach(&mut self, attempt: usize) {
        let Attempt { runner, request, way_us, .. } = self.attempts[attempt];
        let run_us = self.request(request).run_us;
        let back_us = self.now_us + way_us;
        match self.runners[runner].take(run_us) {
            Taken::Runs(run_us) => {
                self.at(self.now_us + run_us, Event::End(attempt));
            }
            Taken::Refused { collision } => {
                self.outcome.collisions += u64::from(collision);
                self.at(back_us, Event::Answer(attempt, Answer::Refused));
            }
            Taken::Fails => {
                self.at(back_us, Event::Answer(attempt, Answer::Failed));
            }
            Taken::Hangs => self.attempts[attempt].hanging = true,
        }
    }

    fn end(&mut self, attempt: usize) {
        let Attempt { runner, way_us, .. } = self.attempts[attempt];
        self.runners[runner].end();
        let load = self.runners[runner].busy;
        let back_us = self.now_us + way_us;
        self.at(back_us, Event::Answer(attempt, Answer::Whole(load)));
    }

    /// Closes an attempt; false where it was closed before.
    fn close(&mut self, attempt: usize, outcome: Outcome) -> bool {
        if !std::mem::take(&mut self.attempts[attempt].open) {
            return false;
        }
        let Attempt { request, runner, .. } = self.attempts[attempt];
        if std::mem::take(&mut self.attempts[attempt].hanging) {
            // The runner sees the connection close.
            self.runners[runner].end();
        }
        self.progress[request].open.retain(|open| *open != attempt);
        let (now, instance) = (self.now(), self.request(request).instance);
        self.instances[instance].finish(&endpoint(runner), outcome, now);
        true
    }

    fn answer(&mut self, attempt: usize, answer: Answer) {
        let Attempt { request: index, begun_us, .. } = self.attempts[attempt];
        let latency_ms = (self.now_us - begun_us) / 1_000;
        let outcome = match answer {
            Answer::Whole(load) => {
                Outcome::Answered { latency_ms, load: Some(load) }
            }
            Answer::Refused => Outcome::Refused,
            Answer::Failed => Outcome::Failed,
        };
        if !self.close(attempt, outcome) {
            return;
        }
        match answer {
            Answer::Whole(_) => self.complete(index),
            Answer::Refused => self.retry(index, ErrorKind::Overloaded),
            Answer::Failed => self.retry(index, ErrorKind::RunnerFailed),
        }
        self.pump(self.request(index).instance);
    }

    fn complete(&mut self, index: usize) {
        let request = self.request(index);
        self.progress[index].done = true;
        for other in std::mem::take(&mut self.progress[index].open) {
            self.close(other, Outcome::Abandoned);
        }
        self.outcome.latencies_us.push(self.now_us - request.arrival_us);
        self.outcome.answered_at_us.push(self.now_us);
        self.outcome.answered_by_team[request.team] += 1;
    }

    fn retry(&mut self, index: usize, failure: ErrorKind) {
        if self.progress[index].done || !self.progress[index].open.is_empty() {
            return;
        }
        let request = self.request(index);
        let question = FailedAttempt {
            failure,
            idempotent: request.idempotent,
            replayable: true,
            attempts: self.progress[index].attempts,
            deadline: self.deadline(index),
        };
        let now = self.now();
        let decision = self.spend(request.instance, |budget| {
            decide_retry(&question, budget, now)
        });
        match decision {
            RetryDecision::Retry => self.ask(index),
            _ => self.fail(index),
        }
    }

    /// Runs `f` on an instance's budget, or on a full one without budgets.
    fn spend<T>(
        &mut self,
        instance: usize,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        match self.options.retry_budget {
            true => f(&mut self.instances[instance].budget),
            false => f(&mut RetryBudget::new()),
        }
    }

    fn hedge(&mut self, attempt: usize) {
        let Attempt { request: index, open, .. } = self.attempts[attempt];
        if !open || self.progress[index].attempts > 1 {
            return;
        }
        let instance = self.request(index).instance;
        let (draw, now) = (self.rng.next_u64(), self.now());
        let tried = self.progress[index].tried.clone();
        let router = &self.instances[instance].router;
        let Some(choice) = router.choose(&tried, 0, draw, now) else { return };
        if self.spend(instance, RetryBudget::try_spend) {
            self.instances[instance].router.begin(&choice.endpoint, now);
            self.send(index, &choice);
        }
    }

    fn give_up(&mut self, index: usize) {
        if self.progress[index].done {
            return;
        }
        let request = self.request(index);
        self.fail(index);
        let waited = self.instances[request.instance]
            .give_up(index as u64, request.team);
        self.outcome.late += u64::from(waited);
        for attempt in std::mem::take(&mut self.progress[index].open) {
            let begun_us = self.attempts[attempt].begun_us;
            let waited_ms = (self.now_us - begun_us) / 1_000;
            self.close(attempt, Outcome::TimedOut { waited_ms });
        }
        self.pump(request.instance);
    }

    fn pump(&mut self, instance: usize) {
        loop {
            let (draw, now) = (self.rng.next_u64(), self.now());
            let trace = self.trace;
            let turn = self.instances[instance].next_turn(
                |request| trace.requests[request as usize].team,
                draw,
                now,
            );
            match turn {
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
            self.pump_later(instance);
        }
    }

    fn pump_later(&mut self, instance: usize) {
        if !std::mem::replace(&mut self.instances[instance].pumped, true) {
            self.at(self.now_us + PUMP_US, Event::Pump(instance));
        }
    }
}
