//! What a node exchanges with the leader of the job table, which every gateway depends on besides the metadata store.
//!
//! | module | owns |
//! |---|---|
//! | [`client`] | finding the leader, and asking it |
//! | [`load_exchange`] | reporting this gateway's load, and learning that of all others |
//! | [`rate_limits`] | admitting requests within tenants' limits, and reporting what was admitted |
//!
//! Each of them has a fallback for the time without a leader: loads age out, and a gateway goes on with its part of
//! a tenant's limit. A wrong answer counts as none, and is logged. The decisions are in
//! [`stallmoor_core::serving::leader`] and [`stallmoor_core::serving::quota`]; the room relies on [`crate::peers`] for the
//! calls and on [`crate::fleet`] for the storing nodes.

pub mod client;
pub mod load_exchange;
pub mod rate_limits;

use std::net::SocketAddr;

use stallmoor_core::log_event::LogEvent;
use stallmoor_core::serving::jobs::request::{JobsAnswer, JobsRequest};
use stallmoor_core::serving::leader::search::is_expected;

use crate::observe::journal::{Field, record};

/// Logs an answer to an exchange that is not of the kind that was asked for: its sender runs another version, or is
/// faulty. The exchange then goes on as without an answer, which the line tells from a peer that is silent.
fn log_unexpected(peer: SocketAddr, request: &JobsRequest, answer: &JobsAnswer) {
    if !is_expected(request, answer) {
        let fields =
            [Field::text("peer", peer), Field::text("detail", "an answer that does not belong to its request")];
        record(LogEvent::MessageRefused, &fields);
    }
}
