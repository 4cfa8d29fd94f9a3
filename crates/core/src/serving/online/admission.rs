//! Admission: selects the route of a request, authenticates its caller, and refuses requests without a route or a
//! valid key.
//!
//! Decisions use the latest configuration known to the node. Its age is limited by the propagation bound for
//! configuration changes.

use std::sync::Arc;

use crate::error::{ErrorKind, Refusal};
use crate::serving::configuration::tenant::{ApiKey, CallerIdentity};
use crate::serving::configuration::{GatewayConfiguration, Route};
use crate::serving::regions::AllowedRegions;
use crate::time::Millis;

/// Maximum time that a request to a starting node waits for the configuration. Short enough that the caller can still
/// retry elsewhere.
pub const CONFIGURATION_TIMEOUT: Millis = Millis(60);

/// The parts of a request that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestAddress<'a> {
    /// The host, without the port.
    pub host: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The path and query as received.
    pub target: &'a str,
    /// The API key that the caller presented, if any.
    pub key: Option<&'a ApiKey>,
}

/// The result of admitting a request.
#[derive(Clone, Debug)]
pub struct AdmittedRoute {
    /// The route that matches the host and path.
    pub route: Arc<Route>,
    /// The authenticated caller.
    pub identity: CallerIdentity,
    /// The regions in which the request may run and its data may be stored.
    pub regions: AllowedRegions,
}

/// Admits a request to the route that matches its host and path.
///
/// # Errors
///
/// Returns a refusal if no route matches, or if the route is not public and the key belongs to no tenant.
pub fn admit(configuration: &GatewayConfiguration, address: RequestAddress<'_>) -> Result<AdmittedRoute, Refusal> {
    let RequestAddress { host, path, .. } = address;
    let Some(route) = configuration.route_for(host, path).cloned() else {
        let detail = format!("no route has the host {host} and the path {path}");
        return Err(Refusal::new(ErrorKind::UnknownPath, detail));
    };
    let identity = identify(configuration, address, route.is_public)?;
    let regions = configuration.regions_for(&route, identity.tenant());
    Ok(AdmittedRoute { route, identity, regions })
}

/// Admits a call to the batch job API. No key is needed if all batch routes of the host are public.
///
/// # Errors
///
/// Returns a refusal if a key is needed and belongs to no tenant.
pub fn admit_job_call(
    configuration: &GatewayConfiguration,
    address: RequestAddress<'_>,
) -> Result<CallerIdentity, Refusal> {
    identify(configuration, address, configuration.has_public_jobs(address.host))
}

/// Returns the refusal for requests that arrive before any configuration is known.
pub fn not_configured() -> Refusal {
    Refusal::new(ErrorKind::NotConfigured, "no configuration is known yet")
}

fn identify(
    configuration: &GatewayConfiguration,
    address: RequestAddress<'_>,
    is_public: bool,
) -> Result<CallerIdentity, Refusal> {
    let refuse = |_| Refusal::new(ErrorKind::UnknownKey, format!("no key of a tenant, for {}", address.target));
    configuration.identify(address.key, is_public).map_err(refuse)
}
