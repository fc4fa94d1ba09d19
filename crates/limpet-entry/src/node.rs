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
    accept::Acceptor, clock, metrics::Metrics, owner::Owner,
    owner_view::OwnerView, rows::OwnerRecord, settings::EntrySettings,
};

/// The part of the bound on withdrawn keys after which keyed calls are
/// refused; the rest is for the answer's way and the clocks' grain.
const FRESHNESS_SHARE: f64 = 0.8;

/// The longest time after which a client is told to come back.
const MAX_RETRY_AFTER_S: u64 = 2;
/// The store counts as lost once its calls have failed for so long: a slow
/// store takes up to some 300 ms.
const STORE_LOST_MS: u64 = 400;

/// What the loops of one instance share; all run on one thread.
pub struct Node {
    /// The settings that the process started with.
    pub settings: EntrySettings,
    /// The log.
    pub log: Logger,
    /// The platform's store.
    pub store: Store,
    /// Tells this process from earlier ones on the same machine.
    pub incarnation: u64,
    /// Submissions on their way to the store.
    pub acceptor: Acceptor,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The newest configuration.
    pub config: RefCell<Option<Arc<CellConfig>>>,
    /// When the store last confirmed it, by the time the question was sent.
    pub confirmed_at: Cell<TimeMs>,
    /// Who owns the cell, as it was last seen.
    pub owner_record: RefCell<OwnerRecord>,
    /// The state of ownership, where this instance owns the cell.
    pub owner: RefCell<Option<Rc<Owner>>>,
    /// Whether the process was asked to end.
    pub stopping: Cell<bool>,
    /// Clients' requests without an answer.
    pub in_flight: Cell<u32>,
    owner_peer: RefCell<Option<Rc<HttpPeer>>>,
    owner_view: Cell<OwnerView>,
    /// Rings when the owner gives cause for doubt.
    pub owner_doubted: Notify,
    /// Since when no call of the store succeeded, where the last one failed.
    store_failing_since: Cell<Option<TimeMs>>,
}

impl Node {
    /// Returns the shared state of a process that starts.
    pub fn new(settings: EntrySettings, log: Logger) -> Rc<Node> {
        Rc::new(Node {
            store: Store::new(&settings.store.address),
            incarnation: rand::random(),
            acceptor: Acceptor::default(),
            metrics: Metrics::default(),
            config: RefCell::new(None),
            confirmed_at: Cell::new(TimeMs::ZERO),
            owner_record: RefCell::new(OwnerRecord::default()),
            owner: RefCell::new(None),
            stopping: Cell::new(false),
            in_flight: Cell::new(0),
            owner_peer: RefCell::new(None),
            owner_view: Cell::new(OwnerView::Unknown),
            owner_doubted: Notify::new(),
            store_failing_since: Cell::new(None),
            settings,
            log,
        })
    }

    /// Returns how long ago the store confirmed the configuration.
    pub fn config_age_ms(&self) -> u64 {
        clock::now().ms_since(self.confirmed_at.get())
    }

    /// Says whether the keys of the configuration may admit a call.
    pub fn keys_are_fresh(&self) -> bool {
        let bound = self.settings.bounds.key_freshness_ms as f64;
        self.config.borrow().is_some()
            && (self.config_age_ms() as f64) < bound * FRESHNESS_SHARE
    }

    /// Says whether this instance can serve clients.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.keys_are_fresh() && !self.store_is_lost()
    }

    /// Records whether a call of the store had an answer.
    pub fn note_store(&self, answered: bool) {
        let since = self.store_failing_since.get();
        self.store_failing_since.set(match answered {
            true => None,
            false => since.or_else(|| Some(clock::now())),
        });
    }

    /// Returns when a client that was refused is to come back. Where the
    /// store is lost to this instance alone, another one serves at once;
    /// an outage of the store that has lasted for a while is likely to last
    /// as long again.
    pub fn retry_after_s(&self) -> u64 {
        if self.store_is_lost() && self.is_lost_here_alone() {
            return 0;
        }
        let failing_ms = self
            .store_failing_since
            .get()
            .map_or(0, |at| clock::now().ms_since(at));
        (failing_ms / 1_000).clamp(1, MAX_RETRY_AFTER_S)
    }

    /// Says whether others are known to reach the store. With a silent owner
    /// the whole data centre may be cut off.
    fn is_lost_here_alone(&self) -> bool {
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

    /// Returns how the owner answered on the link last.
    pub fn owner_view(&self) -> OwnerView {
        self.owner_view.get()
    }

    /// Records how the owner of a term answered on the link.
    pub fn note_owner_view(&self, term: u64, view: OwnerView) {
        if self.owner_record.borrow().term != term {
            return;
        }
        let before = self.owner_view.replace(view);
        if view.is_doubtful() && before != view {
            warn!(self.log, "owner: doubted"; "term" => term,
                "view" => ?view);
            self.owner_doubted.notify_one();
        }
    }

    /// Takes in who owns the cell, as the store says.
    pub fn note_owner_record(&self, record: &OwnerRecord) {
        let mut known = self.owner_record.borrow_mut();
        if known.term != record.term {
            self.owner_view.set(OwnerView::Unknown);
        }
        known.clone_from(record);
    }

    /// Says whether the store hasn't answered this instance for a while.
    pub fn store_is_lost(&self) -> bool {
        self.store_failing_since
            .get()
            .is_some_and(|at| clock::now().ms_since(at) >= STORE_LOST_MS)
    }

    /// Returns the owner's state, where this instance owns the cell and has
    /// loaded its jobs.
    pub fn loaded_owner(&self) -> Option<Rc<Owner>> {
        let owner = self.owner.borrow();
        owner.as_ref().filter(|owner| owner.is_loaded()).cloned()
    }

    /// Returns the peer that owns the cell, unless its last answer failed.
    pub fn answering_owner(&self) -> Option<Rc<HttpPeer>> {
        match self.owner_view.get() {
            OwnerView::Silent | OwnerView::Gone => None,
            _ => self.owner_peer(),
        }
    }

    /// Returns the peer that owns the cell; `None` where it is this instance
    /// or nobody.
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
