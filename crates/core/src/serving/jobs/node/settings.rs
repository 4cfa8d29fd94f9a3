//! Timeouts of the job table's replicas.

use crate::replication::ReplicaSettings;
use crate::time::Millis;

/// Time for which followers refuse to elect another leader after each message of the leader. A leader with a large table
/// on a share of a core stands still for hundreds of milliseconds; 320 ms deposed it again and again.
const ELECTION_TIMEOUT: Millis = Millis(1_000);
/// Maximum random delay of a campaign, so that few campaigns coincide.
const ELECTION_JITTER: Millis = Millis(1_000);
/// Minimum delay of the second campaign. Longer than a pre-vote and a vote take with disks of 5 ms per sync.
const CAMPAIGN_RETRY: Millis = Millis(50);
/// Time for which a leader's entries may wait without any commit before it makes way. Many times what a commit takes with
/// slow disks, followers that stand still for seconds included, so that none is deposed in vain.
const COMMIT_TIMEOUT: Millis = Millis(5_000);
/// Interval between heartbeats. Many may be lost or late before a follower campaigns.
const HEARTBEAT_INTERVAL: Millis = Millis(60);

/// Returns the settings of the job table's replicas.
pub fn replica_settings() -> ReplicaSettings {
    ReplicaSettings {
        heartbeat_interval: HEARTBEAT_INTERVAL,
        election_timeout: ELECTION_TIMEOUT,
        election_jitter: ELECTION_JITTER,
        campaign_retry: CAMPAIGN_RETRY,
        commit_timeout: Some(COMMIT_TIMEOUT),
        heartbeats_bypass_writes: true,
        ..ReplicaSettings::default()
    }
}
