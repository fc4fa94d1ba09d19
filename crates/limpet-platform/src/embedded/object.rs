use std::collections::BTreeMap;

use bytes::Bytes;

/// The object store, in memory.
#[derive(Clone, Debug, Default)]
pub struct MemoryObjects {
    objects: BTreeMap<String, Bytes>,
}

impl MemoryObjects {
    /// Stores an object under a name and replaces any earlier one.
    pub fn put(&mut self, name: &str, content: Bytes) {
        self.objects.insert(name.to_owned(), content);
    }

    /// Reads an object; `None` if there is none of that name.
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Returns the names that start with `prefix`, in ascending order.
    pub fn list(&self, prefix: &str) -> Vec<String> {
        self.objects
            .range(prefix.to_owned()..)
            .map(|(name, _)| name)
            .take_while(|name| name.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Deletes an object if there is one of that name.
    pub fn delete(&mut self, name: &str) {
        self.objects.remove(name);
    }
}
