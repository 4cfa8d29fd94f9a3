//! Steward duties: dividing the engine capacity not used by online requests, and notifying stewards.

use super::machine::Node;
use crate::identity::{EngineName, NodeId};
use crate::node::scheduling::{GRANT_LIFETIME, StewardSettings};
use crate::peer_message::{CreditMessage, PeerMessage};
use crate::time::Millis;

/// Interval at which notices are repeated for engines with online requests in flight.
const ONLINE_NOTICE_INTERVAL: Millis = Millis(1_500);

impl Node {
    pub(super) fn on_batch_request(&mut self, engine: &EngineName, from: NodeId, wanted_streams: u32) {
        let now = self.clock.now;
        let Some(settings) = self.steward_settings(engine) else { return };
        let steward = self.stewards.entry(engine.clone()).or_default();
        steward.record_request(from, wanted_streams, now);
        let limit = steward.grant(from, settings);
        self.send_grant(engine, from, limit);
    }

    pub(super) fn on_online_notice(&mut self, engine: &EngineName, from: NodeId, in_flight: u32) {
        let now = self.clock.now;
        let Some(settings) = self.steward_settings(engine) else { return };
        let steward = self.stewards.entry(engine.clone()).or_default();
        steward.record_online_notice(from, in_flight, now);
        let lowered_limits = steward.lowered_limits(settings);
        for grant in lowered_limits {
            self.send_grant(engine, grant.holder, grant.limit);
        }
    }

    pub(super) fn tick_stewards(&mut self) {
        let now = self.clock.now;
        let engines: Vec<EngineName> = self.stewards.keys().cloned().collect();
        for engine in engines {
            let settings = self.steward_settings(&engine);
            let Some(steward) = self.stewards.get_mut(&engine) else { continue };
            steward.expire(now);
            // Online notices lower limits immediately; limits are raised only here.
            let changed_limits = settings.map(|settings| steward.changed_limits(settings)).unwrap_or_default();
            for grant in changed_limits {
                self.send_grant(&engine, grant.holder, grant.limit);
            }
        }
    }

    fn send_grant(&mut self, engine: &EngineName, holder: NodeId, limit: u32) {
        let message = CreditMessage::Grant { engine: engine.clone(), limit, lifetime: GRANT_LIFETIME };
        self.send(holder, PeerMessage::Credit(message));
    }

    /// Returns the inputs for dividing an engine's capacity. An unusable engine has no slots.
    fn steward_settings(&self, engine: &EngineName) -> Option<StewardSettings> {
        let state = self.engines.get(engine)?;
        let fleet = self.configuration.active()?.fleet.clone();
        let service = fleet.services.get(&state.configured.service)?;
        let slots = if state.is_usable(self.clock.now) { state.slots() } else { 0 };
        Some(StewardSettings { slots, online_headroom: service.online_headroom })
    }

    /// Sends stewards the number of online requests in flight at their engines, after each change and
    /// periodically while there are any.
    pub(super) fn flush_notices(&mut self) {
        let now = self.clock.now;
        if now >= self.batch.next_notice {
            self.batch.next_notice = now + ONLINE_NOTICE_INTERVAL;
            let busy = self.engines.iter().filter(|(_, state)| state.local_online > 0);
            let busy: Vec<EngineName> = busy.map(|(name, _)| name.clone()).collect();
            self.batch.notices_due.extend(busy);
        }
        let from = self.settings.id;
        for engine in std::mem::take(&mut self.batch.notices_due) {
            let in_flight = self.engines.get(&engine).map_or(0, |state| state.local_online);
            let steward = self.steward_of(&engine);
            let message = CreditMessage::OnlineNotice { engine, from, in_flight };
            self.send(steward, PeerMessage::Credit(message));
        }
    }
}
