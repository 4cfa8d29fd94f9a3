//! The interface of a platform adapter. All headers, paths and metadata keys that are specific to a platform are behind
//! these traits.
//!
//! | module | contents |
//! |---|---|
//! | [`dialect`] | the HTTP format of requests and answers |
//! | [`metadata`] | the metadata store and the fleet updates derived from it |

pub mod dialect;
pub mod metadata;

use std::sync::Arc;

use crate::adapter::dialect::Dialect;
use crate::adapter::metadata::MetadataStore;

/// The components that a platform adapter provides.
pub trait PlatformAdapter: Send + Sync {
    /// Returns the HTTP format of the platform.
    fn dialect(&self) -> Arc<dyn Dialect>;

    /// Returns the client of the platform's metadata store.
    fn metadata(&self) -> Arc<dyn MetadataStore>;
}
