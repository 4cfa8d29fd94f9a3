//! Communication of a gateway with the leader of the job table: leader discovery and the schedule of load exchanges.
//!
//! Storage nodes come from [`super::jobs::directory`], and the ranking of aggregators from [`super::relay::choice`].
//! The caller sends the requests and performs the waits.
//!
//! | module | contents |
//! |---|---|
//! | [`search`] | attempts to deliver a request to the leader until it answers or the request times out |
//! | [`storage_reach`] | whether any storage node is reachable |
//! | [`leader_watch`] | what a gateway knows of items that make no progress |
//! | [`load_schedule`] | the peer, the interval and the failures of load exchanges |

pub mod leader_watch;
pub mod load_schedule;
pub mod search;
pub mod storage_reach;
