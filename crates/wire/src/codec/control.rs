//! Codec for group requests, configuration, credits, leaving engines and the directory.

use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use stallmoor_core::identity::{EngineName, GroupId, NodeId};
use stallmoor_core::node::configuration::{ApplyId, Manifest, PartDigest, PartReference};
use stallmoor_core::node::control::DirectoryEntry;
use stallmoor_core::node::routing::LeavingFact;
use stallmoor_core::peer_message::{
    ConfigurationMessage, CreditMessage, GroupAnswer, GroupAnswerBody, GroupRefusal, GroupRequest, PeerMessage,
};
use stallmoor_core::replication::{LogIndex, Term};
use stallmoor_core::serving::jobs::request::JobsAnswer;
use stallmoor_core::time::Millis;

use super::{
    MalformedSnafu, UnknownKindSnafu, WireError, WireResult, read_optional_node, read_text, write_optional_node,
};
use crate::generated::peer_capnp::{
    configuration, credit, directory_answer, group_answer, group_request, leaving_fact, manifest,
};

/// Encodes a body with `postcard`, as in the replicated log.
pub(super) fn encode_body<T: Serialize>(body: &T) -> Vec<u8> {
    postcard::to_stdvec(body).unwrap_or_default()
}

/// Decodes a body encoded by [`encode_body`].
pub(super) fn decode_body<T: DeserializeOwned>(bytes: &[u8], field: &'static str) -> WireResult<T> {
    postcard::from_bytes(bytes).map_err(|_| WireError::InvalidField { field })
}

/// Encodes the body of an answer. A part of it that former versions don't know follows what they read; they ignore what is
/// left over.
fn encode_answer_body(body: &GroupAnswerBody) -> Vec<u8> {
    let mut bytes = encode_body(body);
    if let GroupAnswerBody::Jobs(JobsAnswer::Loads(loads)) = body
        && let Some(standstill) = &loads.standstill
    {
        bytes.extend(encode_body(standstill));
    }
    bytes
}

/// Decodes a body encoded by [`encode_answer_body`] of this version, a former or a later one.
fn decode_answer_body(bytes: &[u8]) -> WireResult<GroupAnswerBody> {
    let (mut body, rest) =
        postcard::take_from_bytes(bytes).map_err(|_| WireError::InvalidField { field: "groupAnswer.body" })?;
    if let GroupAnswerBody::Jobs(JobsAnswer::Loads(loads)) = &mut body
        && !rest.is_empty()
    {
        // The loads are valid without it.
        loads.standstill = postcard::from_bytes(rest).ok();
    }
    Ok(body)
}

pub(super) fn write_request(mut builder: group_request::Builder<'_>, request: &GroupRequest) {
    builder.set_id(request.id);
    builder.set_from(request.from.0);
    builder.set_group(request.group.0);
    builder.set_body(&encode_body(&request.body));
}

pub(super) fn read_request(reader: group_request::Reader<'_>) -> WireResult<GroupRequest> {
    Ok(GroupRequest {
        id: reader.get_id(),
        from: NodeId(reader.get_from()),
        group: GroupId(reader.get_group()),
        body: decode_body(reader.get_body().context(MalformedSnafu)?, "groupRequest.body")?,
    })
}

pub(super) fn write_answer(mut builder: group_answer::Builder<'_>, answer: &GroupAnswer) {
    builder.set_id(answer.id);
    builder.set_group(answer.group.0);
    let mut result = builder.init_result();
    match &answer.result {
        Ok(body) => result.set_body(&encode_answer_body(body)),
        Err(GroupRefusal::Busy) => result.set_busy(()),
        Err(GroupRefusal::NotLeader { term, leader }) => {
            let mut refusal = result.init_not_leader();
            refusal.set_term(term.0);
            refusal.set_leader(write_optional_node(*leader));
        }
    }
}

