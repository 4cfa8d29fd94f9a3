//! Views of the metadata store that learn from it and from each other, against a store with its whole history.

use std::collections::BTreeMap;
use std::sync::Arc;

use proptest::prelude::*;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::mirror::{Mirror, MissingKeys};
use stallmoor_core::time::{Millis, Timestamp};

mod support;

const KEYS: u8 = 6;
const VIEWS: usize = 4;

/// The store and all that it ever held.
#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<Arc<str>, (Arc<[u8]>, u64)>,
    history: Vec<MetadataItem>,
    /// What it held at each revision.
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
    /// A view reads all that the store holds.
    List {
        view: usize,
        missing: MissingKeys,
    },
    /// A list that was read now and is taken at a later step: a page that was under way.
    ListLater {
        view: usize,
    },
    TakeLater {
        view: usize,
    },
    /// A view watches the store from where it is.
    Watch {
        view: usize,
    },
    /// A view asks another.
    Ask {
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
        1 => view().prop_map(|view| Step::ListLater { view }),
        1 => view().prop_map(|view| Step::TakeLater { view }),
        2 => view().prop_map(|view| Step::Watch { view }),
        5 => (view(), view()).prop_map(|(view, relay)| Step::Ask { view, relay }),
    ]
}

/// A view, and what it told whoever relies on it.
#[derive(Default)]
struct View {
    mirror: Mirror,
    told: BTreeMap<Arc<str>, u64>,
    under_way: Option<(Vec<MetadataItem>, Revision)>,
}

impl View {
    fn tell(&mut self, news: Vec<MetadataItem>) {
        for item in news {
            match item.state {
                KeyState::Present(_) => self.told.insert(item.key, item.revision.0),
                KeyState::Removed | KeyState::Lapsed => self.told.remove(&item.key),
            };
        }
    }

    fn replace(&mut self, listed: Vec<MetadataItem>, at: Revision, missing: MissingKeys) {
        let news = self.mirror.replace(listed, at, missing);
        self.tell(news);
    }

    /// Whether it tells for each key what the store held at its revision, or something newer that the store held.
    fn agrees_with(&self, store: &Store) {
        let Some(at) = self.mirror.at() else { return };
        let past = &store.past[at.0 as usize];
        for number in 0..KEYS {
            let key = key(number);
            let (told, held) = (self.told.get(&key), past.get(&key));
            let is_newer = store.history.iter().any(|item| {
                let state_agrees = match (&item.state, told) {
                    (KeyState::Present(_), Some(told)) => *told == item.revision.0,
                    (KeyState::Removed, None) => true,
                    _ => false,
                };
                item.key == key && item.revision > at && state_agrees
            });
            assert!(told == held || is_newer, "{key} at {at}: told {told:?}, the store held {held:?}");
        }
    }
}

fn ask(views: &mut [View], asker: usize, relay: usize) {
    let Some(since) = views[asker].mirror.at() else { return };
    let Some(changes) = views[relay].mirror.changes_since(since) else { return };
    match changes.base {
        Some(base) => {
            assert_eq!(base, since);
            let news = views[asker].mirror.advance(changes.items, changes.at);
            views[asker].tell(news);
        }
        // A view does not take an older one as all that there is.
        None if changes.at >= since => views[asker].replace(changes.items, changes.at, MissingKeys::Removed),
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
            Step::ListLater { view } => views[view].under_way = Some((store.list(), Revision(store.revision))),
            Step::TakeLater { view } => {
                if let Some((listed, at)) = views[view].under_way.take() {
                    views[view].replace(listed, at, MissingKeys::Removed);
                }
            }
            Step::Watch { view } => {
                if let Some(since) = views[view].mirror.at() {
                    let news = views[view].mirror.advance(store.changes(since), Revision(store.revision));
                    views[view].tell(news);
                }
            }
            Step::Ask { view, relay } => ask(&mut views, view, relay),
        }
        for (view, before) in views.iter().zip(before) {
            assert!(view.mirror.at() >= before, "a view went back");
            view.agrees_with(&store);
        }
    }
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    #[test]
    fn views_that_learn_from_each_other_agree_with_the_store(steps in prop::collection::vec(step(), 1..120)) {
        run(steps);
    }
}

fn present(number: u8, revision: u64) -> MetadataItem {
    MetadataItem { key: key(number), state: KeyState::Present(Arc::from([1])), revision: Revision(revision) }
}

fn states(news: &[MetadataItem]) -> Vec<KeyState> {
    news.iter().map(|item| item.state.clone()).collect()
}

#[test]
fn a_key_that_is_missing_without_an_outage_is_removed() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![present(1, 1), present(2, 2)], Revision(2), MissingKeys::Removed);
    let news = mirror.replace(vec![present(1, 1)], Revision(5), MissingKeys::Removed);
    assert_eq!(states(&news), [KeyState::Removed]);
}

#[test]
fn a_key_that_is_missing_after_an_absence_has_lapsed_and_those_who_ask_hear_that() {
    let mut mirror = Mirror::default();
    mirror.replace(vec![present(1, 1), present(2, 2)], Revision(2), MissingKeys::Removed);
    let news = mirror.replace(vec![present(1, 1)], Revision(5), MissingKeys::MayHaveExpired);
    assert_eq!(states(&news), [KeyState::Lapsed]);
    assert_eq!(mirror.replace(vec![present(1, 1)], Revision(6), MissingKeys::MayHaveExpired), [], "it is told once");
    let mut asker = Mirror::default();
    asker.replace(vec![present(1, 1), present(2, 2)], Revision(2), MissingKeys::Removed);
    let changes = mirror.changes_since(Revision(2)).expect("it was listed");
    assert_eq!(changes.base, None, "removals before the last list are not all known");
    let news = asker.replace(changes.items, changes.at, MissingKeys::Removed);
    assert_eq!(states(&news), [KeyState::Lapsed]);
}

#[test]
fn a_view_that_is_never_confirmed_ages() {
    let at = Timestamp::from_millis;
    let mut mirror = Mirror::default();
    assert_eq!(mirror.age(at(10)), None);
    mirror.replace(Vec::new(), Revision(1), MissingKeys::Removed);
    mirror.confirm(at(100));
    mirror.confirm(at(50));
    assert_eq!(mirror.age(at(130)), Some(Millis(30)), "an older confirmation takes nothing back");
}

#[test]
fn many_removals_are_forgotten_and_askers_from_before_get_everything() {
    let mut mirror = Mirror::default();
    mirror.replace(Vec::new(), Revision(0), MissingKeys::Removed);
    let removed = |number: u64| MetadataItem {
        key: Arc::from(format!("old-{number}")),
        state: KeyState::Removed,
        revision: Revision(number),
    };
    mirror.advance((1..=2_000).map(removed).collect(), Revision(2_000));
    assert_eq!(mirror.changes_since(Revision(10)).and_then(|changes| changes.base), None);
    let recent = mirror.changes_since(Revision(1_990)).expect("it was listed");
    assert_eq!((recent.base, recent.items.len()), (Some(Revision(1_990)), 10));
}
