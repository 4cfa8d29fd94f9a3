//! What a platform adapter brings.

use std::sync::Arc;

use tokio::sync::mpsc::UnboundedSender;

use crate::dialect::Dialect;
use crate::metadata::{FleetUpdate, MetadataStore};

/// The translation between a platform and the product.
pub trait PlatformAdapter: Send + Sync {
    /// The spelling of the wire.
    fn dialect(&self) -> Arc<dyn Dialect>;

    /// The metadata store's writes.
    fn metadata(&self) -> Arc<dyn MetadataStore>;

    /// Starts to tell what the metadata store holds and each change of it, until the receiver is gone.
    fn watch(&self, updates: UnboundedSender<FleetUpdate>);
}
