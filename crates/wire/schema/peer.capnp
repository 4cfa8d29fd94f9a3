@0xb8f3a1c0d24e97a1;

# Messages between stallmoor nodes. One envelope is one message.

struct Envelope {
  # Raised when a message can no longer be read by nodes of the version before.
  version @0 :UInt16;
  message :union {
    membership @1 :Membership;
    replication @2 :Replication;
    groupRequest @3 :GroupRequest;
    groupAnswer @4 :GroupAnswer;
    configuration @5 :Configuration;
    credit @6 :Credit;
    enginesLeaving @7 :List(LeavingFact);
    directoryRequest @8 :UInt64;
    directoryAnswer @9 :DirectoryAnswer;
    statusRequest @10 :StatusRequest;
    statusAnswer @11 :StatusAnswer;
  }
}

struct Member {
  id @0 :UInt64;
  incarnation @1 :UInt64;
  status @2 :UInt8;
  peerAddress @3 :Text;
  callerAddress @4 :Text;
  zone @5 :Text;
  stores @6 :Bool;
}

struct Membership {
  sender @0 :Member;
  sequence @1 :UInt64;
  configurationRevision @2 :UInt64;
  kind @3 :UInt8;
  # The target of a ping or ping request, or the subject of an ack; 0 for none.
  node @4 :UInt64;
  updates @5 :List(Member);
}

struct GroupMembership {
  voters @0 :List(UInt64);
  learners @1 :List(UInt64);
}

struct Entry {
  term @0 :UInt64;
  index @1 :UInt64;
  payload :union {
    empty @2 :Void;
    command @3 :Data;
    membership @4 :GroupMembership;
  }
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :GroupMembership;
  state @3 :Data;
}

struct Position {
  index @0 :UInt64;
  term @1 :UInt64;
}

struct Append {
  previous @0 :Position;
  commit @1 :UInt64;
  entries @2 :List(Entry);
  # By the leader's clock, in milliseconds; the answer gives it back.
  sentAt @3 :UInt64;
  # The time in milliseconds for which the receiver is to refuse votes for others; 0 for 1,000.
  electionTimeout @4 :UInt64;
}

struct AppendAnswer {
  accepted @0 :Bool;
  index @1 :UInt64;
  # What is answered was sent then, by the leader's clock; 0 for none.
  echo @2 :UInt64;
}

struct Vote {
  last @0 :Position;
  transfer @1 :Bool;
}

struct Replication {
  group @0 :UInt32;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  kind :union {
    preVote @4 :Position;
    preVoteAnswer @5 :Bool;
    vote @6 :Vote;
    voteAnswer @7 :Bool;
    append @8 :Append;
    appendAnswer @9 :AppendAnswer;
    installSnapshot @10 :Snapshot;
    timeoutNow @11 :Void;
  }
}

struct GroupRequest {
  id @0 :UInt64;
  from @1 :UInt64;
  group @2 :UInt32;
  # A command or query in the encoding of the log.
  body @3 :Data;
}

struct GroupAnswer {
  id @0 :UInt64;
  group @1 :UInt32;
  result :union {
    # An outcome or answer in the encoding of the log. After loads, the standstill may follow; former versions leave it unread.
    body @2 :Data;
    notLeader @3 :NotLeader;
    busy @4 :Void;
  }
}

struct NotLeader {
  term @0 :UInt64;
  # 0 for none.
  leader @1 :UInt64;
}

struct PartReference {
  name @0 :Text;
  digest @1 :UInt64;
}

struct AppliedChange {
  id @0 :UInt64;
  revision @1 :UInt64;
}

struct Manifest {
  revision @0 :UInt64;
  parts @1 :List(PartReference);
  applies @2 :List(AppliedChange);
}

struct Configuration {
  from @0 :UInt64;
  kind :union {
    offer @1 :UInt64;
    manifestRequest @2 :Void;
    manifestAnswer @3 :Manifest;
    partsRequest @4 :List(UInt64);
    partAnswer @5 :Part;
  }
}

struct Part {
  digest @0 :UInt64;
  content @1 :Text;
}

struct Credit {
  engine @0 :Text;
  from @1 :UInt64;
  kind :union {
    onlineNotice @2 :UInt32;
    ask @3 :UInt32;
    grant @4 :Grant;
  }
}

struct Grant {
  limit @0 :UInt32;
  lifetimeMillis @1 :UInt64;
}

struct LeavingFact {
  engine @0 :Text;
  incarnation @1 :UInt64;
}

struct DirectoryEntry {
  group @0 :UInt32;
  term @1 :UInt64;
  membershipIndex @2 :UInt64;
  members @3 :List(UInt64);
  # 0 for none.
  leader @4 :UInt64;
}

struct DirectoryAnswer {
  groupCount @0 :UInt32;
  entries @1 :List(DirectoryEntry);
}

struct StatusRequest {
  from @0 :UInt64;
  id @1 :UInt64;
}

struct StatusAnswer {
  id @0 :UInt64;
  # The status in the encoding of the log.
  status @1 :Data;
}
