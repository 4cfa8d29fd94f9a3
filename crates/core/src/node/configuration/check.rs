//! Validation of a set of configuration files.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::fleet::{Engine, Fleet, FleetConfiguration, Model, Service, Tenant, Zone};
use super::reader::{ConfigurationError, Document, Located, SourceFile, TableReader};
use crate::identity::EngineName;
use crate::time::Millis;

/// The parsed contents of the files, before references are resolved.
#[derive(Default)]
struct Draft {
    fleets: Vec<Located<Fleet>>,
    zones: Vec<Located<Zone>>,
    services: Vec<Located<Service>>,
    models: Vec<DraftModel>,
    adapters: Vec<DraftAdapter>,
    engines: Vec<DraftEngine>,
    tenants: Vec<Located<Tenant>>,
}

struct DraftModel {
    name: Located<String>,
    service: Located<String>,
    version: String,
}

struct DraftAdapter {
    name: Located<String>,
    model: Located<String>,
}

struct DraftEngine {
    name: Located<String>,
    address: Located<std::net::SocketAddr>,
    zone: Located<String>,
    service: Located<String>,
    slots: u32,
}

/// Validates a set of files and resolves the references between them.
///
/// # Errors
///
/// Returns all errors of all files, sorted by file and line.
pub fn check_files(files: &[SourceFile]) -> Result<FleetConfiguration, Vec<ConfigurationError>> {
    let mut errors = Vec::new();
    let mut draft = Draft::default();
    for file in files {
        match Document::parse(file) {
            Ok(document) => read_file(&document, &mut draft, &mut errors),
            Err(error) => errors.push(error),
        }
    }
    let configuration = resolve(draft, files, &mut errors);
    if errors.is_empty() {
        return Ok(configuration);
    }
    errors.sort();
    errors.dedup();
    Err(errors)
}

fn read_file(document: &Document<'_>, draft: &mut Draft, errors: &mut Vec<ConfigurationError>) {
    let mut root = document.reader(errors);
    draft.fleets.extend(root.table("fleet", read_fleet).flatten());
    draft.zones.extend(root.tables("zone", read_zone).into_iter().flatten());
    draft.services.extend(root.tables("service", read_service).into_iter().flatten());
    draft.models.extend(root.tables("model", read_model).into_iter().flatten());
    draft.adapters.extend(root.tables("adapter", read_adapter).into_iter().flatten());
    draft.engines.extend(root.tables("machine", read_engine).into_iter().flatten());
    draft.tenants.extend(root.tables("tenant", read_tenant).into_iter().flatten());
    root.finish();
}

fn read_fleet(table: &mut TableReader<'_>) -> Option<Located<Fleet>> {
    const MILLIS_PER_HOUR: u64 = 3_600_000;
    let name = table.text("name");
    let replica_groups = table.integer("replica_groups", 1..=4_096, 8) as u32;
    let retention_hours = table.integer("retention_hours", 1..=8_760, 168);
    let name = name?;
    let fleet = Fleet {
        name: Arc::from(name.value.as_str()),
        replica_groups,
        retention: Millis(retention_hours * MILLIS_PER_HOUR),
    };
    Some(table.locate("name", fleet))
}

fn read_zone(table: &mut TableReader<'_>) -> Option<Located<Zone>> {
    let name = table.text("name");
    // The region is required but not used yet.
    let region = table.text("region");
    let name = name?;
    region?;
    let zone = Zone { name: Arc::from(name.value) };
    Some(table.locate("name", zone))
}

