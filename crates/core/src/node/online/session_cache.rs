//! Session records that this node read or wrote lately.

use std::collections::BTreeMap;

use crate::node::partition::{SessionKey, SessionRecord};

/// Most records kept.
const CAPACITY: usize = 8_192;

/// A bounded cache of session records. It may be stale: the record's generation settles that when the
/// session is next placed.
#[derive(Clone, Debug, Default)]
pub struct SessionCache {
    records: BTreeMap<SessionKey, (u64, SessionRecord)>,
    by_use: BTreeMap<u64, SessionKey>,
    uses: u64,
}

impl SessionCache {
    /// A record, which counts as used.
    pub fn get(&mut self, key: &SessionKey) -> Option<SessionRecord> {
        let record = self.records.get(key)?.1.clone();
        self.insert(key.clone(), record.clone());
        Some(record)
    }

    /// Keeps a record, unless a later generation is held.
    pub fn insert(&mut self, key: SessionKey, record: SessionRecord) {
        if let Some((used, held)) = self.records.get(&key) {
            if held.generation > record.generation {
                return;
            }
            self.by_use.remove(used);
        }
        self.uses += 1;
        self.by_use.insert(self.uses, key.clone());
        self.records.insert(key, (self.uses, record));
        while self.records.len() > CAPACITY {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.records.remove(&oldest);
        }
    }
}
