//! A breadth-first search over all reachable states of a model.
#![allow(dead_code)]

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

/// The result of a search.
pub struct Exploration {
    /// The number of distinct states.
    pub states: usize,
    /// Whether all reachable states were visited.
    pub complete: bool,
    /// The shortest path to a violation: the steps, and the violation last.
    pub counterexample: Option<Vec<String>>,
}

impl Exploration {
    /// Prints the number of states. Panics if there is a counterexample or
    /// if some states were not visited.
    pub fn expect_safe(&self, name: &str) {
        self.expect_safe_so_far(name);
        assert!(self.complete, "{name}: some states were not visited");
    }

    /// Prints the number of states. Panics if there is a counterexample among
    /// the visited states, which are those nearest to the start.
    pub fn expect_safe_so_far(&self, name: &str) {
        println!("{name}: {} states, all: {}", self.states, self.complete);
        assert!(self.states > 1_000, "the model is too small");
        if let Some(steps) = &self.counterexample {
            panic!("{name}:\n{}", steps.join("\n"));
        }
    }

    /// Prints the counterexample and returns its steps. Panics if there is
    /// none.
    pub fn expect_violation(&self, name: &str) -> &[String] {
        let steps = self.counterexample.as_ref();
        let steps = steps.unwrap_or_else(|| {
            panic!("{name}: no violation in {} states", self.states)
        });
        println!("{name}: {} states\n{}", self.states, steps.join("\n"));
        steps
    }
}

struct Node<S> {
    state: S,
    parent: usize,
    step: String,
}

/// Visits the states that are reachable from `start` by `next`, nearest
/// first. Stops at the first state for which `check` fails, or once
/// `max_states` states were found.
///
/// States are compared by a 128-bit digest.
pub fn explore<S: Clone + Hash>(
    start: S,
    next: impl Fn(&S) -> Vec<(String, S)>,
    check: impl Fn(&S) -> Result<(), String>,
    max_states: usize,
) -> Exploration {
    let mut seen = HashSet::from([digest(&start)]);
    let mut nodes =
        vec![Node { state: start, parent: 0, step: String::new() }];
    let mut idx = 0;
    while idx < nodes.len() && nodes.len() < max_states {
        for (step, state) in next(&nodes[idx].state) {
            if !seen.insert(digest(&state)) {
                continue;
            }
            let violation = check(&state).err();
            nodes.push(Node { state, parent: idx, step });
            if let Some(violation) = violation {
                let mut steps = path(&nodes);
                steps.push(violation);
                return Exploration {
                    states: nodes.len(),
                    complete: false,
                    counterexample: Some(steps),
                };
            }
        }
        idx += 1;
    }
    Exploration {
        states: nodes.len(),
        complete: idx == nodes.len(),
        counterexample: None,
    }
}

fn path<S>(nodes: &[Node<S>]) -> Vec<String> {
    let mut steps = Vec::new();
    let mut idx = nodes.len() - 1;
    while idx > 0 {
        steps.push(nodes[idx].step.clone());
        idx = nodes[idx].parent;
    }
    steps.reverse();
    steps
}

fn digest<S: Hash>(state: &S) -> (u64, u64) {
    let mut first = DefaultHasher::new();
    state.hash(&mut first);
    let mut second = first.clone();
    second.write_u8(1);
    state.hash(&mut second);
    (first.finish(), second.finish())
}
