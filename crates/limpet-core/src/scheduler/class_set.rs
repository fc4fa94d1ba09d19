use super::slot::ClassSlot;

/// A set of equivalence classes, stored as a bit set.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassSet {
    words: Vec<u64>,
}

impl ClassSet {
    pub(super) fn insert(&mut self, class: ClassSlot) {
        let (word, bit) = position(class);
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= bit;
    }

    pub(super) fn remove(&mut self, class: ClassSlot) {
        let (word, bit) = position(class);
        if let Some(found) = self.words.get_mut(word) {
            *found &= !bit;
        }
    }

    pub(super) fn contains(&self, class: ClassSlot) -> bool {
        let (word, bit) = position(class);
        self.words.get(word).is_some_and(|found| found & bit != 0)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    /// Returns the classes that are in both sets, in order of their slots.
    pub(super) fn intersection<'a>(
        &'a self,
        other: &'a ClassSet,
    ) -> impl Iterator<Item = ClassSlot> + 'a {
        self.words
            .iter()
            .zip(&other.words)
            .enumerate()
            .flat_map(|(index, (left, right))| slots_of(index, left & right))
    }

    /// Returns every class in the set, in order of their slots.
    pub(super) fn iter(&self) -> impl Iterator<Item = ClassSlot> + '_ {
        self.words
            .iter()
            .enumerate()
            .flat_map(|(index, word)| slots_of(index, *word))
    }
}

/// Returns the index of the word that contains a class, and a mask with the
/// bit of the class set.
const fn position(class: ClassSlot) -> (usize, u64) {
    (class.index() / 64, 1 << (class.index() % 64))
}

/// Returns the classes whose bits are set in the word at this index.
fn slots_of(index: usize, word: u64) -> impl Iterator<Item = ClassSlot> {
    let mut rest = word;
    std::iter::from_fn(move || {
        if rest == 0 {
            return None;
        }
        let bit = rest.trailing_zeros();
        rest &= rest - 1;
        Some(ClassSlot(index as u32 * 64 + bit))
    })
}
