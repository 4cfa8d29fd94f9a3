//! A gateway's dealings with the leader of the job table: which node is asked next, when it is given up, and how
//! often and with whom loads are exchanged.
//!
//! Relies on the records of the storing nodes ([`super::jobs::directory`]) and on the ranking of relays
//! ([`super::relay::choice`]); calls and waits are the driver's.
//!
//! | module | owns |
//! |---|---|
//! | [`search`] | the tries of one request until the leader answers or the time is over |
//! | [`load_schedule`] | the exchange of loads: with whom, how often, and what a missing answer means |

pub mod load_schedule;
pub mod search;
