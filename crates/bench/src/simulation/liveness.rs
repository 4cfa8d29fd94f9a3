//! Conditions that must hold after the faults have ended.

use std::collections::BTreeMap;

use stallmoor_core::node::Node;

use super::report::LivenessTally;
use super::world::World;

impl World {
    /// Evaluates all liveness conditions.
    pub(super) fn liveness(&self) -> Vec<(&'static str, LivenessTally, Vec<String>)> {
        vec![self.jobs_liveness(), self.groups_liveness(), self.configuration_liveness(), self.membership_liveness()]
    }

    fn groups_liveness(&self) -> (&'static str, LivenessTally, Vec<String>) {
        let mut led: BTreeMap<u32, bool> = BTreeMap::new();
        for status in self.slots.iter().filter_map(|slot| slot.node.as_ref()).map(Node::status) {
            for group in status.groups {
                let entry = led.entry(group.group).or_default();
                *entry |= group.leads && group.caught_up && group.voters.len() == 3;
            }
        }
        let details: Vec<String> = led
            .iter()
            .filter(|(_, is_led)| !**is_led)
            .map(|(group, _)| {
                format!("group {group} has no leader with three complete replicas: {}", self.describe_group(*group))
            })
            .collect();
        let tally = LivenessTally {
            checked: led.len() as u64,
            violations: details.len() as u64,
            worst_ms: self.faults.recovery_ms,
        };
        ("groups_whole", tally, details)
    }

    fn describe_group(&self, group: u32) -> String {
        let mut text = String::new();
        for (index, slot) in self.slots.iter().enumerate() {
            let Some(node) = &slot.node else { continue };
            for status in node.status().groups.iter().filter(|status| status.group == group) {
                text.push_str(&format!(
                    "[slot {index} {} leads {} term {} commit {} complete {} voters {:?} learners {:?}] ",
                    slot.identity,
                    status.leads,
                    status.term,
                    status.commit,
                    status.caught_up,
                    status.voters,
                    status.learners
                ));
            }
        }
        text
    }

    fn configuration_liveness(&self) -> (&'static str, LivenessTally, Vec<String>) {
        let running = self.slots.iter().filter_map(|slot| slot.node.as_ref());
        let revisions: Vec<u64> = running.map(Node::configuration_revision).collect();
        let newest = revisions.iter().copied().max().unwrap_or(0).max(self.operators.newest_accepted);
        let behind = revisions.iter().filter(|revision| **revision < newest).count();
        let details =
            if behind > 0 { vec![format!("{behind} nodes are behind revision {newest}")] } else { Vec::new() };
        let worst_ms = self.operators.max_propagation_ms;
        let tally = LivenessTally { checked: revisions.len() as u64, violations: behind as u64, worst_ms };
        ("configuration_everywhere", tally, details)
    }

    fn membership_liveness(&self) -> (&'static str, LivenessTally, Vec<String>) {
        let running: Vec<&Node> = self.slots.iter().filter_map(|slot| slot.node.as_ref()).collect();
        let expected = running.len();
        let wrong = running.iter().filter(|node| node.status().members_present != expected).count();
        let details = if wrong > 0 {
            vec![format!("{wrong} nodes do not see exactly {expected} present nodes")]
        } else {
            Vec::new()
        };
        let tally = LivenessTally { checked: expected as u64, violations: wrong as u64, worst_ms: 0 };
        ("membership_agrees", tally, details)
    }
}
