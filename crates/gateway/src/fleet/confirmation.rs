//! Confirmation that this node's view of the fleet contains all changes up to a request.

use std::time::Duration;

use stallmoor_core::serving::relay::confirmation::CONFIRMATION_TIMEOUT;

use crate::fleet::fleet_view::FleetView;
use crate::fleet::metadata_view::MetadataView;

/// Waits until all changes that were in the store before this call are applied to the view. Returns false if the store
/// can't be reached or does not answer in time.
pub async fn confirm(fleet: &FleetView, metadata: &MetadataView) -> bool {
    let mut reads = fleet.confirmed_reads();
    let Some(request) = metadata.request_confirmation() else { return false };
    let ended = reads.wait_for(|reads| reads.outcome(request).is_some());
    match tokio::time::timeout(Duration::from_millis(CONFIRMATION_TIMEOUT.0), ended).await {
        Ok(Ok(reads)) => reads.outcome(request) == Some(true),
        // The view, which owns the sender, outlives the call.
        Ok(Err(_)) | Err(_) => false,
    }
}