fn read_service(table: &mut TableReader<'_>) -> Option<Located<Service>> {
    let name = table.text("name");
    // The limit is validated but not used yet.
    table.number("tail_harm_limit", 1.0..=10.0, 1.10);
    let online_headroom = table.number("online_headroom", 0.0..=0.9, 0.1);
    let online_queue = table.number("online_queue", 0.0..=16.0, 1.0);
    let online_priority = table.integer("online_priority", 0..=100, 0) as u32;
    let batch_priority = table.integer("batch_priority", 0..=100, 10) as u32;
    let batch_start_interval = Millis(table.integer("batch_start_interval_ms", 0..=10_000, 10));
    let max_tokens = table.integer("max_tokens", 1..=1_000_000, 4_096) as u32;
    let online_deadline = Millis(table.integer("online_deadline_ms", 100..=3_600_000, 60_000));
    if batch_priority <= online_priority {
        table.report("batch_priority", "must be greater than online_priority, so that online runs first");
    }
    let name = name?;
    let service = Service {
        name: Arc::from(name.value),
        online_headroom,
        online_queue,
        online_priority,
        batch_priority,
        batch_start_interval,
        max_tokens,
        online_deadline,
    };
    Some(table.locate("name", service))
}

fn read_model(table: &mut TableReader<'_>) -> Option<DraftModel> {
    let name = table.text("name");
    let service = table.text("service");
    let version = table.optional_text("version").map_or_else(|| "1".to_owned(), |version| version.value);
    Some(DraftModel { name: name?, service: service?, version })
}

fn read_adapter(table: &mut TableReader<'_>) -> Option<DraftAdapter> {
    let name = table.text("name");
    let model = table.text("model");
    Some(DraftAdapter { name: name?, model: model? })
}

fn read_engine(table: &mut TableReader<'_>) -> Option<DraftEngine> {
    let name = table.text("name");
    let address = table.address("address");
    let zone = table.text("zone");
    let service = table.text("service");
    let slots = table.integer("slots", 1..=4_096, 16) as u32;
    Some(DraftEngine { name: name?, address: address?, zone: zone?, service: service?, slots })
}

fn read_tenant(table: &mut TableReader<'_>) -> Option<Located<Tenant>> {
    let name = table.text("name");
    let requests_in_flight = table.integer("requests_in_flight", 1..=100_000, 64) as u32;
    let batch_weight = table.integer("batch_weight", 1..=1_000, 1) as u32;
    let name = name?;
    let tenant = Tenant { name: Arc::from(name.value), requests_in_flight, batch_weight };
    Some(table.locate("name", tenant))
}

fn resolve(draft: Draft, files: &[SourceFile], errors: &mut Vec<ConfigurationError>) -> FleetConfiguration {
    let fleet = resolve_fleet(draft.fleets, files, errors);
    let zones = index_by_name("zone", draft.zones, |zone| zone.name.clone(), errors);
    let services = index_by_name("service", draft.services, |service| service.name.clone(), errors);
    let mut models = resolve_models(draft.models, &services, errors);
    resolve_adapters(draft.adapters, &mut models, errors);
    let engines = resolve_engines(draft.engines, &zones, &services, errors);
    let tenants = index_by_name("tenant", draft.tenants, |tenant| tenant.name.clone(), errors);
    FleetConfiguration { fleet, zones, services, models, engines, tenants }
}

fn resolve_fleet(fleets: Vec<Located<Fleet>>, files: &[SourceFile], errors: &mut Vec<ConfigurationError>) -> Fleet {
    let mut fleets = fleets.into_iter();
    let Some(first) = fleets.next() else {
        let file = files.first().map_or_else(|| "(no file)".to_owned(), |file| file.name.clone());
        let message = "missing: one file of the set must have a [fleet] table".to_owned();
        if errors.is_empty() {
            errors.push(ConfigurationError { file, line: 1, field: "fleet".to_owned(), message });
        }
        return Fleet::default();
    };
    for other in fleets {
        errors.push(other.error(format!("duplicate: [fleet] is also at {}:{}", first.file, first.line)));
    }
    first.value
}

