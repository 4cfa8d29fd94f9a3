//! Cache of recently used session records.

use std::collections::BTreeMap;

use crate::node::partition::{SessionKey, SessionRecord};

/// Maximum number of cached records.
const MAX_RECORDS: usize = 8_192;

/// An LRU cache of session records. Entries may be stale; the record's generation resolves conflicts
/// when the session is next placed.
#[derive(Clone, Debug, Default)]
pub struct SessionCache {
    records: BTreeMap<SessionKey, (u64, SessionRecord)>,
    by_use: BTreeMap<u64, SessionKey>,
    uses: u64,
}

impl SessionCache {
    /// Returns a record and marks it as recently used.
    pub fn get(&mut self, key: &SessionKey) -> Option<SessionRecord> {
        let record = self.records.get(key)?.1.clone();
        self.insert(key.clone(), record.clone());
        Some(record)
    }

    /// Inserts a record unless a later generation is already cached.
    pub fn insert(&mut self, key: SessionKey, record: SessionRecord) {
        if let Some((used, stored)) = self.records.get(&key) {
            if stored.generation > record.generation {
                return;
            }
            self.by_use.remove(used);
        }
        self.uses += 1;
        self.by_use.insert(self.uses, key.clone());
        self.records.insert(key, (self.uses, record));
        while self.records.len() > MAX_RECORDS {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.records.remove(&oldest);
        }
    }
}
