//! State of the configured engines, as seen by this node.

use std::collections::BTreeMap;

use super::load::LoadReport;
use crate::backoff::Backoff;
use crate::identity::EngineName;
use crate::node::configuration::fleet::{Engine, FleetConfiguration};
use crate::time::{Millis, Timestamp};

/// Number of consecutive failures after which an engine is ejected.
const EJECTION_FAILURE_THRESHOLD: u32 = 3;
/// Duration of an ejection, which doubles with each one up to the maximum.
const EJECTION_BACKOFF: Backoff = Backoff::new(Millis(2_000), Millis(30_000));
/// Load reports older than this are ignored.
const MAX_REPORT_AGE: Millis = Millis(3_000);

/// States that an engine incarnation is leaving. This is permanent: an incarnation that leaves never returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingFact {
    /// Name of the engine.
    pub engine: EngineName,
    /// Latest leaving incarnation; all earlier ones are leaving too.
    pub incarnation: u64,
}

/// State of one engine, as seen by this node.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Configuration of the engine.
    pub configured: Engine,
    /// Latest known incarnation.
    pub incarnation: u64,
    /// Latest incarnation known to be leaving; all earlier ones are leaving too.
    pub leaving_up_to: Option<u64>,
    /// Latest load report and the time it was received.
    pub report: Option<(Timestamp, LoadReport)>,
    /// Number of online requests of this node in flight at the engine.
    pub local_online: u32,
    /// Value of `local_online` when the latest report was received.
    local_online_at_report: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

/// The configured engines, ordered by name.
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    engines: BTreeMap<EngineName, EngineState>,
    /// Latest leaving incarnation by engine. Stored separately because an engine's departure may be reported
    /// before the configuration that contains the engine arrives.
    leaving: BTreeMap<EngineName, u64>,
}

impl EngineState {
    fn new(configured: Engine) -> Self {
        Self {
            configured,
            incarnation: 0,
            leaving_up_to: None,
            report: None,
            local_online: 0,
            local_online_at_report: 0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Returns whether the engine's current incarnation is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_up_to.is_some_and(|incarnation| incarnation >= self.incarnation)
    }

    /// Returns whether the engine is ejected because of failures.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the engine may be given new work: it is neither leaving nor ejected.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        !self.is_leaving() && !self.is_ejected(now)
    }

    /// Returns the number of sequences the engine decodes concurrently: the reported number if there is one,
    /// else the configured one.
    pub fn slots(&self) -> u32 {
        match &self.report {
            Some((_, report)) if report.slots > 0 => report.slots,
            _ => self.configured.slots,
        }
    }

    /// Estimates the number of online sequences at the engine: the reported number, adjusted for requests
    /// that this node has started or finished since the report.
    pub fn estimated_online(&self, now: Timestamp) -> u32 {
        match &self.report {
            Some((at, report)) if now.since(*at) < MAX_REPORT_AGE => {
                let others = report.online().saturating_sub(self.local_online_at_report);
                others + self.local_online
            }
            _ => self.local_online,
        }
    }
}

impl EngineTable {
    /// Applies a new configuration, preserving the state of engines that remain configured.
    pub fn configure(&mut self, fleet: &FleetConfiguration) {
        let mut previous = std::mem::take(&mut self.engines);
        for (name, engine) in &fleet.engines {
            let mut state = match previous.remove(name) {
                Some(state) => EngineState { configured: engine.clone(), ..state },
                None => EngineState::new(engine.clone()),
            };
            state.leaving_up_to = self.leaving.get(name).copied();
            self.engines.insert(name.clone(), state);
        }
    }

    /// Returns the state of an engine, if it is configured.
    pub fn get(&self, name: &EngineName) -> Option<&EngineState> {
        self.engines.get(name)
    }

