//! The decision whether and where a stream is resumed that a client takes up again.
//!
//! A recorded origin decides. Without one, the stream can only be resumed if all workers that may have begun it have the
//! same version: one version alone has served for longer than a stream lasts. Otherwise it is refused, since a guess
//! could join events of two versions.
//!
//! A view of the workers is only known to be complete up to its last confirmation. A worker may join after it, begin
//! streams and lose their gateway before the next one. The version is therefore deduced from a view that was confirmed by
//! a read which began after the request to resume the stream arrived: the record of a worker is written before its first
//! stream begins. Where the store can't be read, enough of the storage nodes that would have the stream's record must
//! answer that they have none, with views that are older by at most the time for which records are stored before the
//! first event (see [`super::sharing`]).

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::directory::RecordedOrigin;
use super::holders::lookup_quorum;
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

/// When a node's view of the workers was last confirmed to be complete, relative to the arrival of the request to resume
/// a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Confirmation {
    /// By a read of the store that began after it: the view contains each worker that may have begun the stream.
    After,
    /// Before it: a worker may have joined since, and begun the stream.
    #[default]
    Before,
}

/// What a node states about a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// What the node knows.
    pub known: NodeKnowledge,
    /// When its view of the workers was confirmed.
    pub confirmation: Confirmation,
}

impl Statement {
    /// Returns the version that alone has served for `lifetime`, as far as the node has observed.
    fn sole_version(&self, lifetime: Millis) -> Option<&SoftwareVersion> {
        match &self.known.versions {
            KnownVersions::Sole { version, lasted } if *lasted >= lifetime => Some(version),
            _ => None,
        }
    }
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
    /// The versions that a node has known, and enough storage nodes without a record of the stream.
    Quorum(Informant),
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
            Self::Quorum(_) => "quorum",
            Self::Nothing => "nothing",
        }
    }

    /// Returns the node whose knowledge decided, if any.
    pub fn informant(self) -> Option<Informant> {
        match self {
            Self::Record(informant) | Self::Versions(informant) | Self::Quorum(informant) => Some(informant),
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

/// Decides where a stream of `service` that lasts for at most `lifetime` is resumed, by what this node and those of the
/// stream's `holders` that answered state.
pub fn resume_rule(
    service: &Arc<str>,
    own: &Statement,
    answers: &[Statement],
    holders: usize,
    lifetime: Millis,
) -> Decision {
    let mut recorded = None;
    for (informant, statement) in informants(own, answers) {
        match &statement.known.origin {
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
    if let Some(informant) = informant_of_several(own, answers) {
        return refused(UnknownOrigin::SeveralVersions, Basis::Versions(informant));
    }
    match deduce_version(own, answers, holders, lifetime) {
        Some((version, basis)) => {
            let origin = StreamOrigin { service: service.clone(), version: version.clone() };
            Decision { resumption: Resumption::At(origin), basis }
        }
        None => refused(UnknownOrigin::UncertainPast, Basis::Nothing),
    }
}

fn informants<'a>(own: &'a Statement, answers: &'a [Statement]) -> impl Iterator<Item = (Informant, &'a Statement)> {
    let answers = answers.iter().enumerate().map(|(index, answer)| (Informant::Answer(index), answer));
    std::iter::once((Informant::Own, own)).chain(answers)
}

fn refused(why: UnknownOrigin, basis: Basis) -> Decision {
    Decision { resumption: Resumption::Refused(why), basis }
}

/// Returns the first node that knows several versions, or another one than a node before it. Also a view that is not
/// current shows which versions have served.
fn informant_of_several(own: &Statement, answers: &[Statement]) -> Option<Informant> {
    let mut sole: Option<&SoftwareVersion> = None;
    informants(own, answers).find_map(|(informant, statement)| match &statement.known.versions {
        KnownVersions::Unknown => None,
        KnownVersions::Sole { version, .. } if sole.is_none_or(|other| other == version) => {
            sole = Some(version);
            None
        }
        KnownVersions::Sole { .. } | KnownVersions::Several => Some(informant),
    })
}

/// Returns the version that began a stream without a record, if one version alone has served for longer than the stream
/// lasts.
fn deduce_version<'a>(
    own: &'a Statement,
    answers: &'a [Statement],
    holders: usize,
    lifetime: Millis,
) -> Option<(&'a SoftwareVersion, Basis)> {
    let sole = |(informant, statement): (Informant, &'a Statement)| {
        statement.sole_version(lifetime).map(|version| (informant, statement.confirmation, version))
    };
    let confirmed = informants(own, answers).filter_map(sole).find(|(_, at, _)| *at == Confirmation::After);
    if let Some((informant, _, version)) = confirmed {
        return Some((version, Basis::Versions(informant)));
    }
    // A node that has not observed the workers for that long may have lost its records.
    let answers = answers.iter().enumerate().map(|(index, answer)| (Informant::Answer(index), answer));
    let mut without_record = answers.filter_map(sole);
    let (informant, _, version) = without_record.next()?;
    (1 + without_record.count() >= lookup_quorum(holders)).then_some((version, Basis::Quorum(informant)))
}
