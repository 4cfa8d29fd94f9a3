//! Mirrors of the metadata store that are updated from the store and from each other, checked against a model of the
//! store with its complete history.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::mirror::{Mirror, MissingKeys};
use stallmoor_core::time::{Millis, Timestamp};

mod support;

const KEYS: u8 = 6;
const VIEWS: usize = 4;

/// Model of the store.
#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<Arc<str>, (Arc<[u8]>, u64)>,
    history: Vec<MetadataItem>,
    /// Revision of each key at each revision of the store.
    past: Vec<BTreeMap<Arc<str>, u64>>,
}

fn key(number: u8) -> Arc<str> {
    Arc::from(format!("key-{number}"))
}

impl Store {
    fn new() -> Self {
        Self { past: vec![BTreeMap::new()], ..Self::default() }
    }

    fn record(&mut self, key: Arc<str>, state: KeyState) {
        self.history.push(MetadataItem { key, state, revision: Revision(self.revision) });
        self.past.push(self.items.iter().map(|(key, (_, revision))| (key.clone(), *revision)).collect());
    }

    fn put(&mut self, number: u8) {
        self.revision += 1;
        let value: Arc<[u8]> = Arc::from(self.revision.to_le_bytes());
        self.items.insert(key(number), (value.clone(), self.revision));
        self.record(key(number), KeyState::Present(value));
    }

    fn remove(&mut self, number: u8) {
        if self.items.remove(&key(number)).is_some() {
            self.revision += 1;
            self.record(key(number), KeyState::Removed);
        }
    }

    fn list(&self) -> Vec<MetadataItem> {
        let item = |(key, (value, revision)): (&Arc<str>, &(Arc<[u8]>, u64))| MetadataItem {
            key: key.clone(),
            state: KeyState::Present(value.clone()),
            revision: Revision(*revision),
        };
        self.items.iter().map(item).collect()
    }

    fn changes(&self, since: Revision) -> Vec<MetadataItem> {
        self.history.iter().filter(|item| item.revision > since).cloned().collect()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Put(u8),
    Remove(u8),
    /// A view lists the complete store.
    List {
        view: usize,
        missing: MissingKeys,
    },
    /// A list is read now and applied by a later step, as if its response were delayed.
    ListDelayed {
        view: usize,
    },
    ApplyDelayed {
        view: usize,
    },
    /// A view watches the store from its revision.
    Watch {
        view: usize,
    },
    /// A view queries another one.
    Query {
        view: usize,
        relay: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let view = || 0..VIEWS;
    prop_oneof![
        4 => (0..KEYS).prop_map(Step::Put),
        3 => (0..KEYS).prop_map(Step::Remove),
        1 => (view(), prop_oneof![Just(MissingKeys::Removed), Just(MissingKeys::MayHaveExpired)])
            .prop_map(|(view, missing)| Step::List { view, missing }),
        1 => view().prop_map(|view| Step::ListDelayed { view }),
        1 => view().prop_map(|view| Step::ApplyDelayed { view }),
        2 => view().prop_map(|view| Step::Watch { view }),
        5 => (view(), view()).prop_map(|(view, relay)| Step::Query { view, relay }),
    ]
}

/// A mirror, and the state of a consumer that applies the changes it returns.
#[derive(Default)]
struct View {
    mirror: Mirror,
    applied: BTreeMap<Arc<str>, u64>,
    delayed_list: Option<(Vec<MetadataItem>, Revision)>,
}

impl View {
    fn apply(&mut self, changed: Vec<MetadataItem>) {
        for item in changed {
            match item.state {
                KeyState::Present(_) => self.applied.insert(item.key, item.revision.0),
                KeyState::Removed | KeyState::Lapsed => self.applied.remove(&item.key),
            };
        }
    }

    fn replace(&mut self, listed: Vec<MetadataItem>, at: Revision, missing: MissingKeys) {
        let changed = self.mirror.replace(listed, at, missing);
        self.apply(changed);
    }

    /// Asserts that the consumer has, for each key, the state in the store at the mirror's revision or a later state.
    fn agrees_with(&self, store: &Store) {
        let Some(at) = self.mirror.at() else { return };
        let past = &store.past[at.0 as usize];
        for number in 0..KEYS {
            let key = key(number);
            let (applied, stored) = (self.applied.get(&key), past.get(&key));
            let is_newer = store.history.iter().any(|item| {
                let state_agrees = match (&item.state, applied) {
                    (KeyState::Present(_), Some(applied)) => *applied == item.revision.0,
                    (KeyState::Removed, None) => true,
                    _ => false,
                };
                item.key == key && item.revision > at && state_agrees
            });
            assert!(
                applied == stored || is_newer,
                "{key} at {at}: the consumer has {applied:?}, the store had {stored:?}"
            );
        }
    }
}

fn query(views: &mut [View], requester: usize, relay: usize) {
    let Some(since) = views[requester].mirror.at() else { return };
    let Some(changes) = views[relay].mirror.changes_since(since) else { return };
    match changes.base {
        Some(base) => {
            assert_eq!(base, since);
            let changed = views[requester].mirror.advance(changes.items, changes.at);
            views[requester].apply(changed);
        }
        // A view does not accept an older one as a complete list.
        None if changes.at >= since => views[requester].replace(changes.items, changes.at, MissingKeys::Removed),
        None => {}
    }
}

fn run(steps: Vec<Step>) {
    let mut store = Store::new();
    let mut views: Vec<View> = (0..VIEWS).map(|_| View::default()).collect();
    for step in steps {
        let before: Vec<Option<Revision>> = views.iter().map(|view| view.mirror.at()).collect();
        match step {
            Step::Put(number) => store.put(number),
            Step::Remove(number) => store.remove(number),
            Step::List { view, missing } => views[view].replace(store.list(), Revision(store.revision), missing),
            Step::ListDelayed { view } => views[view].delayed_list = Some((store.list(), Revision(store.revision))),
            Step::ApplyDelayed { view } => {
                if let Some((listed, at)) = views[view].delayed_list.take() {
                    views[view].replace(listed, at, MissingKeys::Removed);
                }
            }
            Step::Watch { view } => {
                if let Some(since) = views[view].mirror.at() {
                    let changed = views[view].mirror.advance(store.changes(since), Revision(store.revision));
                    views[view].apply(changed);
                }
            }
            Step::Query { view, relay } => query(&mut views, view, relay),
        }
        for (view, before) in views.iter().zip(before) {
            assert!(view.mirror.at() >= before, "the revision of a view decreased");
            view.agrees_with(&store);
        }
    }
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    #[test]
    fn views_that_query_each_other_agree_with_the_store(steps in prop::collection::vec(step(), 1..120)) {
        run(steps);
    }
}

fn present(number: u8, revision: u64) -> MetadataItem {
    MetadataItem { key: key(number), state: KeyState::Present(Arc::from([1])), revision: Revision(revision) }
}

fn states(changed: &[MetadataItem]) -> Vec<KeyState> {
    changed.iter().map(|item| item.state.clone()).collect()
}

#[test]
fn a_key_missing_without_an_outage_is_removed() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![present(1, 1), present(2, 2)], Revision(2), MissingKeys::Removed);
    let changed = mirror.replace(vec![present(1, 1)], Revision(5), MissingKeys::Removed);
    assert_eq!(states(&changed), [KeyState::Removed]);
}