pub(super) fn read_answer(reader: group_answer::Reader<'_>) -> WireResult<GroupAnswer> {
    use group_answer::result::Which;
    let result = match reader.get_result().which().context(UnknownKindSnafu)? {
        Which::Body(body) => Ok(decode_answer_body(body.context(MalformedSnafu)?)?),
        Which::Busy(()) => Err(GroupRefusal::Busy),
        Which::NotLeader(refusal) => {
            let refusal = refusal.context(MalformedSnafu)?;
            let leader = read_optional_node(refusal.get_leader());
            Err(GroupRefusal::NotLeader { term: Term(refusal.get_term()), leader })
        }
    };
    Ok(GroupAnswer { id: reader.get_id(), group: GroupId(reader.get_group()), result })
}

pub(super) fn write_configuration(mut builder: configuration::Builder<'_>, message: &ConfigurationMessage) {
    match message {
        ConfigurationMessage::Offer { from, revision } => {
            builder.set_from(from.0);
            builder.init_kind().set_offer(*revision);
        }
        ConfigurationMessage::ManifestRequest { from } => {
            builder.set_from(from.0);
            builder.init_kind().set_manifest_request(());
        }
        ConfigurationMessage::ManifestAnswer { from, manifest } => {
            builder.set_from(from.0);
            write_manifest(builder.init_kind().init_manifest_answer(), manifest);
        }
        ConfigurationMessage::PartsRequest { from, digests } => {
            builder.set_from(from.0);
            let mut list = builder.init_kind().init_parts_request(digests.len() as u32);
            for (index, digest) in digests.iter().enumerate() {
                list.set(index as u32, digest.0);
            }
        }
        ConfigurationMessage::PartAnswer { digest, content } => {
            let mut part = builder.init_kind().init_part_answer();
            part.set_digest(digest.0);
            part.set_content(&**content);
        }
    }
}

pub(super) fn read_configuration(reader: configuration::Reader<'_>) -> WireResult<ConfigurationMessage> {
    use configuration::kind::Which;
    let from = NodeId(reader.get_from());
    Ok(match reader.get_kind().which().context(UnknownKindSnafu)? {
        Which::Offer(revision) => ConfigurationMessage::Offer { from, revision },
        Which::ManifestRequest(()) => ConfigurationMessage::ManifestRequest { from },
        Which::ManifestAnswer(manifest) => {
            ConfigurationMessage::ManifestAnswer { from, manifest: read_manifest(manifest.context(MalformedSnafu)?)? }
        }
        Which::PartsRequest(digests) => {
            let digests = digests.context(MalformedSnafu)?.iter().map(PartDigest).collect();
            ConfigurationMessage::PartsRequest { from, digests }
        }
        Which::PartAnswer(part) => {
            let part = part.context(MalformedSnafu)?;
            let content = Arc::from(read_text(part.get_content())?);
            ConfigurationMessage::PartAnswer { digest: PartDigest(part.get_digest()), content }
        }
    })
}

fn write_manifest(mut builder: manifest::Builder<'_>, manifest: &Manifest) {
    builder.set_revision(manifest.revision);
    let mut parts = builder.reborrow().init_parts(manifest.parts.len() as u32);
    for (index, part) in manifest.parts.iter().enumerate() {
        let mut target = parts.reborrow().get(index as u32);
        target.set_name(part.name.as_str());
        target.set_digest(part.digest.0);
    }
    let mut applies = builder.init_applies(manifest.applies.len() as u32);
    for (index, (id, revision)) in manifest.applies.iter().enumerate() {
        let mut target = applies.reborrow().get(index as u32);
        target.set_id(id.0);
        target.set_revision(*revision);
    }
}

fn read_manifest(reader: manifest::Reader<'_>) -> WireResult<Manifest> {
    let mut parts = Vec::new();
    for part in reader.get_parts().context(MalformedSnafu)? {
        let name = read_text(part.get_name())?.to_owned();
        parts.push(PartReference { name, digest: PartDigest(part.get_digest()) });
    }
    let applies = reader.get_applies().context(MalformedSnafu)?;
    let applies = applies.iter().map(|apply| (ApplyId(apply.get_id()), apply.get_revision())).collect();
    Ok(Manifest { revision: reader.get_revision(), parts, applies })
}

