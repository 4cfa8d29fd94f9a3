//! Tenants: identity, API keys and rate limits.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::serving::regions::AllowedRegions;

/// Name of a tenant, as configured by the operator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantName(Arc<str>);

impl TenantName {
    /// Creates a name.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TenantName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Secret that identifies a caller's tenant. `Debug` does not print it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Creates a key.
    pub fn new(key: &str) -> Self {
        Self(Arc::from(key))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// Number of requests in thousandths. Negative for a debt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MilliRequests(pub i64);

impl MilliRequests {
    /// Converts a number of requests, rounding to thousandths.
    pub fn of(requests: f64) -> Self {
        Self((requests * 1_000.0).round() as i64)
    }

    /// Returns the number of requests.
    pub fn requests(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for MilliRequests {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.3}", self.requests())
    }
}

/// Rate limit of a tenant over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Sustained rate in requests per second.
    pub per_s: MilliRequests,
    /// Number of requests that may exceed the rate at once.
    pub burst: MilliRequests,
}

/// A tenant with its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: TenantName,
    /// Rate limit; `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Regions in which its requests may be processed and stored.
    pub regions: AllowedRegions,
}

/// A configured tenant with its keys.
#[derive(Clone, Debug)]
pub struct TenantEntry {
    /// The tenant.
    pub tenant: Tenant,
    /// Its API keys. A tenant without keys cannot send requests.
    pub keys: Vec<ApiKey>,
}

/// Reason why the configured tenants are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TenantError {
    /// A tenant has an empty name.
    #[snafu(display("a tenant's name is empty"))]
    EmptyName,
    /// Two tenants have the same name.
    #[snafu(display("the tenant {name} stands twice"))]
    DuplicateName {
        /// Name used twice.
        name: TenantName,
    },
    /// A tenant has an empty key.
    #[snafu(display("a key of the tenant {name} is empty"))]
    EmptyKey {
        /// Name of the tenant.
        name: TenantName,
    },
    /// Two tenants have the same key.
    #[snafu(display("the tenants {first} and {second} have the same key"))]
    SharedKey {
        /// Tenant that was configured first.
        first: TenantName,
        /// Tenant that uses the key as well.
        second: TenantName,
    },
}

/// Tenants of one version of the configuration, indexed by key and by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TenantTable {
    by_key: BTreeMap<ApiKey, Arc<Tenant>>,
    by_name: BTreeMap<TenantName, Arc<Tenant>>,
}

impl TenantTable {
    /// Builds the table.
    ///
    /// # Errors
    ///
    /// [`TenantError`] if a name or a key is empty or does not identify a single tenant.
    pub fn new(entries: Vec<TenantEntry>) -> Result<Self, TenantError> {
        let mut table = Self::default();
        for TenantEntry { tenant, keys } in entries {
            table.insert(Arc::new(tenant), keys)?;
        }
        Ok(table)
    }

    fn insert(&mut self, tenant: Arc<Tenant>, keys: Vec<ApiKey>) -> Result<(), TenantError> {
        let name = tenant.name.clone();
        if name.as_str().is_empty() {
            return EmptyNameSnafu.fail();
        }
        for key in keys {
            if key.0.is_empty() {
                return EmptyKeySnafu { name }.fail();
            }
            match self.by_key.insert(key, tenant.clone()) {
                Some(other) if other.name != name => {
                    return SharedKeySnafu { first: other.name.clone(), second: name }.fail();
                }
                _ => {}
            }
        }
        match self.by_name.insert(name.clone(), tenant) {
            Some(_) => DuplicateNameSnafu { name }.fail(),
            None => Ok(()),
        }
    }

    /// Returns the tenant to which a key belongs.
    pub fn tenant_for_key(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Returns the tenant with this name.
    pub fn named(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }
}

/// Identity on whose behalf a request is made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerIdentity {
    /// Not authenticated, since no tenants are configured.
    Unchecked,
    /// Unknown caller of a public route.
    Public,
    /// Tenant identified by its key.
    Tenant(TenantName),
}

impl CallerIdentity {
    /// Returns the tenant, if the caller was identified as one.
    pub fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Tenant(name) => Some(name),
            Self::Unchecked | Self::Public => None,
        }
    }

    /// Returns whether the caller may access what belongs to `owner`. Anyone may access what has no owner.
    pub fn may_access(&self, owner: Option<&TenantName>) -> bool {
        match (self, owner) {
            (Self::Unchecked, _) | (_, None) => true,
            (caller, Some(owner)) => caller.tenant() == Some(owner),
        }
    }
}

/// Error for a request without a valid key where one is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;
