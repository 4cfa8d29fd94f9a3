//! Load, experiments and simulation.
