//! What an adapter to a platform brings: two traits in the terms of the decision code. The rest of the crate knows no
//! header, path or key of a platform.
//!
//! | module | owns |
//! |---|---|
//! | [`dialect`] | how callers and workers spell requests and answers |
//! | [`metadata`] | the metadata store, and what its changes say of the fleet |

pub mod dialect;
pub mod metadata;

use std::sync::Arc;

use crate::adapter::dialect::Dialect;
use crate::adapter::metadata::MetadataStore;

/// The translation between a platform and the product.
pub trait PlatformAdapter: Send + Sync {
    /// The spelling of the wire.
    fn dialect(&self) -> Arc<dyn Dialect>;

    /// The metadata store.
    fn metadata(&self) -> Arc<dyn MetadataStore>;
}
