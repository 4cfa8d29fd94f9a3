//! The fleet's configuration files and their revisions.
//!
//! * [`reader`] reads TOML tables and collects all errors with line and field.
//! * [`fleet`] defines the validated configuration types.
//! * [`check`] validates a set of files and builds a [`fleet::FleetConfiguration`].
//! * [`bundle`] defines the stored form: content-addressed parts and a small manifest.
//! * [`apply`] commits a change by one compare-and-swap of the manifest.
//! * [`replica`] holds the newest revision received by this node.

pub mod apply;
pub mod bundle;
pub mod check;
pub mod fleet;
pub mod reader;
pub mod replica;

pub use apply::{ApplyOutcome, ApplyStep, ConfigurationApply};
pub use bundle::{ApplyId, Bundle, Manifest, PartDigest, PartReference};
pub use check::check_files;
pub use fleet::FleetConfiguration;
pub use reader::{ConfigurationError, SourceFile};
pub use replica::{ActiveConfiguration, ConfigurationReplica};
