//! The bench: simulation, experiments and load.
//!
//! | module | owns |
//! |---|---|
//! | [`simulation`] | many nodes on a virtual clock under failure, checked against an oracle |

pub mod simulation;
