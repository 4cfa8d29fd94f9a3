//! Tenants' names and keys, and the identity on whose behalf a request is made.

use std::collections::BTreeMap;

use proptest::prelude::*;
use stallmoor_core::serving::configuration::tenant::{
    ApiKey, CallerIdentity, Tenant, TenantEntry, TenantError, TenantName, TenantTable, UnknownKey,
};
use stallmoor_core::serving::configuration::{CallerBounds, GatewayConfiguration};
use stallmoor_core::serving::regions::AllowedRegions;

mod support;

fn entry(name: &str, keys: &[&str]) -> TenantEntry {
    let tenant = Tenant { name: TenantName::new(name), limit: None, regions: AllowedRegions::Any };
    TenantEntry { tenant, keys: keys.iter().map(|key| ApiKey::new(key)).collect() }
}

fn configuration(entries: Vec<TenantEntry>) -> GatewayConfiguration {
    let table = TenantTable::new(entries).expect("the tenants are valid");
    GatewayConfiguration::new(1, Vec::new(), Vec::new(), CallerBounds::default()).with_tenants(table)
}

#[test]
fn a_request_is_attributed_to_the_tenant_of_its_key() {
    let known = configuration(vec![entry("a", &["k1", "k2"]), entry("b", &["k3"]), entry("keyless", &[])]);
    let caller = |key: &str| known.identify(Some(&ApiKey::new(key)), false);
    assert_eq!(caller("k2"), Ok(CallerIdentity::Tenant(TenantName::new("a"))));
    assert_eq!(caller("k3"), Ok(CallerIdentity::Tenant(TenantName::new("b"))));
    assert_eq!(caller("K3"), Err(UnknownKey), "keys are case-sensitive");
    assert_eq!(known.identify(None, false), Err(UnknownKey));
    assert_eq!(known.identify(None, true), Ok(CallerIdentity::Public));
    assert_eq!(known.identify(Some(&ApiKey::new("x")), true), Ok(CallerIdentity::Public));
}

#[test]
fn no_key_is_required_without_configured_tenants() {
    let open = GatewayConfiguration::new(1, Vec::new(), Vec::new(), CallerBounds::default());
    assert_eq!(open.identify(None, false), Ok(CallerIdentity::Unchecked));
    let closed = configuration(Vec::new());
    assert_eq!(closed.identify(None, false), Err(UnknownKey), "an empty table accepts no caller");
}

#[test]
fn conflicting_tenants_are_rejected() {
    let shared = TenantTable::new(vec![entry("a", &["k"]), entry("b", &["k"])]);
    let (first, second) = (TenantName::new("a"), TenantName::new("b"));
    assert_eq!(shared, Err(TenantError::SharedKey { first: first.clone(), second }));
    assert_eq!(TenantTable::new(vec![entry("", &["k"])]), Err(TenantError::EmptyName));
    assert_eq!(TenantTable::new(vec![entry("a", &[""])]), Err(TenantError::EmptyKey { name: first.clone() }));
    let twice = TenantTable::new(vec![entry("a", &["k"]), entry("a", &["l"])]);
    assert_eq!(twice, Err(TenantError::DuplicateName { name: first }));
    assert!(TenantTable::new(vec![entry("a", &["k", "k"])]).is_ok(), "a tenant may repeat its own key");
}

#[test]
fn a_key_is_never_printed_by_debug() {
    let known = configuration(vec![entry("a", &["very-secret"])]);
    assert!(!format!("{known:?}").contains("very-secret"));
}

proptest! {
    #![proptest_config(support::fuzz_config())]

    /// Checked against a model: after any changes of keys, exactly the keys of the latest version are accepted, each
    /// for its own tenant.
    #[test]
    fn only_the_latest_version_determines_the_tenant_of_a_key(versions in prop::collection::vec(
        prop::collection::btree_map(0u8..12, 0u8..4, 0..8), 1..6,
    )) {
        for holders in &versions {
            let mut by_tenant: BTreeMap<u8, Vec<String>> = BTreeMap::new();
            for (key, tenant) in holders {
                by_tenant.entry(*tenant).or_default().push(format!("key-{key}"));
            }
            let entries = by_tenant.iter().map(|(tenant, keys)| {
                let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
                entry(&format!("tenant-{tenant}"), &keys)
            });
            let known = configuration(entries.collect());
            for key in 0u8..12 {
                let expected = holders
                    .get(&key)
                    .map(|tenant| CallerIdentity::Tenant(TenantName::new(&format!("tenant-{tenant}"))))
                    .ok_or(UnknownKey);
                prop_assert_eq!(known.identify(Some(&ApiKey::new(&format!("key-{key}"))), false), expected);
            }
        }
    }
}
