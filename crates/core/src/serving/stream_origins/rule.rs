//! The decision whether and where a stream is resumed that a client takes up again.
//!
//! A recorded origin decides. Without one, the stream can only be resumed if all workers that may have begun it have the
//! same version: one version alone has served for longer than a stream lasts. Otherwise it is refused, since a guess
//! could join events of two versions.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::directory::RecordedOrigin;
use super::origin::StreamOrigin;
use crate::serving::relay::continuity::MAX_VIEW_AGE;
use crate::serving::workers::SoftwareVersion;
use crate::serving::workers::versions::KnownVersions;
use crate::time::Millis;

/// Number of times that the route's timeout must pass until no attempt for the same stream is left. A client keeps one
/// deadline over all of its attempts, which may be longer than the route's timeout.
const ATTEMPTS_PER_STREAM: u64 = 2;
/// Minimum duration after which a stream counts as ended, so that nodes whose views differ for seconds agree.
const MIN_LIFETIME: Millis = Millis(5_000);
/// Time for which nodes may still begin streams at a worker whose record is gone: until their views are no longer
/// current, and as a last resort.
const PLACEMENT_DELAY: Millis = Millis(MAX_VIEW_AGE.0 + 1_000);

/// Returns the time after which a stream of a route with the given timeout is no longer resumed. The record of a stream
/// that lasts longer than records are retained is lost; its origin cannot be deduced before this time either.
pub fn stream_lifetime(route_timeout: Millis) -> Millis {
    let attempts = Millis(route_timeout.0.saturating_mul(ATTEMPTS_PER_STREAM));
    attempts.max(route_timeout + PLACEMENT_DELAY).max(MIN_LIFETIME)
}

/// What one node knows about a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeKnowledge {
    /// The recorded origins of the stream: none, one, or several if records conflict.
    pub origin: KnownOrigin,
    /// The versions of the service's workers, as far as the node has observed them.
    pub versions: KnownVersions,
}

/// What the node that decides knows about a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnKnowledge {
    /// What it knows like any other node.
    pub known: NodeKnowledge,
    /// Time since its view of the workers was last confirmed to be complete; `None` before the first complete view.
    pub view_age: Option<Millis>,
}

/// The recorded origin of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownOrigin {
    /// No record.
    #[default]
    Unknown,
    /// All records name this origin.
    Known(StreamOrigin),
    /// Records name different origins.
    Conflicting,
}

impl KnownOrigin {
    /// Returns whether there is no record.
    pub fn is_unknown(&self) -> bool {
        *self == Self::Unknown
    }
}

impl From<Option<RecordedOrigin>> for KnownOrigin {
    fn from(recorded: Option<RecordedOrigin>) -> Self {
        match recorded {
            None => Self::Unknown,
            Some(RecordedOrigin::Known(origin)) => Self::Known(StreamOrigin::clone(&origin)),
            Some(RecordedOrigin::Conflicting) => Self::Conflicting,
        }
    }
}

/// Why the origin of a stream is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// Records of the stream name different origins.
    Conflicting,
    /// There is no record, and workers of several versions may have begun the stream.
    SeveralVersions,
    /// There is no record, and no node knows for how long one version alone has served.
    UncertainPast,
}

impl UnknownOrigin {
    /// Returns the name used in log fields and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Conflicting => "conflicting",
            Self::SeveralVersions => "several_versions",
            Self::UncertainPast => "uncertain_past",
        }
    }
}

/// The decision on a stream that its client takes up again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resumption {
    /// Workers of this origin may resume the stream.
    At(StreamOrigin),
    /// No worker may.
    Refused(UnknownOrigin),
}

/// The node whose knowledge decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Informant {
    /// The node that decides.
    Own,
    /// The node that gave the answer with this index.
    Answer(usize),
}

/// What a decision rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The stream's record at a node.
    Record(Informant),
    /// The versions that a node has known.
    Versions(Informant),
    /// No node knew anything.
    Nothing,
}