    /// Returns an iterator over all engines, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&EngineName, &EngineState)> {
        self.engines.iter()
    }

    /// Returns an iterator over the engines of a service, ordered by name.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (&'a EngineName, &'a EngineState)> {
        self.engines.iter().filter(move |(_, state)| &*state.configured.service == service)
    }

    /// Records that an online request was sent to the engine.
    pub fn record_online_start(&mut self, name: &EngineName) {
        if let Some(state) = self.engines.get_mut(name) {
            state.local_online += 1;
        }
    }

    /// Records that an online request is no longer in flight at the engine.
    pub fn record_online_end(&mut self, name: &EngineName) {
        if let Some(state) = self.engines.get_mut(name) {
            state.local_online = state.local_online.saturating_sub(1);
        }
    }

    /// Records a load report. Returns a fact to disseminate if the report is the first to state that the
    /// engine is leaving.
    pub fn record_report(&mut self, name: &EngineName, report: LoadReport, now: Timestamp) -> Option<LeavingFact> {
        let state = self.engines.get_mut(name)?;
        if report.incarnation < state.incarnation {
            return None;
        }
        let (leaving, incarnation) = (report.leaving, report.incarnation);
        state.incarnation = incarnation;
        state.local_online_at_report = state.local_online;
        state.report = Some((now, report));
        if leaving { self.record_leaving(&LeavingFact { engine: name.clone(), incarnation }) } else { None }
    }

    /// Updates the engine's loaded models from its response to an order.
    pub fn record_loaded_models(&mut self, name: &EngineName, loaded: Vec<String>) {
        let state = self.engines.get_mut(name);
        if let Some((_, report)) = state.and_then(|state| state.report.as_mut()) {
            report.loaded = loaded;
        }
    }

    /// Records an incarnation found in the machine list.
    pub fn record_incarnation(&mut self, name: &EngineName, incarnation: u64) {
        if let Some(state) = self.engines.get_mut(name) {
            state.incarnation = state.incarnation.max(incarnation);
        }
    }

    /// Records that an engine is leaving. Returns the fact if it is new.
    pub fn record_leaving(&mut self, fact: &LeavingFact) -> Option<LeavingFact> {
        let is_new = self.leaving.get(&fact.engine).is_none_or(|known| *known < fact.incarnation);
        if !is_new {
            return None;
        }
        self.leaving.insert(fact.engine.clone(), fact.incarnation);
        if let Some(state) = self.engines.get_mut(&fact.engine) {
            state.leaving_up_to = Some(fact.incarnation);
        }
        Some(fact.clone())
    }

    /// Records that an engine refused work because it is leaving. Returns the fact if it is new.
    pub fn record_leaving_refusal(&mut self, name: &EngineName) -> Option<LeavingFact> {
        let incarnation = self.engines.get(name)?.incarnation;
        self.record_leaving(&LeavingFact { engine: name.clone(), incarnation })
    }

    /// Returns all known facts about leaving engines.
    pub fn leaving_facts(&self) -> Vec<LeavingFact> {
        let to_fact = |(engine, incarnation): (&EngineName, &u64)| LeavingFact {
            engine: engine.clone(),
            incarnation: *incarnation,
        };
        self.leaving.iter().map(to_fact).collect()
    }

    /// Records a successful attempt, which resets the failure and ejection counts.
    pub fn record_success(&mut self, name: &EngineName) {
        if let Some(state) = self.engines.get_mut(name) {
            state.failures = 0;
            state.ejections = 0;
            state.ejected_until = None;
        }
    }

    /// Records a failed attempt. Returns whether it caused the engine to be ejected.
    pub fn record_failure(&mut self, name: &EngineName, now: Timestamp) -> bool {
        let Some(state) = self.engines.get_mut(name) else { return false };
        state.failures += 1;
        if state.failures < EJECTION_FAILURE_THRESHOLD {
            return false;
        }
        state.ejected_until = Some(now + EJECTION_BACKOFF.wait(state.ejections));
        state.failures = 0;
        state.ejections += 1;
        true
    }
}
