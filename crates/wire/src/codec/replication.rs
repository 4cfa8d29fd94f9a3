//! Codec for messages between the replicas of a group.

use std::sync::Arc;

use snafu::ResultExt;
use stallmoor_core::identity::{GroupId, NodeId};
use stallmoor_core::replication::{
    Entry, EntryPayload, GroupMembership, LogIndex, MessageKind, ReplicationMessage, Snapshot, Term,
};

use stallmoor_core::time::{Millis, Timestamp};

use super::{MalformedSnafu, UnknownKindSnafu, WireResult};
use crate::generated::peer_capnp::{entry, group_membership, position, replication, snapshot};

pub(super) fn write(mut builder: replication::Builder<'_>, message: &ReplicationMessage) {
    builder.set_group(message.group.0);
    builder.set_from(message.from.0);
    builder.set_to(message.to.0);
    builder.set_term(message.term.0);
    write_kind(builder.init_kind(), &message.kind);
}

fn write_kind(mut builder: replication::kind::Builder<'_>, kind: &MessageKind) {
    match kind {
        MessageKind::PreVote { last_index, last_term } => {
            write_position(builder.init_pre_vote(), *last_index, *last_term);
        }
        MessageKind::PreVoteAnswer { granted } => builder.set_pre_vote_answer(*granted),
        MessageKind::Vote { last_index, last_term, transfer } => {
            let mut vote = builder.init_vote();
            vote.set_transfer(*transfer);
            write_position(vote.init_last(), *last_index, *last_term);
        }
        MessageKind::VoteAnswer { granted } => builder.set_vote_answer(*granted),
        MessageKind::Append { previous_index, previous_term, commit, sent_at, election_timeout, entries } => {
            let mut append = builder.init_append();
            append.set_commit(commit.0);
            append.set_sent_at(sent_at.as_millis());
            append.set_election_timeout(election_timeout.map_or(0, |timeout| timeout.0));
            write_position(append.reborrow().init_previous(), *previous_index, *previous_term);
            let mut list = append.init_entries(entries.len() as u32);
            for (index, entry) in entries.iter().enumerate() {
                write_entry(list.reborrow().get(index as u32), entry);
            }
        }
        MessageKind::AppendAnswer { accepted, index, echo } => {
            let mut answer = builder.init_append_answer();
            answer.set_accepted(*accepted);
            answer.set_index(index.0);
            answer.set_echo(echo.map_or(0, Timestamp::as_millis));
        }
        MessageKind::InstallSnapshot(snapshot) => write_snapshot(builder.init_install_snapshot(), snapshot),
        MessageKind::TimeoutNow => builder.set_timeout_now(()),
    }
}

pub(super) fn read(reader: replication::Reader<'_>) -> WireResult<ReplicationMessage> {
    Ok(ReplicationMessage {
        group: GroupId(reader.get_group()),
        from: NodeId(reader.get_from()),
        to: NodeId(reader.get_to()),
        term: Term(reader.get_term()),
        kind: read_kind(reader.get_kind())?,
    })
}

