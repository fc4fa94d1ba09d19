//! A breadth-first search over all states that a model can reach.

use std::{
    collections::HashSet,
    hash::{DefaultHasher, Hash, Hasher},
};

/// What a search found.
pub struct Exploration {
    /// The number of different states.
    pub states: usize,
    /// The shortest way to a broken promise: the steps and what broke.
    pub counterexample: Option<Vec<String>>,
}

impl Exploration {
    /// Prints the number of states and panics on a counterexample.
    pub fn expect_safe(&self, name: &str) {
        println!("{name}: {} states", self.states);
        assert!(self.states > 1_000, "the model is too small");
        if let Some(steps) = &self.counterexample {
            panic!("{name}:\n{}", steps.join("\n"));
        }
    }

    /// Prints the counterexample and panics where there is none.
    pub fn expect_broken(&self, name: &str) -> &[String] {
        let steps = self.counterexample.as_ref();
        let steps = steps.unwrap_or_else(|| {
            panic!("{name}: nothing broke in {} states", self.states)
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

/// Visits every state that `next` leads to from `start`, nearest first, and
/// stops at the first one that `check` refuses.
///
/// States are told apart by a digest of 128 bits.
pub fn explore<S: Clone + Hash>(
    start: S,
    next: impl Fn(&S) -> Vec<(String, S)>,
    check: impl Fn(&S) -> Result<(), String>,
    most_states: usize,
) -> Exploration {
    let mut seen = HashSet::from([digest(&start)]);
    let mut nodes =
        vec![Node { state: start, parent: 0, step: String::new() }];
    let mut at = 0;
    while at < nodes.len() {
        for (step, state) in next(&nodes[at].state) {
            if !seen.insert(digest(&state)) {
                continue;
            }
            let broken = check(&state).err();
            nodes.push(Node { state, parent: at, step });
            if let Some(broken) = broken {
                let mut steps = path(&nodes);
                steps.push(broken);
                let counterexample = Some(steps);
                return Exploration { states: nodes.len(), counterexample };
            }
        }
        assert!(nodes.len() <= most_states, "more than {most_states} states");
        at += 1;
    }
    Exploration { states: nodes.len(), counterexample: None }
}

fn path<S>(nodes: &[Node<S>]) -> Vec<String> {
    let mut steps = Vec::new();
    let mut at = nodes.len() - 1;
    while at > 0 {
        steps.push(nodes[at].step.clone());
        at = nodes[at].parent;
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
