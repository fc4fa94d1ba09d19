//! The state that all tasks of an entry instance share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use limpet_adapter::{HttpPeer, Store};
use limpet_core::TimeMs;
use limpet_workflow::CellConfig;
use slog::{Logger, warn};
use tokio::sync::Notify;

use crate::{
    accept::Acceptor, clock, evacuation_rows::EvacuationRows,
    metrics::Metrics, owner::Owner, owner_record::OwnerRecord,
    owner_view::OwnerView, settings::EntrySettings,
};

/// The fraction of `bounds.key_freshness_ms` after which requests with a key
/// are refused. The rest allows for network delay and clock granularity.
const FRESHNESS_SHARE: f64 = 0.8;

/// The fraction of `bounds.evacuate_ms` for which an owner starts tasks
/// without a confirmation of the evacuations. The rest allows for orders that
/// are being sent and for an earlier owner's that its successor stops.
const EVACUATION_FRESHNESS_SHARE: f64 = 0.6;

/// The maximum value of the `retry-after` header.
const MAX_RETRY_AFTER_S: u64 = 2;
/// How long calls of the store have to fail until it counts as lost. A slow
/// store takes up to about 300 ms for a call.
const STORE_LOST_MS: u64 = 400;
/// How long calls of the store have to fail to count as an outage, after which
/// the rows of workers may be outdated.
const OUTAGE_MS: u64 = 1_000;

/// An outage of the store, as far as this instance has seen it.
#[derive(Clone, Copy, Debug)]
struct StoreOutage {
    since: TimeMs,
    /// When a call last failed.
    failed_at: TimeMs,
}

/// The state that all tasks of an instance share. They run on one thread.
pub struct Node {
    /// The settings that the process started with.
    pub settings: EntrySettings,
    /// The log.
    pub log: Logger,
    /// The platform's store.
    pub store: Store,
    /// A random number that distinguishes this process from earlier ones of
    /// the same instance.
    pub incarnation: u64,
    /// Submissions that are being written to the store.
    pub acceptor: Acceptor,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The latest configuration; `None` until it was read.
    pub config: RefCell<Option<Arc<CellConfig>>>,
    /// The evacuated data centres.
    pub evacuations: RefCell<EvacuationRows>,
    /// When the latest call was sent with which the store confirmed `config`
    /// and `evacuations`.
    pub confirmed_at: Cell<TimeMs>,
    /// The latest known owner of the cell.
    pub owner_record: RefCell<OwnerRecord>,
    /// The state of the ownership, if this instance owns the cell.
    pub owner: RefCell<Option<Rc<Owner>>>,
    /// Whether a takeover has been sent to the store and may have succeeded.
    pub taking_over: Cell<bool>,
    /// Whether the process was asked to shut down.
    pub stopping: Cell<bool>,
    /// The number of requests of clients in progress.
    pub in_flight: Cell<u32>,
    /// The client of the owner's link address.
    owner_peer: RefCell<Option<Rc<HttpPeer>>>,
    /// What the latest reply on the link showed about the owner.
    owner_view: Cell<OwnerView>,
    /// Notified when the owner becomes suspect.
    pub owner_suspected: Notify,
    /// When the store last answered a call.
    store_answered_at: Cell<TimeMs>,
    /// Since when all calls of the store have failed; `None` if the latest one
    /// succeeded.
    store_failing_since: Cell<Option<TimeMs>>,
    /// The latest outage of the store.
    store_outage: Cell<Option<StoreOutage>>,
}

impl Node {
    /// Returns the initial state.
    pub fn new(settings: EntrySettings, log: Logger) -> Rc<Node> {
        Rc::new(Node {
            store: Store::new(&settings.store.address),
            incarnation: rand::random(),
            acceptor: Acceptor::default(),
            metrics: Metrics::default(),
            config: RefCell::new(None),
            evacuations: RefCell::new(EvacuationRows::default()),
            confirmed_at: Cell::new(TimeMs::ZERO),
            owner_record: RefCell::new(OwnerRecord::default()),
            owner: RefCell::new(None),
            taking_over: Cell::new(false),
            stopping: Cell::new(false),
            in_flight: Cell::new(0),
            owner_peer: RefCell::new(None),
            owner_view: Cell::new(OwnerView::Unknown),
            owner_suspected: Notify::new(),
            store_answered_at: Cell::new(TimeMs::ZERO),
            store_failing_since: Cell::new(None),
            store_outage: Cell::new(None),
            settings,
            log,
        })
    }

    /// Returns the time since the store last confirmed the configuration.
    pub fn config_age_ms(&self) -> u64 {
        clock::now().ms_since(self.confirmed_at.get())
    }

    /// Returns whether the API keys were confirmed recently enough to admit
    /// requests.
    pub fn keys_are_fresh(&self) -> bool {
        let bound = self.settings.bounds.key_freshness_ms as f64;
        self.config.borrow().is_some()
            && (self.config_age_ms() as f64) < bound * FRESHNESS_SHARE
    }

