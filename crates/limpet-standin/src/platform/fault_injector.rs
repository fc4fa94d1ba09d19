use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
};

use limpet_core::DataCentre;

use super::fault::{Faults, Port};

/// The fault switches of a stand-in platform. A clone is a handle on the
/// same switches.
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
    switches: BTreeMap<Scope, Faults>,
    calls: BTreeMap<Port, u32>,
    effects: BTreeMap<Port, u64>,
    bytes: BTreeMap<Port, u64>,
}

/// The calls that a switch applies to: `None` stands for all.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Scope {
    port: Option<Port>,
    data_centre: Option<DataCentre>,
}

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct CallFaults {
    pub(super) lost: bool,
    pub(super) duplicate: bool,
    pub(super) reorder: bool,
}

impl FaultInjector {
    /// Sets what goes wrong with the calls of a port from a data centre;
    /// `None` stands for every port or data centre.
    pub fn set(
        &self,
        port: Option<Port>,
        data_centre: Option<DataCentre>,
        faults: Faults,
    ) {
        let scope = Scope { port, data_centre };
        self.with(|state| state.switches.insert(scope, faults));
    }

    /// Takes all faults back.
    pub fn clear(&self) {
        self.with(|state| state.switches.clear());
    }

    /// Returns what goes wrong with a call to `port` from `data_centre`.
    pub fn get(&self, port: Port, data_centre: Option<&DataCentre>) -> Faults {
        self.with(|state| {
            state
                .switches
                .iter()
                .filter(|(scope, _)| scope.covers(port, data_centre))
                .fold(Faults::default(), |sum, (_, faults)| sum.and(faults))
        })
    }

    /// Counts a call and returns which periodic faults it meets.
    pub(super) fn count_call(
        &self,
        port: Port,
        faults: &Faults,
    ) -> CallFaults {
        let count = self.with(|state| {
            let count = state.calls.entry(port).or_default();
            *count = count.wrapping_add(1);
            *count
        });
        let meets = |period: u32| period > 0 && count.is_multiple_of(period);
        CallFaults {
            lost: meets(faults.lost_every),
            duplicate: meets(faults.duplicate_every),
            reorder: meets(faults.reorder_every),
        }
    }

    /// Counts a call that took effect.
    pub(super) fn count_effect(&self, port: Port) {
        self.with(|state| *state.effects.entry(port).or_default() += 1);
    }

    /// Returns how many calls have arrived.
    pub fn call_count(&self, port: Port) -> u32 {
        self.with(|state| state.calls.get(&port).copied().unwrap_or(0))
    }

    /// Counts the bytes of a call's bodies, there and back.
    pub(super) fn count_bytes(&self, port: Port, bytes: u64) {
        self.with(|state| *state.bytes.entry(port).or_default() += bytes);
    }

    /// Returns the bytes of the bodies of all calls so far, there and back,
    /// without headers.
    pub fn byte_count(&self, port: Port) -> u64 {
        self.with(|state| state.bytes.get(&port).copied().unwrap_or(0))
    }

    /// Returns how many calls took effect.
    pub fn effect_count(&self, port: Port) -> u64 {
        self.with(|state| state.effects.get(&port).copied().unwrap_or(0))
    }

    fn with<T>(&self, run: impl FnOnce(&mut State) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Scope {
    fn covers(&self, port: Port, data_centre: Option<&DataCentre>) -> bool {
        let same_port = self.port.is_none_or(|of| of == port);
        let same_centre = match &self.data_centre {
            None => true,
            of => of.as_ref() == data_centre,
        };
        same_port && same_centre
    }
}
