use std::collections::VecDeque;

use super::{JournalOptions, Record, SegmentKey};
use crate::{
    Epoch, Error, ErrorKind, Result, ShardId, TimeMs,
    ownership::owner_key,
    table::{
        Backoff, CommitAnswer, Row, Settled, Settlement, SettlementStep,
        StoreFault, Transaction,
    },
};

/// The first bound of the wait before a segment is sent again.
const RESEND_BASE_MS: u64 = 50;
/// The last bound of the wait before a segment is sent again.
const RESEND_CAP_MS: u64 = 2_000;

/// The place of a record in the order of the journal.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// Something to do for the journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalEffect {
    /// Send a transaction and feed its answer to [`Journal::on_commit`].
    Commit(Transaction),
    /// Read a row and feed the answer to [`Journal::on_read`].
    Read(String),
    /// Every record up to this ticket is durable.
    Durable {
        /// The last ticket.
        through: Ticket,
        /// The segment that holds it.
        segment: SegmentKey,
    },
    /// Another owner has taken over; what was not durable never will be.
    Fenced,
}

/// The journal of one ownership of a shard.
///
/// It holds one segment under way and the records that wait behind it, so
/// that a slow store makes segments larger and not more frequent.
#[derive(Clone, Debug)]
pub struct Journal {
    shard: ShardId,
    epoch: Epoch,
    owner_version: u64,
    options: JournalOptions,
    sequence: u64,
    waiting: VecDeque<Waiting>,
    waiting_bytes: usize,
    /// The number of waiting records whose durability somebody awaits.
    awaited: usize,
    next_ticket: u64,
    in_flight: Option<InFlight>,
    flushed_at: Option<TimeMs>,
    /// When the next segment would leave at the mean pace.
    paced_at: TimeMs,
    backoff: Backoff,
    fenced: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    record: Record,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct InFlight {
    settlement: Settlement,
    through: Ticket,
    segment: SegmentKey,
    step: InFlightStep,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum InFlightStep {
    /// An answer is awaited.
    Sent,
    /// The transaction is to be sent again.
    ResendAt(TimeMs),
    /// The row is to be read.
    ReadAt(TimeMs, String),
}

impl Journal {
    /// Returns the empty journal of an ownership.
    pub fn new(
        shard: ShardId,
        epoch: Epoch,
        owner_version: u64,
        options: JournalOptions,
    ) -> Journal {
        Journal {
            shard,
            epoch,
            owner_version,
            options,
            sequence: 0,
            waiting: VecDeque::new(),
            waiting_bytes: 0,
            awaited: 0,
            next_ticket: 1,
            in_flight: None,
            flushed_at: None,
            paced_at: TimeMs::ZERO,
            backoff: Backoff::new(RESEND_BASE_MS, RESEND_CAP_MS),
            fenced: false,
        }
    }

    /// Returns whether new work can be taken in.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StoreUnavailable`] where the store is away and as much
    /// as allowed waits for it, and [`ErrorKind::NotOwner`] after another
    /// owner took over.
    pub fn admit(&self) -> Result<()> {
        if self.fenced {
            return Err(Error::new(
                ErrorKind::NotOwner,
                format!("shard {} has another owner", self.shard),
            ));
        }
        if self.waiting_bytes >= self.options.waiting_bytes {
            return Err(Error::new(
                ErrorKind::StoreUnavailable,
                format!(
                    "{} bytes wait for the table, at most {} may",
                    self.waiting_bytes, self.options.waiting_bytes
                ),
            ));
        }
        Ok(())
    }

    /// Adds a record. New work is refused by [`Journal::admit`] before;
    /// what follows from accepted work is always taken in, and is bounded
    /// by it.
    pub fn append(&mut self, record: Record) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let bytes =
            serde_json::to_string(&record).map_or(0, |text| text.len());
        self.waiting_bytes += bytes;
        self.awaited += usize::from(record.is_awaited());
        self.waiting.push_back(Waiting { ticket, record, bytes });
        ticket
    }

    /// Returns the bytes that are not durable yet.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Returns whether every record is durable.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// Returns whether another owner took over.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the failures of the store in a row.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Sends what is due. It is called after each append and on a timer.
    pub fn poll(&mut self, now: TimeMs) -> Vec<JournalEffect> {
        if self.fenced {
            return Vec::new();
        }
        let Some(in_flight) = &mut self.in_flight else {
            return self.flush(now);
        };
        match in_flight.step.clone() {
            InFlightStep::ResendAt(at) if now >= at => {
                in_flight.step = InFlightStep::Sent;
                let transaction = in_flight.settlement.transaction().clone();
                vec![JournalEffect::Commit(transaction)]
            }
            InFlightStep::ReadAt(at, key) if now >= at => {
                in_flight.step = InFlightStep::Sent;
                vec![JournalEffect::Read(key)]
            }
            _ => Vec::new(),
        }
    }

    /// Returns when [`Journal::poll`] has something to do, where it has.
    pub fn due_at(&self, now: TimeMs) -> Option<TimeMs> {
        match self.in_flight.as_ref().map(|in_flight| &in_flight.step) {
            Some(InFlightStep::Sent) => None,
            Some(InFlightStep::ResendAt(at) | InFlightStep::ReadAt(at, _)) => {
                Some(*at)
            }
            None if self.waiting.is_empty() => None,
            None => Some(self.flush_at(now)),
        }
    }

    fn flush_at(&self, now: TimeMs) -> TimeMs {
        let flush_ms = self.options.flush_ms;
        let soonest = self.flushed_at.map_or(now, |at| at.plus_ms(flush_ms));
        if self.awaited > 0 {
            return soonest;
        }
        let ahead_ms = self.options.batch_ms * self.options.burst_segments;
        let paced = self.paced_at.as_ms().saturating_sub(ahead_ms);
        soonest.max(TimeMs::from_ms(paced))
    }

    fn flush(&mut self, now: TimeMs) -> Vec<JournalEffect> {
        if self.waiting.is_empty() || now < self.flush_at(now) {
            return Vec::new();
        }
        let (records, through) = self.take_segment();
        self.sequence += 1;
        let segment =
            SegmentKey { epoch: self.epoch, sequence: self.sequence };
        let key = segment.row_key(self.shard);
        let transaction = Transaction::new(key.clone())
            .require(owner_key(self.shard), self.owner_version)
            .require(key.clone(), 0)
            .put(key, &records);
        self.advance_pace(now);
        self.flushed_at = Some(now);
        self.in_flight = Some(InFlight {
            settlement: Settlement::new(transaction.clone()),
            through,
            segment,
            step: InFlightStep::Sent,
        });
        vec![JournalEffect::Commit(transaction)]
    }

    /// Counts a segment towards the mean pace. Awaited records may exceed
    /// it, but hold others up for no longer than one interval.
    fn advance_pace(&mut self, now: TimeMs) {
        let batch_ms = self.options.batch_ms;
        let max_ahead_ms = batch_ms * (self.options.burst_segments + 1);
        let next = self.paced_at.max(now).plus_ms(batch_ms);
        self.paced_at = next.min(now.plus_ms(max_ahead_ms));
    }

    fn take_segment(&mut self) -> (Vec<Record>, Ticket) {
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut through = Ticket(0);
        while let Some(next) = self.waiting.front() {
            let full = records.len() >= self.options.segment_records
                || bytes + next.bytes > self.options.segment_bytes;
            if full && !records.is_empty() {
                break;
            }
            bytes += next.bytes;
            through = next.ticket;
            if let Some(next) = self.waiting.pop_front() {
                self.awaited -= usize::from(next.record.is_awaited());
                records.push(next.record);
            }
        }
        self.waiting_bytes -= bytes;
        (records, through)
    }

    /// Takes the answer to a [`JournalEffect::Commit`]; `draw` is a random
    /// number from 0 up to 1, for the back-off.
    pub fn on_commit(
        &mut self,
        answer: std::result::Result<CommitAnswer, StoreFault>,
        draw: f64,
        now: TimeMs,
    ) -> Vec<JournalEffect> {
        let failed = answer.is_err();
        let Some(in_flight) = &mut self.in_flight else { return Vec::new() };
        let step = in_flight.settlement.on_commit(answer);
        self.take_step(step, failed, draw, now)
    }

    /// Takes the answer to a [`JournalEffect::Read`].
    pub fn on_read(
        &mut self,
        answer: std::result::Result<Option<Row>, StoreFault>,
        draw: f64,
        now: TimeMs,
    ) -> Vec<JournalEffect> {
        let failed = answer.is_err();
        let Some(in_flight) = &mut self.in_flight else { return Vec::new() };
        let step = in_flight.settlement.on_read(answer);
        self.take_step(step, failed, draw, now)
    }

    fn take_step(
        &mut self,
        step: SettlementStep,
        failed: bool,
        draw: f64,
        now: TimeMs,
    ) -> Vec<JournalEffect> {
        let wait_ms = if failed { self.backoff.fail(draw) } else { 0 };
        let at = now.plus_ms(wait_ms);
        match step {
            SettlementStep::Resend => {
                self.wait(InFlightStep::ResendAt(at), now)
            }
            SettlementStep::Read(key) => {
                self.wait(InFlightStep::ReadAt(at, key), now)
            }
            SettlementStep::Done(Settled::Committed { .. }) => {
                self.finish_segment(now)
            }
            SettlementStep::Done(Settled::Conflict { .. }) => {
                self.fenced = true;
                self.in_flight = None;
                vec![JournalEffect::Fenced]
            }
        }
    }

    fn wait(&mut self, step: InFlightStep, now: TimeMs) -> Vec<JournalEffect> {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.step = step;
        }
        self.poll(now)
    }

    fn finish_segment(&mut self, now: TimeMs) -> Vec<JournalEffect> {
        self.backoff.succeed();
        let Some(in_flight) = self.in_flight.take() else { return Vec::new() };
        let mut effects = vec![JournalEffect::Durable {
            through: in_flight.through,
            segment: in_flight.segment,
        }];
        effects.extend(self.poll(now));
        effects
    }
}
