//! What a gateway knows of items that make no progress: whether a leader of the job table answers, and what storage nodes
//! say.

use std::sync::Arc;

use super::load_schedule::LoadPartner;
use crate::identity::NodeId;
use crate::serving::jobs::standstill::{Stall, StallCause, Standstill};
use crate::time::{Millis, Timestamp};

/// Time for which what a storage node said is used. Outlasts two idle exchanges of loads.
const TOLD_LIFETIME: Millis = Millis(2_000);

#[derive(Clone, Debug)]
struct Told {
    standstill: Standstill,
    at: Timestamp,
}

/// The latest answers to this gateway's load reports.
#[derive(Clone, Debug)]
pub struct LeaderWatch {
    /// When the leader, or the aggregator that reports to it, last answered; else the start of this gateway.
    answered_at: Timestamp,
    has_answered: bool,
    told: Option<Told>,
    /// The number of items without a result, as last told by a node that counts them: the leader, or one without a leader.
    open_items: u32,
}

impl LeaderWatch {
    /// Creates the state of a gateway that starts.
    pub fn new(now: Timestamp) -> Self {
        Self { answered_at: now, has_answered: false, told: None, open_items: 0 }
    }

    /// Records an answer to a load report. Storage nodes of former versions send no standstill.
    pub fn record_answer(&mut self, partner: LoadPartner, standstill: Option<Standstill>, now: Timestamp) {
        let is_acting = matches!(partner, LoadPartner::Acting(_));
        if !is_acting {
            self.answered_at = now;
            self.has_answered = true;
            self.told = None;
        }
        if let Some(standstill) = standstill {
            if !is_acting || standstill.of(StallCause::NoLeader).is_some() {
                self.open_items = standstill.open_items;
            }
            self.told = Some(Told { standstill, at: now });
        }
    }

    /// Returns what is known now. `leader` is the last known leader, `storage_nodes` the number of known storage nodes.
    pub fn standstill(&self, leader: Option<NodeId>, storage_nodes: usize, now: Timestamp) -> Standstill {
        let told = self.told.as_ref();
        let recent = told.filter(|told| now.since(told.at) < TOLD_LIFETIME);
        let heard = recent.map(|told| told.standstill.aged(now.since(told.at))).unwrap_or_default();
        let open_items = self.open_items;
        let silence = now.since(self.answered_at);
        let told_of_group = heard.of(StallCause::NoLeader).cloned();
        let own = Stall {
            cause: StallCause::NoLeader,
            items: open_items,
            span: told_of_group.as_ref().map_or(silence, |told| silence.max(told.span)),
            detail: self.describe(leader, storage_nodes, told_of_group.as_ref()),
        };
        let others = heard.stalls.into_iter().filter(|stall| stall.cause != StallCause::NoLeader);
        let own = Some(own).filter(|stall| told_of_group.is_some() || stall.is_reportable());
        Standstill::new(open_items as usize, others.chain(own))
    }

    fn describe(&self, leader: Option<NodeId>, storage_nodes: usize, told: Option<&Stall>) -> Arc<str> {
        let named = leader.map_or_else(|| "no leader is known".to_owned(), |leader| format!("{leader} was the last"));
        let answered = if self.has_answered { "" } else { ", none has answered since the start" };
        let told = told.map(|stall| format!("; a storage node: {}", stall.detail)).unwrap_or_default();
        Arc::from(format!("{named}{answered}, {storage_nodes} storage nodes known{told}"))
    }
}