    /// Returns whether the evacuations were confirmed recently enough to start
    /// tasks.
    pub fn evacuations_are_fresh(&self) -> bool {
        self.settings.bounds.evacuate_ms.is_none_or(|bound| {
            (self.config_age_ms() as f64)
                < bound as f64 * EVACUATION_FRESHNESS_SHARE
        })
    }

    /// Returns whether this instance can serve clients.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.keys_are_fresh() && !self.store_is_lost()
    }

    /// Records whether a call of the store succeeded.
    pub fn record_store_call(&self, answered: bool) {
        if answered {
            self.store_answered_at.set(clock::now());
            self.store_failing_since.set(None);
        } else {
            self.record_store_silence(clock::now());
        }
    }

    /// Records that calls of the store which were sent since `sent_at` have
    /// had no answer.
    pub fn record_store_silence(&self, sent_at: TimeMs) {
        let since = sent_at.max(self.store_answered_at.get());
        let since = self.store_failing_since.get().unwrap_or(since);
        self.store_failing_since.set(Some(since));
        let now = clock::now();
        if now.ms_since(since) >= OUTAGE_MS {
            let outage = StoreOutage { since, failed_at: now };
            self.store_outage.set(Some(outage));
        }
    }

    /// Returns when the latest outage of the store began, if it was seen less
    /// than `within_ms` ago.
    pub fn recent_store_outage(&self, within_ms: u64) -> Option<TimeMs> {
        self.store_outage
            .get()
            .filter(|seen| clock::now().ms_since(seen.failed_at) < within_ms)
            .map(|outage| outage.since)
    }

    /// Returns the time after which a refused client should retry: 0 if
    /// another instance can serve it at once. Otherwise the age of the outage,
    /// which is likely to last as long again, but at least 1 s and at most
    /// [`MAX_RETRY_AFTER_S`].
    pub fn retry_after_s(&self) -> u64 {
        if self.store_is_lost() && self.is_store_reachable_elsewhere() {
            return 0;
        }
        let failing_ms = self
            .store_failing_since
            .get()
            .map_or(0, |at| clock::now().ms_since(at));
        (failing_ms / 1_000).clamp(1, MAX_RETRY_AFTER_S)
    }

    /// Returns whether other instances are known to reach the store. An owner
    /// that does not reply proves nothing: the network of this data centre may
    /// be disconnected.
    fn is_store_reachable_elsewhere(&self) -> bool {
        if self.owner.borrow().is_some() {
            return false;
        }
        match self.owner_view.get() {
            OwnerView::Unknown | OwnerView::StoreLost | OwnerView::Silent => {
                false
            }
            OwnerView::Gone => true,
            OwnerView::StoreAnswers(at) => self
                .store_failing_since
                .get()
                .is_some_and(|since| at.ms_since(since) >= STORE_LOST_MS),
        }
    }

    /// Returns what the latest reply on the link showed about the owner.
    pub fn owner_view(&self) -> OwnerView {
        self.owner_view.get()
    }

    /// Records what a reply on the link showed about the owner of a term. A
    /// reply for another term than the known owner's is ignored.
    pub fn record_owner_view(&self, term: u64, view: OwnerView) {
        if self.owner_record.borrow().term != term {
            return;
        }
        let before = self.owner_view.replace(view);
        if view.is_suspect() && before != view {
            warn!(self.log, "owner: suspect; another instance may take over";
                "term" => term, "view" => ?view);
            self.owner_suspected.notify_one();
        }
    }

    /// Records the owner of the cell, as stored.
    pub fn set_owner_record(&self, record: &OwnerRecord) {
        let mut known = self.owner_record.borrow_mut();
        if known.term != record.term {
            self.owner_view.set(OwnerView::Unknown);
        }
        known.clone_from(record);
    }

    /// Returns whether all calls of the store have failed for at least
    /// [`STORE_LOST_MS`].
    pub fn store_is_lost(&self) -> bool {
        self.store_failing_since
            .get()
            .is_some_and(|at| clock::now().ms_since(at) >= STORE_LOST_MS)
    }

    /// Returns the state of the ownership, if this instance owns the cell and
    /// has loaded its jobs.
    pub fn loaded_owner(&self) -> Option<Rc<Owner>> {
        let owner = self.owner.borrow();
        owner.as_ref().filter(|owner| owner.is_loaded()).cloned()
    }

    /// Returns the peer that owns the cell, unless its latest reply failed.
    pub fn answering_owner(&self) -> Option<Rc<HttpPeer>> {
        match self.owner_view.get() {
            OwnerView::Silent | OwnerView::Gone => None,
            _ => self.owner_peer(),
        }
    }

    /// Returns the peer that owns the cell; `None` if there is no owner or it
    /// is this instance.
    pub fn owner_peer(&self) -> Option<Rc<HttpPeer>> {
        let record = self.owner_record.borrow();
        if record.released
            || record.link_address.is_empty()
            || record.link_address == self.settings.instance.link_address
        {
            return None;
        }
        let mut peer = self.owner_peer.borrow_mut();
        if peer.as_ref().is_none_or(|p| p.address() != record.link_address) {
            *peer = Some(Rc::new(HttpPeer::new(&record.link_address)));
        }
        peer.clone()
    }
}
