//! The operators' files, and which revision of them is in force.
//!
//! * [`reader`] walks a TOML file and gathers every error with its line and field.
//! * [`fleet`] is what the files say, as checked types.
//! * [`check`] turns a set of files into a [`fleet::FleetConfiguration`] or into all of its errors.
//! * [`bundle`] is the set as it is stored and spread: parts named by digest and one small manifest.
//! * [`apply`] makes a change accepted by one compare-and-swap of the manifest.
//! * [`replica`] keeps the newest revision that this node knows, and never goes back.

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
pub use replica::{ConfigurationReplica, InForce};
