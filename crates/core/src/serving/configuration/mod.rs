//! Configuration of a gateway: routes, services and tenants.
//!
//! Stores one version of the configuration as typed values. The gateway crate decodes and validates the operator's
//! records, and a node replaces its configuration only by a higher version.

pub mod tenant;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;

use crate::serving::regions::AllowedRegions;
use crate::serving::workers::cold_start::ColdStart;
use crate::time::Millis;
use tenant::{ApiKey, CallerIdentity, Tenant, TenantName, TenantTable, UnknownKey};

/// Kind of a route, which determines whether and how its requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests are idempotent and may run any number of times.
    Repeatable,
    /// Requests run at most once.
    AtMostOnce,
    /// The response is a stream of events.
    Stream {
        /// Whether another worker may continue after the last event that was forwarded.
        resumable: bool,
    },
    /// The route accepts batch jobs.
    Batch,
}

impl RouteKind {
    /// Returns whether a request that may have run on one worker may run on another.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true } | Self::Batch)
    }
}

/// A service that receives a fraction of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host whose requests the route matches.
    pub host: Arc<str>,
    /// Path prefix that the route matches. Begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether and how its requests may be retried.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Millis,
    /// Latency objective for the first chunk of the response.
    pub objective: Millis,
    /// Latency objective for the gap between events of a stream, if the route has one.
    pub gap_target: Option<Millis>,
    /// Maximum number of workers on which one request may run.
    pub max_attempts: u32,
    /// Services that receive its requests.
    pub targets: Vec<RouteTarget>,
    /// For batch routes: time after the submission at which results are due.
    pub due: Millis,
    /// For batch routes: time after the submission after which an item may be abandoned.
    pub give_up_after: Option<Millis>,
    /// For batch routes: maximum number of queued tokens per tenant; `None` for no limit.
    pub queued_token_limit: Option<u64>,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// Regions in which its requests may be processed and stored.
    pub regions: AllowedRegions,
}

impl Route {
    /// Returns whether the route has a target that is the given service.
    pub fn leads_to(&self, service: &str) -> bool {
        self.targets.iter().any(|target| &*target.service == service)
    }

    /// Selects a service at random by the targets' weights, or the first one if all weights are zero.
    pub fn select_service(&self, random: &mut impl Rng) -> Option<&Arc<str>> {
        let first = self.targets.first().map(|target| &target.service);
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if self.targets.len() < 2 || total == 0 {
            return first;
        }
        let mut drawn = random.random_range(0..total);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if drawn < weight {
                return Some(&target.service);
            }
            drawn -= weight;
        }
        first
    }
}

/// A service, whose workers are interchangeable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Maximum number of connections that one worker accepts from all nodes together.
    pub max_connections: u32,
    /// Number of requests that one worker processes concurrently.
    pub slots: u32,
    /// Number of tokens that fit into one worker's memory; 0 if unknown.
    pub cache_tokens: u64,
    /// Load limit of a worker for some time after its start; `None` if it takes full load immediately.
    pub cold_start: Option<ColdStart>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time between requests on a connection, including the time to receive the next request's head.
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
    /// Version number, which increases with each change.
    pub version: u64,
    /// Routes of each host, longest prefix first.
    routes: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Tenants; `None` if no route requires an API key.
    pub tenants: Option<TenantTable>,
    /// Limits on callers' requests and connections.
    pub bounds: CallerBounds,
}

impl GatewayConfiguration {
    /// Builds a version without tenants.
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

    /// Returns this version with the given tenants.
    pub fn with_tenants(mut self, tenants: TenantTable) -> Self {
        self.tenants = Some(tenants);
        self
    }

    /// Returns the identity on whose behalf a request with this key, if any, is made.
    ///
    /// # Errors
    ///
    /// [`UnknownKey`] if the key belongs to no tenant, or is missing, and the route is not public.
    pub fn identify(&self, key: Option<&ApiKey>, is_public: bool) -> Result<CallerIdentity, UnknownKey> {
        let Some(tenants) = &self.tenants else { return Ok(CallerIdentity::Unchecked) };
        match key.and_then(|key| tenants.tenant_for_key(key)) {
            Some(tenant) => Ok(CallerIdentity::Tenant(tenant.name.clone())),
            None if is_public => Ok(CallerIdentity::Public),
            None => Err(UnknownKey),
        }
    }

    /// Returns the tenant with this name, if any.
    pub fn tenant(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.tenants.as_ref()?.named(name)
    }

    /// Returns the load limits after a worker's start, for the services that define one.
    pub fn cold_starts(&self) -> BTreeMap<Arc<str>, ColdStart> {
        let named = self.services.values().filter_map(|service| Some((service.name.clone(), service.cold_start?)));
        named.collect()
    }

    /// Returns the regions in which a request may be processed and stored: those allowed by both the route and the
    /// tenant.
    pub fn regions_for(&self, route: &Route, tenant: Option<&TenantName>) -> AllowedRegions {
        match tenant.and_then(|name| self.tenant(name)) {
            Some(tenant) => route.regions.intersection(&tenant.regions),
            None => route.regions.clone(),
        }
    }

    /// Returns the route of a request: the one of its host with the longest matching prefix.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the route with this name, if any.
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.values().flatten().find(|route| &*route.name == name)
    }

    /// Returns whether requests about batch jobs need no API key on a host, which is the case if it has batch routes
    /// and all of them are public.
    pub fn has_public_jobs(&self, host: &str) -> bool {
        let routes = self.routes.get(host).into_iter().flatten();
        let mut batch = routes.filter(|route| route.kind == RouteKind::Batch).peekable();
        batch.peek().is_some() && batch.all(|route| route.is_public)
    }
}