fn read_kind(reader: replication::kind::Reader<'_>) -> WireResult<MessageKind> {
    use replication::kind::Which;
    Ok(match reader.which().context(UnknownKindSnafu)? {
        Which::PreVote(position) => {
            let (last_index, last_term) = read_position(position.context(MalformedSnafu)?);
            MessageKind::PreVote { last_index, last_term }
        }
        Which::PreVoteAnswer(granted) => MessageKind::PreVoteAnswer { granted },
        Which::Vote(vote) => {
            let vote = vote.context(MalformedSnafu)?;
            let (last_index, last_term) = read_position(vote.get_last().context(MalformedSnafu)?);
            MessageKind::Vote { last_index, last_term, transfer: vote.get_transfer() }
        }
        Which::VoteAnswer(granted) => MessageKind::VoteAnswer { granted },
        Which::Append(append) => {
            let append = append.context(MalformedSnafu)?;
            let (previous_index, previous_term) = read_position(append.get_previous().context(MalformedSnafu)?);
            let entries = append.get_entries().context(MalformedSnafu)?;
            let timeout = append.get_election_timeout();
            MessageKind::Append {
                previous_index,
                previous_term,
                commit: LogIndex(append.get_commit()),
                sent_at: Timestamp::from_millis(append.get_sent_at()),
                election_timeout: (timeout != 0).then_some(Millis(timeout)),
                entries: entries.iter().map(read_entry).collect::<WireResult<_>>()?,
            }
        }
        Which::AppendAnswer(answer) => {
            let answer = answer.context(MalformedSnafu)?;
            let echo = answer.get_echo();
            MessageKind::AppendAnswer {
                accepted: answer.get_accepted(),
                index: LogIndex(answer.get_index()),
                echo: (echo != 0).then_some(Timestamp::from_millis(echo)),
            }
        }
        Which::InstallSnapshot(snapshot) => {
            MessageKind::InstallSnapshot(read_snapshot(snapshot.context(MalformedSnafu)?)?)
        }
        Which::TimeoutNow(()) => MessageKind::TimeoutNow,
    })
}

fn write_position(mut builder: position::Builder<'_>, index: LogIndex, term: Term) {
    builder.set_index(index.0);
    builder.set_term(term.0);
}

fn read_position(reader: position::Reader<'_>) -> (LogIndex, Term) {
    (LogIndex(reader.get_index()), Term(reader.get_term()))
}

fn write_entry(mut builder: entry::Builder<'_>, entry: &Entry) {
    builder.set_term(entry.term.0);
    builder.set_index(entry.index.0);
    let mut payload = builder.init_payload();
    match &entry.payload {
        EntryPayload::Empty => payload.set_empty(()),
        EntryPayload::Command(command) => payload.set_command(command),
        EntryPayload::Membership(membership) => write_membership(payload.init_membership(), membership),
    }
}

fn read_entry(reader: entry::Reader<'_>) -> WireResult<Entry> {
    use entry::payload::Which;
    let payload = match reader.get_payload().which().context(UnknownKindSnafu)? {
        Which::Empty(()) => EntryPayload::Empty,
        Which::Command(command) => EntryPayload::Command(Arc::from(command.context(MalformedSnafu)?)),
        Which::Membership(membership) => {
            EntryPayload::Membership(read_membership(membership.context(MalformedSnafu)?)?)
        }
    };
    Ok(Entry { term: Term(reader.get_term()), index: LogIndex(reader.get_index()), payload })
}

fn write_membership(mut builder: group_membership::Builder<'_>, membership: &GroupMembership) {
    let mut voters = builder.reborrow().init_voters(membership.voters.len() as u32);
    for (index, voter) in membership.voters.iter().enumerate() {
        voters.set(index as u32, voter.0);
    }
    let mut learners = builder.init_learners(membership.learners.len() as u32);
    for (index, learner) in membership.learners.iter().enumerate() {
        learners.set(index as u32, learner.0);
    }
}

fn read_membership(reader: group_membership::Reader<'_>) -> WireResult<GroupMembership> {
    Ok(GroupMembership {
        voters: reader.get_voters().context(MalformedSnafu)?.iter().map(NodeId).collect(),
        learners: reader.get_learners().context(MalformedSnafu)?.iter().map(NodeId).collect(),
    })
}

fn write_snapshot(mut builder: snapshot::Builder<'_>, snapshot: &Snapshot) {
    builder.set_index(snapshot.index.0);
    builder.set_term(snapshot.term.0);
    builder.set_state(&snapshot.state);
    write_membership(builder.init_membership(), &snapshot.membership);
}

fn read_snapshot(reader: snapshot::Reader<'_>) -> WireResult<Snapshot> {
    Ok(Snapshot {
        index: LogIndex(reader.get_index()),
        term: Term(reader.get_term()),
        membership: read_membership(reader.get_membership().context(MalformedSnafu)?)?,
        state: Arc::from(reader.get_state().context(MalformedSnafu)?),
    })
}