pub(super) fn write_credit(mut builder: credit::Builder<'_>, message: &CreditMessage) {
    match message {
        CreditMessage::OnlineNotice { engine, from, in_flight } => {
            builder.set_engine(&*engine.0);
            builder.set_from(from.0);
            builder.init_kind().set_online_notice(*in_flight);
        }
        CreditMessage::Request { engine, from, wanted_streams } => {
            builder.set_engine(&*engine.0);
            builder.set_from(from.0);
            builder.init_kind().set_ask(*wanted_streams);
        }
        CreditMessage::Grant { engine, limit, lifetime } => {
            builder.set_engine(&*engine.0);
            let mut grant = builder.init_kind().init_grant();
            grant.set_limit(*limit);
            grant.set_lifetime_millis(lifetime.0);
        }
    }
}

pub(super) fn read_credit(reader: credit::Reader<'_>) -> WireResult<CreditMessage> {
    use credit::kind::Which;
    let engine = EngineName::new(read_text(reader.get_engine())?);
    let from = NodeId(reader.get_from());
    Ok(match reader.get_kind().which().context(UnknownKindSnafu)? {
        Which::OnlineNotice(in_flight) => CreditMessage::OnlineNotice { engine, from, in_flight },
        Which::Ask(wanted_streams) => CreditMessage::Request { engine, from, wanted_streams },
        Which::Grant(grant) => {
            let grant = grant.context(MalformedSnafu)?;
            let lifetime = Millis(grant.get_lifetime_millis());
            CreditMessage::Grant { engine, limit: grant.get_limit(), lifetime }
        }
    })
}

pub(super) fn write_leaving(mut list: capnp::struct_list::Builder<'_, leaving_fact::Owned>, facts: &[LeavingFact]) {
    for (index, fact) in facts.iter().enumerate() {
        let mut target = list.reborrow().get(index as u32);
        target.set_engine(&*fact.engine.0);
        target.set_incarnation(fact.incarnation);
    }
}

pub(super) fn read_leaving(list: capnp::struct_list::Reader<'_, leaving_fact::Owned>) -> WireResult<Vec<LeavingFact>> {
    let mut facts = Vec::new();
    for fact in list {
        let engine = EngineName::new(read_text(fact.get_engine())?);
        facts.push(LeavingFact { engine, incarnation: fact.get_incarnation() });
    }
    Ok(facts)
}

pub(super) fn write_directory(
    mut builder: directory_answer::Builder<'_>,
    group_count: u32,
    entries: &[DirectoryEntry],
) {
    builder.set_group_count(group_count);
    let mut list = builder.init_entries(entries.len() as u32);
    for (index, entry) in entries.iter().enumerate() {
        let mut target = list.reborrow().get(index as u32);
        target.set_group(entry.group.0);
        target.set_term(entry.term.0);
        target.set_membership_index(entry.membership_index.0);
        target.set_leader(write_optional_node(entry.leader));
        let mut members = target.init_members(entry.members.len() as u32);
        for (member_index, member) in entry.members.iter().enumerate() {
            members.set(member_index as u32, member.0);
        }
    }
}

pub(super) fn read_directory(reader: directory_answer::Reader<'_>) -> WireResult<PeerMessage> {
    let mut entries = Vec::new();
    for entry in reader.get_entries().context(MalformedSnafu)? {
        entries.push(DirectoryEntry {
            group: GroupId(entry.get_group()),
            term: Term(entry.get_term()),
            membership_index: LogIndex(entry.get_membership_index()),
            members: entry.get_members().context(MalformedSnafu)?.iter().map(NodeId).collect(),
            leader: read_optional_node(entry.get_leader()),
        });
    }
    Ok(PeerMessage::DirectoryAnswer { group_count: reader.get_group_count(), entries })
}
