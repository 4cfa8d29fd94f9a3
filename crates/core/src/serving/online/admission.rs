//! Admission: which requests are served at all, on which route and on whose behalf.
//!
//! Relies on the newest configuration that the node knows, which is at most the bound on the spread of changes old.

use std::sync::Arc;

use crate::error::{ErrorKind, Refusal};
use crate::serving::configuration::tenant::{ApiKey, CallerIdentity};
use crate::serving::configuration::{GatewayConfiguration, Route};
use crate::serving::regions::AllowedRegions;
use crate::time::Millis;

/// How long a node that has just started lets a request wait for the configuration, in milliseconds; a refusal after
/// that comes soon enough to be tried elsewhere.
pub const CONFIGURATION_TIMEOUT: Millis = Millis(60);

/// What a request asks for, as far as admission goes by it.
#[derive(Clone, Copy, Debug)]
pub struct RequestAddress<'a> {
    /// The host, without its port.
    pub host: &'a str,
    /// The path, without its query.
    pub path: &'a str,
    /// The path and query, as the caller wrote them.
    pub target: &'a str,
    /// The key that the caller shows.
    pub key: Option<&'a ApiKey>,
}

/// Where an admitted request goes.
#[derive(Clone, Debug)]
pub struct AdmittedRoute {
    /// Its route.
    pub route: Arc<Route>,
    /// On whose behalf it comes.
    pub identity: CallerIdentity,
    /// Where it may run and lie.
    pub regions: AllowedRegions,
}

/// Admits a request to the route that its host and path lead to.
///
/// # Errors
///
/// The refusal: no route leads there, or the route is not public and the key is no tenant's.
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

/// Admits a call about batch jobs. It needs no key where all of the host's routes for batch are public.
///
/// # Errors
///
/// The refusal: the key is no tenant's.
pub fn admit_job_call(
    configuration: &GatewayConfiguration,
    address: RequestAddress<'_>,
) -> Result<CallerIdentity, Refusal> {
    identify(configuration, address, configuration.has_public_jobs(address.host))
}

/// The refusal while no configuration is known.
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
