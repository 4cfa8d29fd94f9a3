//! Reports of accepted items that make no progress: log events, gauges, the status page, and the answers to load reports.

use serde_json::{Value, json};
use stallmoor_core::identity::NodeId;
use stallmoor_core::log_event::LogEvent;
use stallmoor_core::replication::Replica;
use stallmoor_core::serving::jobs::dispatch::IdleItem;
use stallmoor_core::serving::jobs::standstill::{Stall, StallCause, StallLog, Standstill};
use stallmoor_core::time::{Millis, Timestamp};

use super::StorageService;
use crate::observe::journal::{Field, record};
use crate::observe::stall_reports::report_stalls;
use crate::observe::status;

/// Interval at which open items and the state of the group are reviewed. A review visits every open item.
const STALL_REVIEW_INTERVAL: Millis = Millis(500);

/// The reports of this node.
#[derive(Default)]
pub(super) struct StallReports {
    log: StallLog,
    reviewed_at: Timestamp,
    /// The time since which this node has known no leader.
    leaderless_since: Option<Timestamp>,
    is_opened_logged: bool,
}

impl StallReports {
    /// Returns whether a review is due, and if so schedules the next one.
    fn poll_review(&mut self, now: Timestamp) -> bool {
        let is_due = now.since(self.reviewed_at) >= STALL_REVIEW_INTERVAL;
        if is_due {
            self.reviewed_at = now;
        }
        is_due
    }

    /// Returns for how long no leader has been known.
    fn observe_leader(&mut self, leader: Option<NodeId>, now: Timestamp) -> Option<Millis> {
        match leader {
            Some(_) => {
                self.leaderless_since = None;
                None
            }
            None => Some(now.since(*self.leaderless_since.get_or_insert(now))),
        }
    }
}

impl StorageService {
    /// Logs what this node has on its disk.
    pub(super) fn log_opened_once(&mut self) {
        if std::mem::replace(&mut self.stalls.is_opened_logged, true) {
            return;
        }
        let replica = self.replica.node().replica();
        let fields = [
            Field::number("term", replica.term().0),
            Field::number("last", replica.log().last_index().0),
            Field::number("snapshot", replica.log().snapshot().index.0),
            Field::text("members", format!("{:?}", replica.membership())),
            Field::number("storage_nodes", self.workers.view.storage().records().count() as u64),
        ];
        record(LogEvent::ReplicaOpened, &fields);
    }

    /// Reviews the open items and the state of the group if due, and reports what makes no progress.
    pub(super) fn review_stalls(&mut self) {
        let now = self.now();
        if !self.stalls.poll_review(now) {
            return;
        }
        let review = self.items.review_idle(now);
        let leader = self.known_leader();
        let leaderless = self.stalls.observe_leader(leader, now);
        let replica = self.replica.node().replica();
        let leads = replica.is_leader();
        let open_items = if leads || leaderless.is_some() { self.open_items() } else { 0 };
        let group = self.describe_group(now);
        let stall =
            |cause, span, detail: String| Stall { cause, items: open_items as u32, span, detail: detail.into() };
        let mut stalls = review.stalls;
        stalls.extend(leaderless.map(|span| stall(StallCause::NoLeader, span, group.clone())));
        if let Some(since) = replica.uncommitted_since() {
            stalls.push(stall(
                StallCause::Commit,
                now.since(since),
                format!("{group}; {}", describe_followers(replica, now)),
            ));
        }
        stalls.extend(
            self.old_view(now)
                .filter(|_| leads && open_items > 0)
                .map(|(span, detail)| stall(StallCause::OldView, span, detail)),
        );
        let standstill = Standstill::new(open_items, stalls);
        let known_leader = leader.map(|leader| leader.to_string());
        report_stalls(&mut self.stalls.log, &standstill, &self.membership.id().to_string(), now);
        status::set_part(
            &format!("storage {}", self.membership.id()),
            json!({
                "leads": leads, "leader": known_leader, "group": group, "standstill": status::standstill(&standstill),
                "items": review.items.iter().map(|item| self.describe_item(item)).collect::<Vec<Value>>(),
            }),
        );
        self.loads.set_standstill(standstill);
    }

    fn open_items(&self) -> usize {
        if self.is_leader {
            return self.items.open_count();
        }
        self.replica.node().table().jobs().map(|(_, job)| job.open_items().count()).sum()
    }

    /// Returns the leader that this replica follows, or that this spare has found.
    fn known_leader(&self) -> Option<NodeId> {
        let leader = self.replica.node().replica().leader();
        leader.or_else(|| self.joins.leader().filter(|_| !self.is_member()))
    }

    /// Returns for how long this node's view of the metadata store has been older than its bound.
    fn old_view(&self, _now: Timestamp) -> Option<(Millis, String)> {
        let (age, bound) = self.items.view_age();
        match age {
            Some(age) if age > bound => Some((Millis(age.0 - bound.0), format!("the view is {} ms old", age.0))),
            _ => None,
        }
    }

    fn describe_group(&self, now: Timestamp) -> String {
        let replica = self.replica.node().replica();
        let directory = self.workers.view.storage();
        let planner = self.membership.contacts();
        let voters = replica.membership().voters.iter().filter(|voter| **voter != self.membership.id()).map(|voter| {
            let address = if directory.of_node(*voter).is_some() { "" } else { " without an address" };
            match planner.contact_age(*voter, now) {
                Some(age) => format!("{voter}{address} heard {} ms ago", age.0),
                None => format!("{voter}{address} never heard"),
            }
        });
        let voters: Vec<String> = voters.collect();
        format!(
            "term {}, {} of {} entries committed, {} voters: {}",
            replica.term().0,
            replica.commit().0,
            replica.log().last_index().0,
            replica.membership().voters.len(),
            voters.join(", ")
        )
    }

    fn describe_item(&self, item: &IdleItem) -> Value {
        json!({
            "job": item.key.job.to_string(), "item": item.key.item, "state": item.state, "for_ms": item.span.0,
            "failures": item.failures, "events": item.events, "worker": self.items.worker_of(&item.key),
        })
    }
}

fn describe_followers(replica: &Replica, now: Timestamp) -> String {
    let followers = replica.membership().members().filter_map(|node| Some((node, replica.progress(node)?)));
    let described = followers.map(|(node, progress)| {
        let answered =
            progress.last_answer.map_or_else(|| "never".to_owned(), |at| format!("{} ms ago", now.since(at).0));
        let snapshot = progress.pending_snapshot.map_or("", |_| ", a snapshot under way");
        format!("{node} has {}, answered {answered}{snapshot}", progress.matched.0)
    });
    described.collect::<Vec<String>>().join(", ")
}
