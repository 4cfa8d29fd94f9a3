//! The view of the metadata store that a node keeps on its disk.

use std::fs;
use std::path::Path;
use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::time::UnixMillis;
use stallmoor_storage::{FolderOwner, KeptView, ReplicaFolder};

const NODE: NodeId = NodeId(7);

fn view(known_at: u64) -> KeptView {
    let item = |number: u64| MetadataItem {
        key: Arc::from(format!("servers/i-{number}")),
        state: KeyState::Present(Arc::from(vec![number as u8; 200])),
        revision: Revision(number),
    };
    KeptView { node: NODE, known_at: UnixMillis(known_at), items: (1..20).map(item).collect() }
}

fn file(folder: &Path) -> std::path::PathBuf {
    folder.join("fleet-view")
}

#[test]
fn a_view_is_read_as_written_and_replaced_as_a_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    assert_eq!(KeptView::read(folder.path(), NODE), None, "an empty folder");
    view(1).write(folder.path()).expect("the view is written");
    let shorter = KeptView { items: Vec::new(), ..view(2) };
    shorter.write(folder.path()).expect("the view is replaced");
    assert_eq!(KeptView::read(folder.path(), NODE), Some(shorter));
}

/// Guards against a start on part of a view, or on one that a disk has changed.
#[test]
fn a_truncated_or_damaged_view_counts_as_none() {
    let folder = tempfile::tempdir().expect("a folder");
    view(1).write(folder.path()).expect("the view is written");
    let sound = fs::read(file(folder.path())).expect("the file");
    for length in 0..sound.len() {
        fs::write(file(folder.path()), &sound[..length]).expect("the file is truncated");
        assert_eq!(KeptView::read(folder.path(), NODE), None, "{length} of {} bytes", sound.len());
    }
    for position in 0..sound.len() {
        let mut damaged = sound.clone();
        damaged[position] ^= 0x10;
        fs::write(file(folder.path()), damaged).expect("the file is damaged");
        assert_eq!(KeptView::read(folder.path(), NODE), None, "byte {position}");
    }
}

/// Guards against a file that was torn while it replaced a sound one.
#[test]
fn a_view_that_was_being_written_leaves_the_former_one() {
    let folder = tempfile::tempdir().expect("a folder");
    view(1).write(folder.path()).expect("the view is written");
    fs::write(folder.path().join("fleet-view.new"), b"torn").expect("a torn file");
    assert_eq!(KeptView::read(folder.path(), NODE), Some(view(1)));
    view(2).write(folder.path()).expect("the view is replaced");
    assert_eq!(KeptView::read(folder.path(), NODE), Some(view(2)));
}

/// Guards against a node that uses what another identity knew, and against a folder that the file makes unreadable.
#[test]
fn a_view_belongs_to_an_identity_and_leaves_the_folder_as_it_is() {
    let folder = tempfile::tempdir().expect("a folder");
    let owner =
        |identity| FolderOwner { peer_address: "127.0.0.1:1".to_owned(), adopt: false, new_identity: NodeId(identity) };
    drop(ReplicaFolder::open(folder.path(), &owner(7), |_| true).expect("the folder is formatted"));
    view(1).write(folder.path()).expect("the view is written");
    let opened = ReplicaFolder::open(folder.path(), &owner(8), |_| true).expect("the folder opens");
    assert_eq!((opened.identity, opened.formatted, opened.groups().count()), (NODE, false, 0));
    assert_eq!(KeptView::read(folder.path(), NodeId(8)), None);
}
