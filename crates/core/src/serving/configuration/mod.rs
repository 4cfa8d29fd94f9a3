//! The configuration that a gateway goes by: routes, services and limits.
//!
//! Owns one version of it as typed values. The adapter decodes it from the operator's records and checks it there; a node
//! replaces it only by a higher version.

pub mod tenant;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;

use crate::serving::regions::AllowedRegions;
use crate::serving::workers::cold_start::ColdStart;
use crate::time::Millis;
use tenant::{ApiKey, CallerIdentity, Tenant, TenantName, TenantTable, UnknownKey};

/// Whether and how a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run any number of times.
    Repeatable,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream {
        /// Another worker may go on after the last event that was passed on.
        resumable: bool,
    },
    /// Batch jobs are submitted here.
    Batch,
}

impl RouteKind {
    /// Whether a request may run on a second worker after it may have run on a first.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true } | Self::Batch)
    }
}

/// A part of a route's traffic and the service that takes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: Arc<str>,
    /// Its share, against the weights of the route's other targets.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that it belongs to.
    pub host: Arc<str>,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether and how its requests may run again.
    pub kind: RouteKind,
    /// The longest time that a request may take.
    pub timeout: Millis,
    /// The time to the first piece of the answer that counts as in time.
    pub objective: Millis,
    /// The longest pause between events that counts as in time, if the route has one.
    pub gap_target: Option<Millis>,
    /// Most workers that one request may run on.
    pub max_attempts: u32,
    /// Where its requests go.
    pub targets: Vec<RouteTarget>,
    /// For batch: after which time from the submission results are due.
    pub due: Millis,
    /// For batch: after which time from the submission an item may be given up.
    pub give_up_after: Option<Millis>,
    /// For batch: most tokens of one tenant that may wait; `None` for no limit.
    pub queued_token_limit: Option<u64>,
    /// Callers need no key.
    pub is_public: bool,
    /// Where its requests may run and lie.
    pub regions: AllowedRegions,
}

impl Route {
    /// The service that takes a request, drawn by the targets' weights. The first one where all weights are zero.
    pub fn draw_service(&self, random: &mut impl Rng) -> Option<&Arc<str>> {
        let first = self.targets.first().map(|target| &target.service);
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        if self.targets.len() < 2 || total == 0 {
            return first;
        }
        let mut drawn = random.random_range(0..total);
        for target in &self.targets {
            if drawn < target.weight {
                return Some(&target.service);
            }
            drawn -= target.weight;
        }
        first
    }
}

/// One service: workers that are alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// Most connections that one worker accepts from all nodes together.
    pub max_connections: u32,
    /// Requests that one worker runs at once.
    pub slots: u32,
    /// Tokens that fit into one worker's memory; 0 if not known.
    pub cache_tokens: u64,
    /// What a worker bears for some time after its start; `None` if as much as later.
    pub cold_start: Option<ColdStart>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Most bytes in a request's head.
    pub head_bytes: usize,
    /// Most bytes in a request's body.
    pub body_bytes: usize,
    /// Longest rest of a connection between requests, the time for the next request's head included.
    pub idle_timeout: Millis,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self { head_bytes: 16 << 10, body_bytes: 4 << 20, idle_timeout: Millis(15_000) }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GatewayConfiguration {
    /// Grows with each change.
    pub version: u64,
    /// The routes of each host, longest prefix first.
    routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// The services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// The tenants; `None` if callers need no key anywhere.
    pub tenants: Option<TenantTable>,
    /// What callers may send.
    pub bounds: CallerBounds,
}

impl GatewayConfiguration {
    /// Builds a version from its parts.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, bounds: CallerBounds) -> Self {
        let mut by_host: BTreeMap<Arc<str>, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Self { version, routes: by_host, services, tenants: None, bounds }
    }

    /// The same version with tenants.
    pub fn with_tenants(mut self, tenants: TenantTable) -> Self {
        self.tenants = Some(tenants);
        self
    }

    /// On whose behalf a request comes that shows this key, if any.
    ///
    /// # Errors
    ///
    /// [`UnknownKey`]: it shows no key of a tenant, and the route is not public.
    pub fn identify(&self, key: Option<&ApiKey>, is_public: bool) -> Result<CallerIdentity, UnknownKey> {
        let Some(tenants) = &self.tenants else { return Ok(CallerIdentity::Unchecked) };
        match key.and_then(|key| tenants.of_key(key)) {
            Some(tenant) => Ok(CallerIdentity::Tenant(tenant.name.clone())),
            None if is_public => Ok(CallerIdentity::Public),
            None => Err(UnknownKey),
        }
    }

    /// A tenant; `None` if this version has no tenant of that name.
    pub fn tenant(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.tenants.as_ref()?.named(name)
    }

    /// What workers bear after their start, of the services that name it.
    pub fn cold_starts(&self) -> BTreeMap<Arc<str>, ColdStart> {
        let named = self.services.values().filter_map(|service| Some((service.name.clone(), service.cold_start?)));
        named.collect()
    }

    /// Where a request of a route may run and lie: the route and the tenant must both allow it.
    pub fn regions_for(&self, route: &Route, tenant: Option<&TenantName>) -> AllowedRegions {
        match tenant.and_then(|name| self.tenant(name)) {
            Some(tenant) => route.regions.intersection(&tenant.regions),
            None => route.regions.clone(),
        }
    }

    /// The route of a request: of its host's routes, the one with the longest prefix of the path.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The route of that name.
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.values().flatten().find(|route| &*route.name == name)
    }

    /// Whether calls about batch jobs need no key at a host: all its routes for batch are public.
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let routes = self.routes.get(host).into_iter().flatten();
        let mut batch = routes.filter(|route| route.kind == RouteKind::Batch).peekable();
        batch.peek().is_some() && batch.all(|route| route.is_public)
    }
}