#[test]
fn a_key_missing_after_an_outage_has_expired_and_is_reported_as_such_to_other_views() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![present(1, 1), present(2, 2)], Revision(2), MissingKeys::Removed);
    let changed = mirror.replace(vec![present(1, 1)], Revision(5), MissingKeys::MayHaveExpired);
    assert_eq!(states(&changed), [KeyState::Lapsed]);
    assert_eq!(
        mirror.replace(vec![present(1, 1)], Revision(6), MissingKeys::MayHaveExpired),
        [],
        "it is reported only once"
    );
    let mut requester = Mirror::default();
    requester.replace(vec![present(1, 1), present(2, 2)], Revision(2), MissingKeys::Removed);
    let changes = mirror.changes_since(Revision(2)).expect("the mirror has a list");
    assert_eq!(changes.base, None, "removals before the last list are not all recorded");
    let changed = requester.replace(changes.items, changes.at, MissingKeys::Removed);
    assert_eq!(states(&changed), [KeyState::Lapsed]);
}

#[test]
fn the_age_of_a_view_counts_from_its_latest_confirmation() {
    let at = Timestamp::from_millis;
    let mut mirror = Mirror::default();
    assert_eq!(mirror.age(at(10)), None);
    mirror.replace(Vec::new(), Revision(1), MissingKeys::Removed);
    mirror.confirm(at(100));
    mirror.confirm(at(50));
    assert_eq!(mirror.age(at(130)), Some(Millis(30)), "an older confirmation has no effect");
}

#[test]
fn old_tombstones_are_dropped_and_views_behind_them_receive_all_items() {
    let mut mirror = Mirror::default();
    mirror.replace(Vec::new(), Revision(0), MissingKeys::Removed);
    let removed = |number: u64| MetadataItem {
        key: Arc::from(format!("old-{number}")),
        state: KeyState::Removed,
        revision: Revision(number),
    };
    mirror.advance((1..=2_000).map(removed).collect(), Revision(2_000));
    assert_eq!(mirror.changes_since(Revision(10)).and_then(|changes| changes.base), None);
    let recent = mirror.changes_since(Revision(1_990)).expect("the mirror has a list");
    assert_eq!((recent.base, recent.items.len()), (Some(Revision(1_990)), 10));
}