impl Basis {
    /// Returns the name used in log fields.
    pub fn name(self) -> &'static str {
        match self {
            Self::Record(Informant::Own) => "own_record",
            Self::Record(Informant::Answer(_)) => "storage_record",
            Self::Versions(_) => "versions",
            Self::Nothing => "nothing",
        }
    }

    /// Returns the node whose knowledge decided, if any.
    pub fn informant(self) -> Option<Informant> {
        match self {
            Self::Record(informant) | Self::Versions(informant) => Some(informant),
            Self::Nothing => None,
        }
    }
}

/// A decision, and what it rests on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Where the stream is resumed.
    pub resumption: Resumption,
    /// What that rests on.
    pub basis: Basis,
}

/// Decides where a stream of `service` that lasts for at most `lifetime` is resumed, by what this node and the storage
/// nodes that answered know.
pub fn resume_rule(service: &Arc<str>, own: &OwnKnowledge, answers: &[NodeKnowledge], lifetime: Millis) -> Decision {
    let mut recorded = None;
    for (informant, node) in informants(own, answers) {
        match &node.origin {
            KnownOrigin::Unknown => {}
            KnownOrigin::Known(origin) if recorded.is_none_or(|(_, other)| other == origin) => {
                recorded.get_or_insert((informant, origin));
            }
            KnownOrigin::Known(_) | KnownOrigin::Conflicting => {
                return refused(UnknownOrigin::Conflicting, Basis::Record(informant));
            }
        }
    }
    if let Some((informant, origin)) = recorded {
        return Decision { resumption: Resumption::At(origin.clone()), basis: Basis::Record(informant) };
    }
    deduce_version(service, own, answers, lifetime)
}

fn informants<'a>(
    own: &'a OwnKnowledge,
    answers: &'a [NodeKnowledge],
) -> impl Iterator<Item = (Informant, &'a NodeKnowledge)> {
    let answers = answers.iter().enumerate().map(|(index, answer)| (Informant::Answer(index), answer));
    std::iter::once((Informant::Own, &own.known)).chain(answers)
}

fn refused(why: UnknownOrigin, basis: Basis) -> Decision {
    Decision { resumption: Resumption::Refused(why), basis }
}

/// Decides on a stream without a record: it is resumed if one version alone has served for longer than the stream lasts.
fn deduce_version(service: &Arc<str>, own: &OwnKnowledge, answers: &[NodeKnowledge], lifetime: Millis) -> Decision {
    // Others may have seen a second version that this node's view does not contain yet.
    let is_current = own.view_age.is_some_and(|age| age <= MAX_VIEW_AGE);
    if answers.is_empty() && !is_current {
        return refused(UnknownOrigin::UncertainPast, Basis::Nothing);
    }
    let mut longest: Option<(Informant, &SoftwareVersion, Millis)> = None;
    for (informant, node) in informants(own, answers) {
        match &node.versions {
            KnownVersions::Unknown => {}
            KnownVersions::Sole { version, lasted } if longest.is_none_or(|(_, other, _)| other == version) => {
                if longest.is_none_or(|(_, _, longest)| *lasted > longest) {
                    longest = Some((informant, version, *lasted));
                }
            }
            KnownVersions::Sole { .. } | KnownVersions::Several => {
                return refused(UnknownOrigin::SeveralVersions, Basis::Versions(informant));
            }
        }
    }
    let Some((informant, version, lasted)) = longest else {
        return refused(UnknownOrigin::UncertainPast, Basis::Nothing);
    };
    if lasted < lifetime {
        return refused(UnknownOrigin::UncertainPast, Basis::Versions(informant));
    }
    let origin = StreamOrigin { service: service.clone(), version: version.clone() };
    Decision { resumption: Resumption::At(origin), basis: Basis::Versions(informant) }
}
