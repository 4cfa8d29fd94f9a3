//! The parts of a storage node that answer other nodes, with an empty fleet view unless a test has another.

use std::sync::Arc;

use stallmoor_core::identity::NodeId;
use stallmoor_gateway::clock::NodeClock;
use stallmoor_gateway::fleet::fleet_view::FleetView;
use stallmoor_gateway::fleet::metadata_view::MetadataView;
use stallmoor_gateway::storage::peer_listener::{PeerAnswerers, PeerEvent};
use stallmoor_gateway::streams::StreamOrigins;
use tokio::sync::mpsc;

pub fn answerers(events: mpsc::Sender<PeerEvent>, metadata: Arc<MetadataView>) -> PeerAnswerers {
    let view = Arc::new(FleetView::new(NodeClock::start(), Arc::from("zone-a"), 1));
    let origins = Arc::new(StreamOrigins::new(view, metadata.clone(), NodeId(1)));
    PeerAnswerers { events, metadata, origins }
}
