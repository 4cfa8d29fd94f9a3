//! Every configured engine with what this node knows of it.

use std::collections::BTreeMap;

use super::load::LoadReport;
use crate::backoff::Backoff;
use crate::identity::EngineName;
use crate::node::configuration::fleet::{Engine, FleetConfiguration};
use crate::time::{Millis, Timestamp};

/// Failures in a row before an engine is ejected.
const EJECTION_FAILURE_THRESHOLD: u32 = 3;
/// How long an engine is ejected. Doubles from the first value to the second.
const EJECTION_BACKOFF: Backoff = Backoff::new(Millis(2_000), Millis(30_000));
/// A report older than this is not used.
const MAX_REPORT_AGE: Millis = Millis(3_000);

/// An engine's incarnation is leaving. This only grows: an incarnation that leaves never returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingFact {
    /// The engine.
    pub engine: EngineName,
    /// All incarnations up to this one are leaving.
    pub incarnation: u64,
}

/// What this node knows of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// What the operators' files say.
    pub configured: Engine,
    /// The latest incarnation reported.
    pub incarnation: u64,
    /// Incarnations up to this one are leaving.
    pub leaving_up_to: Option<u64>,
    /// The latest report and when it came.
    pub report: Option<(Timestamp, LoadReport)>,
    /// Online requests that this node has there.
    pub own_online: u32,
    /// What `own_online` was when the latest report came.
    own_online_at_report: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Timestamp>,
}

/// Every configured engine.
#[derive(Clone, Debug, Default)]
pub struct EngineTable {
    engines: BTreeMap<EngineName, EngineState>,
    /// Incarnations up to these are leaving. Kept apart, since a report of an engine may come before the
    /// configuration that names it.
    leaving: BTreeMap<EngineName, u64>,
}

impl EngineState {
    fn new(configured: Engine) -> Self {
        Self {
            configured,
            incarnation: 0,
            leaving_up_to: None,
            report: None,
            own_online: 0,
            own_online_at_report: 0,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Whether the engine's present incarnation is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving_up_to.is_some_and(|incarnation| incarnation >= self.incarnation)
    }

    /// Whether the engine is ejected for its failures.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the engine may be given new work.
    pub fn is_usable(&self, now: Timestamp) -> bool {
        !self.is_leaving() && !self.is_ejected(now)
    }

    /// Sequences the engine decodes at once.
    pub fn slots(&self) -> u32 {
        match &self.report {
            Some((_, report)) if report.slots > 0 => report.slots,
            _ => self.configured.slots,
        }
    }

    /// Online sequences believed to be there: those reported, corrected by what this node itself sent
    /// or saw finished since.
    pub fn estimated_online(&self, now: Timestamp) -> u32 {
        match &self.report {
            Some((at, report)) if now.since(*at) < MAX_REPORT_AGE => {
                let others = report.online().saturating_sub(self.own_online_at_report);
                others + self.own_online
            }
            _ => self.own_online,
        }
    }
}

impl EngineTable {
    /// Takes a new configuration. What is known of engines that stay is kept.
    pub fn configure(&mut self, fleet: &FleetConfiguration) {
        let mut earlier = std::mem::take(&mut self.engines);
        for (name, engine) in &fleet.engines {
            let mut state = match earlier.remove(name) {
                Some(state) => EngineState { configured: engine.clone(), ..state },
                None => EngineState::new(engine.clone()),
            };
            state.leaving_up_to = self.leaving.get(name).copied();
            self.engines.insert(name.clone(), state);
        }
    }

    /// One engine.
    pub fn get(&self, name: &EngineName) -> Option<&EngineState> {
        self.engines.get(name)
    }

    /// All engines, in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&EngineName, &EngineState)> {
        self.engines.iter()
    }

    /// Engines of a service, in order of name.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = (&'a EngineName, &'a EngineState)> {
        self.engines.iter().filter(move |(_, state)| &*state.configured.service == service)
    }

    /// Notes that an online request was sent.
    pub fn online_started(&mut self, name: &EngineName) {
        if let Some(state) = self.engines.get_mut(name) {
            state.own_online += 1;
        }
    }

    /// Notes that an online request is there no more.
    pub fn online_ended(&mut self, name: &EngineName) {
        if let Some(state) = self.engines.get_mut(name) {
            state.own_online = state.own_online.saturating_sub(1);
        }
    }

    /// Takes a load report. Returns a fact to spread if the engine newly says that it is leaving.
    pub fn record_report(&mut self, name: &EngineName, report: LoadReport, now: Timestamp) -> Option<LeavingFact> {
        let state = self.engines.get_mut(name)?;
        if report.incarnation < state.incarnation {
            return None;
        }
        let (leaving, incarnation) = (report.leaving, report.incarnation);
        state.incarnation = incarnation;
        state.own_online_at_report = state.own_online;
        state.report = Some((now, report));
        if leaving { self.record_leaving(&LeavingFact { engine: name.clone(), incarnation }) } else { None }
    }

    /// Notes what an engine has loaded, from its answer to an order.
    pub fn note_loaded(&mut self, name: &EngineName, loaded: Vec<String>) {
        let state = self.engines.get_mut(name);
        if let Some((_, report)) = state.and_then(|state| state.report.as_mut()) {
            report.loaded = loaded;
        }
    }

    /// Notes that an incarnation exists, from the machine list.
    pub fn record_incarnation(&mut self, name: &EngineName, incarnation: u64) {
        if let Some(state) = self.engines.get_mut(name) {
            state.incarnation = state.incarnation.max(incarnation);
        }
    }

    /// Learns that an engine is leaving. Returns the fact if it is new.
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

    /// An engine refused work because it is leaving. Returns the fact if it is new.
    pub fn record_leaving_refusal(&mut self, name: &EngineName) -> Option<LeavingFact> {
        let incarnation = self.engines.get(name)?.incarnation;
        self.record_leaving(&LeavingFact { engine: name.clone(), incarnation })
    }

    /// All that is known of leaving engines.
    pub fn leaving_facts(&self) -> Vec<LeavingFact> {
        let fact_of = |(engine, incarnation): (&EngineName, &u64)| LeavingFact {
            engine: engine.clone(),
            incarnation: *incarnation,
        };
        self.leaving.iter().map(fact_of).collect()
    }

    /// Notes a whole answer.
    pub fn succeeded(&mut self, name: &EngineName) {
        if let Some(state) = self.engines.get_mut(name) {
            state.failures = 0;
            state.ejections = 0;
            state.ejected_until = None;
        }
    }

    /// Notes a failure. Returns whether this ejects the engine.
    pub fn failed(&mut self, name: &EngineName, now: Timestamp) -> bool {
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
