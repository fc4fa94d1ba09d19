use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use limpet_core::DataCentre;

use super::fault::{Faults, Port};

/// The faults that a stand-in platform injects into calls, and counts of the
/// calls. A clone is another handle to the same faults and counts.
///
/// # Examples
///
/// ```
/// use limpet_standin::platform::{FaultInjector, Faults, Port};
///
/// let faults = FaultInjector::default();
/// let down = Faults { down: true, ..Faults::default() };
/// faults.set(Some(Port::Table), None, down);
/// assert!(faults.get(Port::Table, None).down);
/// assert!(!faults.get(Port::Objects, None).down);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FaultInjector {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    faults: BTreeMap<Scope, Faults>,
    /// The calls that arrived, without those stopped by `down` or `cut`.
    calls: BTreeMap<Port, u32>,
    /// The calls that took effect, with duplicates.
    effects: BTreeMap<Port, u64>,
    /// The bytes of the bodies of requests and answers.
    bytes: BTreeMap<Port, u64>,
}

/// The calls that faults apply to; `None` stands for all.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Scope {
    port: Option<Port>,
    data_centre: Option<DataCentre>,
}

/// The periodic faults of one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct CallFaults {
    /// The answer is lost after the call took effect.
    pub(super) lost: bool,
    /// The call takes effect twice.
    pub(super) duplicate: bool,
    /// The call is held until a later one has taken effect.
    pub(super) reorder: bool,
}

impl FaultInjector {
    /// Sets the faults of calls to a port from a data centre, in place of any
    /// set before with the same arguments. `None` stands for every port, or
    /// for every caller.
    pub fn set(
        &self,
        port: Option<Port>,
        data_centre: Option<DataCentre>,
        faults: Faults,
    ) {
        let scope = Scope { port, data_centre };
        self.with_state(|state| state.faults.insert(scope, faults));
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.with_state(|state| state.faults.clear());
    }

    /// Returns the faults of calls to `port` from `data_centre`: those of all
    /// scopes that apply, merged.
    pub fn get(&self, port: Port, data_centre: Option<&DataCentre>) -> Faults {
        self.with_state(|state| {
            state
                .faults
                .iter()
                .filter(|(scope, _)| scope.covers(port, data_centre))
                .fold(Faults::default(), |sum, (_, faults)| sum.merge(faults))
        })
    }

    /// Counts a call and returns which of the periodic faults it gets.
    pub(super) fn count_call(
        &self,
        port: Port,
        faults: &Faults,
    ) -> CallFaults {
        let count = self.with_state(|state| {
            let count = state.calls.entry(port).or_default();
            *count = count.wrapping_add(1);
            *count
        });
        let is_due = |period: u32| period > 0 && count.is_multiple_of(period);
        CallFaults {
            lost: is_due(faults.lost_every),
            duplicate: is_due(faults.duplicate_every),
            reorder: is_due(faults.reorder_every),
        }
    }

    /// Counts a call that took effect.
    pub(super) fn count_effect(&self, port: Port) {
        self.with_state(|state| *state.effects.entry(port).or_default() += 1);
    }

    /// Returns the number of calls that have arrived, without those that a
    /// `down` or `cut` fault stopped.
    pub fn call_count(&self, port: Port) -> u32 {
        self.with_state(|state| state.calls.get(&port).copied().unwrap_or(0))
    }

    /// Counts the bytes of the bodies of a request and its answer.
    pub(super) fn count_bytes(&self, port: Port, bytes: u64) {
        self.with_state(|state| {
            *state.bytes.entry(port).or_default() += bytes
        });
    }

    /// Returns the bytes of the bodies of all answered requests and their
    /// answers so far, without headers.
    pub fn byte_count(&self, port: Port) -> u64 {
        self.with_state(|state| state.bytes.get(&port).copied().unwrap_or(0))
    }

    /// Returns the number of calls that took effect; a duplicate counts twice.
    pub fn effect_count(&self, port: Port) -> u64 {
        self.with_state(|state| state.effects.get(&port).copied().unwrap_or(0))
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Scope {
    /// Reports whether the scope includes calls to `port` from `data_centre`.
    fn covers(&self, port: Port, data_centre: Option<&DataCentre>) -> bool {
        let same_port = self.port.is_none_or(|own| own == port);
        let same_centre = match &self.data_centre {
            None => true,
            own => own.as_ref() == data_centre,
        };
        same_port && same_centre
    }
}
