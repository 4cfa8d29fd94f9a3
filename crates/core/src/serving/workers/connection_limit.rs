//! How many connections one node opens to one worker.
//!
//! A worker accepts a limited number of connections from all nodes together, and nodes don't agree on who has how many.

/// A node takes at most one in this many of a worker's connections, so that the worker's limit holds over all nodes.
const CONNECTION_SHARE: u32 = 12;
/// A node may have at least this many connections to a worker, so that small limits still serve.
const LEAST_CONNECTIONS: usize = 4;

/// Most connections of this node to a worker whose service accepts `max_connections`; `None` if the service is not
/// known.
pub fn connection_limit(max_connections: Option<u32>) -> usize {
    let share = max_connections.unwrap_or(0) / CONNECTION_SHARE;
    (share as usize).max(LEAST_CONNECTIONS)
}
