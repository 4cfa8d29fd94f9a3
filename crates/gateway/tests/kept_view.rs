//! What a former process of a storage node kept of the metadata store serves until the first complete view, and decides
//! nothing that only the store may.

use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_core::serving::configuration::GatewayConfiguration;
use stallmoor_core::serving::relay::bounds::WatchBounds;
use stallmoor_core::serving::relay::item::{KeyState, MetadataItem, Revision};
use stallmoor_core::serving::relay::message::ChangesRequest;
use stallmoor_core::time::Millis;
use stallmoor_gateway::adapter::metadata::FleetUpdate;
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::fleet_view::{FOUNDING_KEY, FleetView};
use stallmoor_gateway::fleet::metadata_view::MetadataView;

fn view() -> FleetView {
    FleetView::new(NodeClock::start(), Arc::from("zone-a"), 1)
}

fn configuration(version: u64) -> FleetUpdate {
    let mut configuration = GatewayConfiguration::default();
    configuration.version = version;
    FleetUpdate::Configuration(Arc::new(configuration))
}

fn version(view: &FleetView) -> Option<u64> {
    view.configuration().map(|configuration| configuration.version)
}

/// Guards against a configuration that is kept for ever because the store holds one with a lower version.
#[test]
fn a_kept_configuration_is_replaced_by_any_of_the_store_and_by_none_older_after() {
    let view = view();
    view.apply_kept(&configuration(7));
    assert_eq!(version(&view), Some(7));
    view.apply(&configuration(3));
    assert_eq!(version(&view), Some(3));
    view.apply(&configuration(2));
    assert_eq!(version(&view), Some(3), "a stale read must not restore an older version");
}

/// Guards against a group that is founded on a record which the store may no longer hold.
#[test]
fn a_kept_founding_record_names_founders_and_founds_no_group() {
    let view = view();
    let value = Arc::from(br#"{"voters":[5,6]}"#.to_vec());
    let item = MetadataItem { key: Arc::from(FOUNDING_KEY), state: KeyState::Present(value), revision: Revision(4) };
    view.apply_kept(&FleetUpdate::InternalItem(item.clone()));
    assert!(view.storage().is_founder(NodeId(5)));
    assert_eq!(view.founding(), None);
    assert!(!view.is_synced());
    view.apply(&FleetUpdate::InternalItem(item));
    assert!(view.founding().is_some());
}

/// Guards against a node that serves what it kept to others: it has read nothing, so it refuses.
#[tokio::test]
async fn a_node_that_has_read_nothing_serves_no_view() {
    let bounds = WatchBounds { change: Millis(1_000), contact: Millis(1_500), heartbeat: Millis(1_200) };
    let fleet = view();
    fleet.apply_kept(&configuration(7));
    let view = MetadataView::new(fleet.clock, bounds);
    let request = ChangesRequest { since: Revision(0), hold: Millis(0) };
    assert!(view.answer(request).await.is_err());
    assert!(view.answer_follower(request).await.is_err());
    assert!(view.request_confirmation().is_none());
    assert!(!view.observation().is_current());
}
