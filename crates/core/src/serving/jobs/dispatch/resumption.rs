//! Whether and where an item continues the output that it has produced so far.
//!
//! Workers of different software versions cannot continue each other's output. Unlike a caller's stream, the output of an
//! item can be discarded: the item runs again from the start.

use std::sync::Arc;

use crate::serving::jobs::command::PartialOutput;
use crate::serving::stream_origins::StreamOrigin;
use crate::serving::workers::versions::KnownVersions;
use crate::time::Millis;

/// How an item continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemResumption {
    /// The item has no output yet, so any worker may run it.
    Start,
    /// Only workers of this origin may run the item.
    At(StreamOrigin),
    /// The origin of the output is unknown, so the item runs again from the start.
    Restart,
}

/// Decides how an item of a job that was received `job_age` ago continues. `origin` is that of its output, if this leader
/// received it or the log has it. Otherwise the origin can only be deduced if one version alone has served `service` since
/// the job was received.
pub fn item_resumption(
    output: &PartialOutput,
    origin: Option<&StreamOrigin>,
    service: &Arc<str>,
    versions: &KnownVersions,
    job_age: Millis,
) -> ItemResumption {
    if output.last_event.is_none() {
        return ItemResumption::Start;
    }
    match (origin, versions) {
        (Some(origin), _) => ItemResumption::At(origin.clone()),
        (None, KnownVersions::Sole { version, lasted }) if *lasted >= job_age => {
            ItemResumption::At(StreamOrigin { service: service.clone(), version: version.clone() })
        }
        (None, _) => ItemResumption::Restart,
    }
}
