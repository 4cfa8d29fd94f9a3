//! Tenants: who they are, by which keys they call, and how much they may ask.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::serving::regions::AllowedRegions;

/// The name of a tenant, as the operator gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantName(Arc<str>);

impl TenantName {
    /// Builds a name from text.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TenantName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A secret by which a caller shows which tenant it belongs to. Its text is never printed.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Builds a key from text.
    pub fn new(key: &str) -> Self {
        Self(Arc::from(key))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// A number of requests, in thousandths. Negative where more was spent than there was.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MilliRequests(pub i64);

impl MilliRequests {
    /// So many requests, rounded to thousandths.
    pub fn of(requests: f64) -> Self {
        Self((requests * 1_000.0).round() as i64)
    }

    /// The number of requests.
    pub fn requests(self) -> f64 {
        self.0 as f64 / 1_000.0
    }
}

impl fmt::Display for MilliRequests {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:.3}", self.requests())
    }
}

/// How much a tenant may ask over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Requests in a second, in the long run.
    pub per_s: MilliRequests,
    /// Requests on top of that at once.
    pub burst: MilliRequests,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// How much it may ask; `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Where its requests may run and lie.
    pub regions: AllowedRegions,
}

/// A tenant and its keys, as they are configured.
#[derive(Clone, Debug)]
pub struct TenantEntry {
    /// The tenant.
    pub tenant: Tenant,
    /// Its keys. A tenant without any can't call.
    pub keys: Vec<ApiKey>,
}

/// Why tenants can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum TenantError {
    /// A tenant has no name.
    #[snafu(display("a tenant's name is empty"))]
    EmptyName,
    /// A name stands twice.
    #[snafu(display("the tenant {name} stands twice"))]
    DuplicateName {
        /// The name.
        name: TenantName,
    },
    /// A key is empty.
    #[snafu(display("a key of the tenant {name} is empty"))]
    EmptyKey {
        /// The tenant.
        name: TenantName,
    },
    /// Two tenants have the same key.
    #[snafu(display("the tenants {first} and {second} have the same key"))]
    SharedKey {
        /// One of them.
        first: TenantName,
        /// The other.
        second: TenantName,
    },
}

/// All tenants of one version of the configuration.
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
    /// [`TenantError`]: a key or a name would not say which tenant is meant.
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

    /// The tenant that a key belongs to.
    pub fn of_key(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// The tenant of that name.
    pub fn named(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }
}

/// On whose behalf a request comes, as far as that was checked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerIdentity {
    /// The configuration has no tenants, so nobody was asked.
    Unchecked,
    /// Whoever it is: the route is open to all.
    Public,
    /// A tenant, by its key.
    Tenant(TenantName),
}

impl CallerIdentity {
    /// The tenant, if it is known.
    pub fn tenant(&self) -> Option<&TenantName> {
        match self {
            Self::Tenant(name) => Some(name),
            Self::Unchecked | Self::Public => None,
        }
    }

    /// Whether the caller may see what belongs to `owner`. What belongs to nobody is open to all.
    pub fn may_see(&self, owner: Option<&TenantName>) -> bool {
        match (self, owner) {
            (Self::Unchecked, _) | (_, None) => true,
            (caller, Some(owner)) => caller.tenant() == Some(owner),
        }
    }
}

/// A caller showed no key of any tenant where one is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;
