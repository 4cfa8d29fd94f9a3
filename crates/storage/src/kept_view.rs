//! What a storage node last knew of the metadata store, in a file beside its replicas.
//!
//! After a start the node uses it until the metadata store, or another node that reads it, provides a complete view.
//! Replaced as a whole, so that a crash leaves the former or the new contents. An absent, damaged or foreign file counts
//! as empty: everything in it can be obtained again.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::relay::item::MetadataItem;
use stallmoor_core::time::UnixMillis;

use crate::error::{IoSnafu, StorageError};
use crate::record;

const FILE_NAME: &str = "fleet-view";
const TEMPORARY_NAME: &str = "fleet-view.new";

/// Items of the metadata store as a node last knew them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptView {
    /// Identity of the node that wrote the file.
    pub node: NodeId,
    /// When the items were known, by the clock of that node.
    pub known_at: UnixMillis,
    /// The items.
    pub items: Vec<MetadataItem>,
}

impl KeptView {
    /// Reads the view that the node `node` keeps in a folder; `None` if there is no sound one.
    pub fn read(folder: &Path, node: NodeId) -> Option<Self> {
        let bytes = fs::read(folder.join(FILE_NAME)).ok()?;
        let (view, _) = record::decode::<Self>(&bytes)?;
        (view.node == node).then_some(view)
    }

    /// Replaces the view that is kept in a folder.
    ///
    /// # Errors
    ///
    /// The file cannot be written. The former one may remain.
    pub fn write(&self, folder: &Path) -> Result<(), StorageError> {
        self.try_write(folder).context(IoSnafu { folder })
    }

    fn try_write(&self, folder: &Path) -> io::Result<()> {
        let temporary = folder.join(TEMPORARY_NAME);
        let mut file = File::create(&temporary)?;
        file.write_all(&record::encode(self)?)?;
        file.sync_all()?;
        fs::rename(&temporary, folder.join(FILE_NAME))?;
        File::open(folder)?.sync_all()
    }
}
