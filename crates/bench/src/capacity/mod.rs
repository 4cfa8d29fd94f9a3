//! What each role costs, as slopes measured at four sizes or more.
//!
//! Real nodes run in one process on a virtual clock, their messages encoded as on the wire. The time
//! spent in the decision code, the messages and their bytes, and the memory are real; only the clock
//! and the network are not. `docs/CAPACITY.md` is worked out from these slopes.

pub mod fleet;
mod measures;
mod slope;

pub use measures::{CapacityReport, Measure, PARTS, run_parts};
pub use slope::{Point, Slope, fit};