/// Indexes values by name and reports duplicates.
fn index_by_name<T>(
    kind: &str,
    values: Vec<Located<T>>,
    name: impl Fn(&T) -> Arc<str>,
    errors: &mut Vec<ConfigurationError>,
) -> BTreeMap<Arc<str>, T> {
    let mut positions: BTreeMap<Arc<str>, (String, usize)> = BTreeMap::new();
    let mut named = BTreeMap::new();
    for located in values {
        let key = name(&located.value);
        if let Some((file, line)) = positions.get(&key) {
            errors.push(located.error(format!("duplicate: {kind} \"{key}\" is also at {file}:{line}")));
            continue;
        }
        positions.insert(key.clone(), (located.file.clone(), located.line));
        named.insert(key, located.value);
    }
    named
}

/// Returns the name that a reference resolves to, or reports an error at the reference.
fn lookup<'a, T>(
    kind: &str,
    reference: &Located<String>,
    values: &'a BTreeMap<Arc<str>, T>,
    errors: &mut Vec<ConfigurationError>,
) -> Option<&'a Arc<str>> {
    let found = values.get_key_value(reference.value.as_str()).map(|(name, _)| name);
    if found.is_none() {
        errors.push(reference.error(format!("there is no {kind} \"{}\"", reference.value)));
    }
    found
}

fn resolve_models(
    drafts: Vec<DraftModel>,
    services: &BTreeMap<Arc<str>, Service>,
    errors: &mut Vec<ConfigurationError>,
) -> BTreeMap<Arc<str>, Model> {
    let mut located = Vec::new();
    for draft in drafts {
        let Some(service) = lookup("service", &draft.service, services, errors) else { continue };
        let model = Model {
            name: Arc::from(draft.name.value.as_str()),
            service: service.clone(),
            version: Arc::from(draft.version),
            adapters: Vec::new(),
        };
        located.push(with_location_of(&draft.name, model));
    }
    index_by_name("model", located, |model| model.name.clone(), errors)
}

fn resolve_adapters(
    drafts: Vec<DraftAdapter>,
    models: &mut BTreeMap<Arc<str>, Model>,
    errors: &mut Vec<ConfigurationError>,
) {
    for draft in drafts {
        let Some(model) = lookup("model", &draft.model, models, errors).cloned() else { continue };
        let Some(model) = models.get_mut(&model) else { continue };
        let name: Arc<str> = Arc::from(draft.name.value.as_str());
        if model.adapters.contains(&name) {
            errors
                .push(draft.name.error(format!("duplicate: model \"{}\" has adapter \"{name}\" already", model.name)));
            continue;
        }
        model.adapters.push(name);
    }
}

fn resolve_engines(
    drafts: Vec<DraftEngine>,
    zones: &BTreeMap<Arc<str>, Zone>,
    services: &BTreeMap<Arc<str>, Service>,
    errors: &mut Vec<ConfigurationError>,
) -> BTreeMap<EngineName, Engine> {
    let mut located = Vec::new();
    let mut addresses = BTreeMap::new();
    for draft in drafts {
        if let Some(other) = addresses.insert(draft.address.value, draft.name.value.clone()) {
            errors.push(draft.address.error(format!("duplicate: machine \"{other}\" has this address")));
        }
        let zone = lookup("zone", &draft.zone, zones, errors).cloned();
        let service = lookup("service", &draft.service, services, errors).cloned();
        let (Some(zone), Some(service)) = (zone, service) else { continue };
        let engine = Engine {
            name: EngineName::new(&draft.name.value),
            address: draft.address.value,
            zone,
            service,
            slots: draft.slots,
        };
        located.push(with_location_of(&draft.name, engine));
    }
    let named = index_by_name("machine", located, |engine| engine.name.0.clone(), errors);
    named.into_iter().map(|(name, engine)| (EngineName(name), engine)).collect()
}

fn with_location_of<T, U>(origin: &Located<T>, value: U) -> Located<U> {
    Located { value, file: origin.file.clone(), line: origin.line, field: origin.field.clone() }
}
