//! What a platform adapter brings.

use std::sync::Arc;

use crate::dialect::Dialect;
use crate::metadata::MetadataStore;

/// The translation between a platform and the product.
pub trait PlatformAdapter: Send + Sync {
    /// The spelling of the wire.
    fn dialect(&self) -> Arc<dyn Dialect>;

    /// The metadata store.
    fn metadata(&self) -> Arc<dyn MetadataStore>;
}
