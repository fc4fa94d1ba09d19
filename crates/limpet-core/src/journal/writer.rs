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

/// The initial bound of the back-off before a segment is sent again.
const RESEND_BASE_MS: u64 = 50;
/// The largest bound of the back-off before a segment is sent again.
const RESEND_CAP_MS: u64 = 2_000;

/// The position of a record in a [`Journal`], by which its caller learns when
/// the record is durable.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// An action that a [`Journal`] asks its caller to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JournalEffect {
    /// Send a transaction and pass the result to [`Journal::on_commit`].
    Commit(Transaction),
    /// Read the row with this key and pass the result to
    /// [`Journal::on_read`].
    Read(String),
    /// Every record up to and including this ticket is durable.
    Durable {
        /// The ticket of the last durable record.
        through: Ticket,
        /// The segment that holds that record.
        segment: SegmentKey,
    },
    /// Another instance has taken the shard over. Records that aren't
    /// durable now never will be.
    Fenced,
}

/// The writer of the journal for one ownership of a shard.
///
/// There is never more than one segment in flight. Further records wait and
/// form the next segment, so that a slow table leads to larger segments and
/// not to more of them.
#[derive(Clone, Debug)]
pub struct Journal {
    shard: ShardId,
    epoch: Epoch,
    owner_version: u64,
    options: JournalOptions,
    /// The number of the last segment that was sent, 0 before the first.
    sequence: u64,
    waiting: VecDeque<Waiting>,
    waiting_bytes: usize,
    /// The number of waiting records for which [`Record::is_awaited`] holds.
    awaited: usize,
    next_ticket: u64,
    in_flight: Option<InFlight>,
    flushed_at: Option<TimeMs>,
    /// When the next segment is due at the mean rate.
    paced_at: TimeMs,
    backoff: Backoff,
    fenced: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    record: Record,
    /// The length of the record's JSON text.
    bytes: usize,
}

/// The segment that was sent and isn't known to be durable yet.
#[derive(Clone, Debug)]
struct InFlight {
    settlement: Settlement,
    through: Ticket,
    segment: SegmentKey,
    step: InFlightStep,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum InFlightStep {
    /// A transaction or a read was sent and has not been answered.
    Sent,
    /// The transaction is to be sent again at this time.
    ResendAt(TimeMs),
    /// The row with this key is to be read at this time.
    ReadAt(TimeMs, String),
}

impl Journal {
    /// Returns the empty journal of an ownership that began with `epoch`.
    /// Its segments are conditioned on `owner_version`, the version of the
    /// shard's owner row.
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

    /// Checks whether new work may be accepted.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotOwner`] after another instance has taken the shard
    /// over, and [`ErrorKind::StoreUnavailable`] if
    /// [`JournalOptions::waiting_bytes`] or more are waiting for the table.
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
                    "{} bytes of records are waiting for the table; new work \
                     is refused from {} bytes",
                    self.waiting_bytes, self.options.waiting_bytes
                ),
            ));
        }
        Ok(())
    }

    /// Adds a record and returns its ticket.
    ///
    /// The caller checks [`Journal::admit`] before it accepts new work.
    /// Records that follow from accepted work are always added; their number
    /// is bounded by the accepted work.
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

    /// Returns the bytes of the records that wait to be sent.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Returns whether every record is durable.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    /// Returns whether another instance has taken the shard over.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Returns the number of consecutive failures of the table.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Returns the transaction or the read that is due. It is called after
    /// each append and at the time that [`Journal::due_at`] returns.
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

    /// Returns when [`Journal::poll`] is to be called next; `None` while an
    /// answer is outstanding or no record waits.
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

    /// Returns the earliest time at which the next segment may be sent.
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

    /// Sends the next segment if one is due.
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

    /// Counts a segment towards the mean rate. Segments with awaited records
    /// may exceed the rate, but delay a later segment without any by no more
    /// than one interval.
    fn advance_pace(&mut self, now: TimeMs) {
        let batch_ms = self.options.batch_ms;
        let max_ahead_ms = batch_ms * (self.options.burst_segments + 1);
        let next = self.paced_at.max(now).plus_ms(batch_ms);
        self.paced_at = next.min(now.plus_ms(max_ahead_ms));
    }

    /// Removes the records of the next segment from the waiting ones, and
    /// returns them with the ticket of the last.
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

    /// Applies the result of a [`JournalEffect::Commit`]. `draw` is a random
    /// number from 0 up to, but not including, 1 for the back-off.
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

    /// Applies the result of a [`JournalEffect::Read`]. `draw` is a random
    /// number from 0 up to, but not including, 1 for the back-off.
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

    /// Carries out a step of the settlement: sends the transaction or the
    /// read, after a back-off if the last call failed, or applies the outcome.
    /// A conflict means that another instance has taken the shard over.
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

    /// Sets the step of the segment in flight, and carries it out if it is
    /// due.
    fn wait(&mut self, step: InFlightStep, now: TimeMs) -> Vec<JournalEffect> {
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.step = step;
        }
        self.poll(now)
    }

    /// Reports the segment in flight as durable, and sends the next one if it
    /// is due.
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
