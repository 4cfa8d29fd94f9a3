//! Codec for messages of the membership protocol.

use std::net::SocketAddr;
use std::sync::Arc;

use snafu::ResultExt;
use stallmoor_core::identity::NodeId;
use stallmoor_core::node::membership::{Member, MemberStatus, MembershipMessage, MembershipPayload};

use super::{MalformedSnafu, WireError, WireResult, read_optional_node, read_text, write_optional_node};
use crate::generated::peer_capnp::{member, membership};

const PING: u8 = 0;
const ACK: u8 = 1;
const PING_REQUEST: u8 = 2;
const SYNC_REQUEST: u8 = 3;
const SYNC_ANSWER: u8 = 4;

pub(super) fn write(mut builder: membership::Builder<'_>, message: &MembershipMessage) {
    write_member(builder.reborrow().init_sender(), &message.sender);
    builder.set_sequence(message.sequence);
    builder.set_configuration_revision(message.configuration_revision);
    let (kind, node) = match message.payload {
        MembershipPayload::Ping { target } => (PING, target),
        MembershipPayload::Ack { subject } => (ACK, Some(subject)),
        MembershipPayload::PingRequest { target } => (PING_REQUEST, Some(target)),
        MembershipPayload::SyncRequest => (SYNC_REQUEST, None),
        MembershipPayload::SyncAnswer => (SYNC_ANSWER, None),
    };
    builder.set_kind(kind);
    builder.set_node(write_optional_node(node));
    let mut updates = builder.init_updates(message.updates.len() as u32);
    for (index, update) in message.updates.iter().enumerate() {
        write_member(updates.reborrow().get(index as u32), update);
    }
}

pub(super) fn read(reader: membership::Reader<'_>) -> WireResult<MembershipMessage> {
    let node = read_optional_node(reader.get_node());
    let required = node.ok_or(WireError::InvalidField { field: "membership.node" });
    let payload = match reader.get_kind() {
        PING => MembershipPayload::Ping { target: node },
        ACK => MembershipPayload::Ack { subject: required? },
        PING_REQUEST => MembershipPayload::PingRequest { target: required? },
        SYNC_REQUEST => MembershipPayload::SyncRequest,
        SYNC_ANSWER => MembershipPayload::SyncAnswer,
        _ => return Err(WireError::InvalidField { field: "membership.kind" }),
    };
    let updates = reader.get_updates().context(MalformedSnafu)?;
    Ok(MembershipMessage {
        sender: read_member(reader.get_sender().context(MalformedSnafu)?)?,
        sequence: reader.get_sequence(),
        configuration_revision: reader.get_configuration_revision(),
        payload,
        updates: updates.iter().map(read_member).collect::<WireResult<_>>()?,
    })
}

fn write_member(mut builder: member::Builder<'_>, member: &Member) {
    builder.set_id(member.id.0);
    builder.set_incarnation(member.incarnation);
    builder.set_status(match member.status {
        MemberStatus::Alive => 0,
        MemberStatus::Suspect => 1,
        MemberStatus::Dead => 2,
        MemberStatus::Left => 3,
    });
    builder.set_peer_address(member.peer_address.to_string());
    builder.set_caller_address(member.caller_address.to_string());
    builder.set_zone(&*member.zone);
    builder.set_stores(member.stores);
}

fn read_member(reader: member::Reader<'_>) -> WireResult<Member> {
    let status = match reader.get_status() {
        0 => MemberStatus::Alive,
        1 => MemberStatus::Suspect,
        2 => MemberStatus::Dead,
        3 => MemberStatus::Left,
        _ => return Err(WireError::InvalidField { field: "member.status" }),
    };
    Ok(Member {
        id: NodeId(reader.get_id()),
        incarnation: reader.get_incarnation(),
        status,
        peer_address: read_address(reader.get_peer_address(), "member.peerAddress")?,
        caller_address: read_address(reader.get_caller_address(), "member.callerAddress")?,
        zone: Arc::from(read_text(reader.get_zone())?),
        stores: reader.get_stores(),
    })
}

fn read_address(text: capnp::Result<capnp::text::Reader<'_>>, field: &'static str) -> WireResult<SocketAddr> {
    read_text(text)?.parse().map_err(|_| WireError::InvalidField { field })
}
