//! Exchanges between a node and the leader of the job table.
//!
//! | module | contents |
//! |---|---|
//! | [`client`] | finding the leader and sending it requests |
//! | [`load_exchange`] | reporting this gateway's load and receiving the load of the others |
//! | [`outcome_exchange`] | reporting this node's evidence on failing workers and receiving that of the others |
//! | [`rate_limits`] | admitting requests within tenants' limits and reporting admissions |
//! | [`stall_watch`] | reporting that accepted items make no progress |
//! | [`storage_reach`] | whether a submission is worth sending |
//!
//! Each exchange has a fallback for times without a leader: loads age out, and a gateway applies its share of a
//! tenant's limit. Unexpected answers are logged and handled as missing ones. [`stallmoor_core::serving::leader`] and
//! [`stallmoor_core::serving::quota`] make the decisions; calls go through [`crate::peers`], and [`crate::fleet`]
//! provides the storage nodes.

pub mod client;
pub mod load_exchange;
pub mod outcome_exchange;
pub mod rate_limits;
pub mod stall_watch;
pub mod storage_reach;

use std::net::SocketAddr;

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::search::is_expected;

use crate::observe::journal::{Field, record};

/// Logs an answer whose kind does not match the request, because the peer runs another version or is faulty. The caller
/// handles it as a missing answer; the log line distinguishes it from an unresponsive peer.
fn log_unexpected(peer: SocketAddr, request: &JobsRequest, answer: &JobsAnswer) {
    if !is_expected(request, answer) {
        let fields =
            [Field::text("peer", peer), Field::text("detail", "an answer that does not belong to its request")];
        record(LogEvent::MessageRefused, &fields);
    }
}
