//! Maximum number of connections from one node to one worker.
//!
//! A worker accepts a limited number of connections from all nodes together, and nodes do not coordinate their shares.

/// Each node uses at most `1 / CONNECTION_DIVISOR` of a worker's connections, so that all nodes together stay within
/// the worker's limit.
const CONNECTION_DIVISOR: u32 = 12;
/// Minimum number of connections per node and worker, so that workers with small limits remain usable.
const MIN_CONNECTIONS: usize = 4;

/// Returns the maximum number of connections from this node to a worker whose service accepts `max_connections`, or
/// whose service is unknown (`None`).
pub fn connection_limit(max_connections: Option<u32>) -> usize {
    let share = max_connections.unwrap_or(0) / CONNECTION_DIVISOR;
    (share as usize).max(MIN_CONNECTIONS)
}
