# Messages between hosts. The structs mirror the types of the model package.
# After a change run scripts/generate-rpc.sh and commit the generated code.
@0xd5c7a1b2e49f6380;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("berylreach::transport::rpc");

interface Peer {
  deliver @0 (messages :List(Envelope));
}

struct Envelope {
  from @0 :Text;
  incarnation @1 :UInt64;
  union {
    heartbeat @2 :Heartbeat;
    heartbeatAck @3 :HeartbeatAck;
    leafCall @4 :LeafCall;
    leafReply @5 :LeafReply;
    leafCancel @6 :LeafCancel;
    orderForward @7 :OrderForward;
    orderReply @8 :OrderReply;
    leafStates @9 :List(LeafState);
    hostListUpdate @10 :HostList;
    suspectUpdate @11 :List(SuspectEntry);
    documentOffer @12 :DocumentRef;
    partsRequest @13 :List(Text);
    partsReply @14 :List(Data);
    headUpdate @15 :HeadUpdate;
    release @16 :Release;
    silenceNotice @17 :SilenceNotice;
  }
}

struct CallId {
  incarnation @0 :UInt64;
  counter @1 :UInt64;
}

struct DocumentRef {
  version @0 :UInt64;
  hash @1 :Text;
}

struct Heartbeat {
  sequence @0 :UInt64;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
  document @3 :DocumentRef;
  hostListIndex @4 :UInt64;
  quarantineDigest @5 :UInt64;
  leafStatesDigest @6 :UInt64;
}

struct HeartbeatAck {
  sequence @0 :UInt64;
  incarnation @1 :UInt64;
  epoch @2 :UInt64;
  granted @3 :Bool;
  document @4 :DocumentRef;
  hostListIndex @5 :UInt64;
  quarantineDigest @6 :UInt64;
}

struct LeafCall {
  id @0 :CallId;
  leaf @1 :Text;
  service @2 :Text;
  kind @3 :UInt8;
  priority @4 :UInt32;
  shard @5 :UInt32;
  shardCount @6 :UInt32;
  version @7 :UInt64;
  payload @8 :Data;
  key @9 :Data;
  fingerprint @10 :UInt64;
  budgetUs @11 :Int64;
  extra @12 :Bool;
  alone @13 :Bool;
  canary @14 :Bool;
  noWait @15 :Bool;
}

struct Holding {
  version @0 :UInt64;
  shard @1 :UInt32;
  shardCount @2 :UInt32;
}

struct LeafReply {
  id @0 :CallId;
  leaf @1 :Text;
  outcome @2 :UInt8;
  version @3 :UInt64;
  shard @4 :UInt32;
  shardCount @5 :UInt32;
  result @6 :Data;
  holdings @7 :List(Holding);
  load @8 :UInt32;
  retryAfterMs @9 :Int64;
}

struct OrderForward {
  id @0 :CallId;
  service @1 :Text;
  key @2 :Data;
  payload @3 :Data;
  issuedAtMs @4 :Int64;
  budgetUs @5 :Int64;
  deadlineUnixMs @6 :Int64;
}

struct ShardResult {
  shard @0 :UInt32;
  result @1 :Data;
}

struct MissingShard {
  shard @0 :UInt32;
  reason @1 :UInt8;
}

struct Answer {
  results @0 :List(ShardResult);
  version @1 :UInt64;
  shardsAnswered @2 :UInt32;
  shardsTotal @3 :UInt32;
  missing @4 :List(MissingShard);
}

struct Refusal {
  code @0 :UInt8;
  message @1 :Text;
  ran @2 :UInt8;
  retryAfterMs @3 :Int64;
}

struct OrderReply {
  id @0 :CallId;
  union {
    answer @1 :Answer;
    refusal @2 :Refusal;
  }
}

struct LeafState {
  leaf @0 :Text;
  owner @1 :Text;
  epoch @2 :UInt64;
  sequence @3 :UInt64;
  health @4 :UInt8;
  holdings @5 :List(Holding);
}

struct HostListEntry {
  node @0 :Text;
  leaving @1 :Bool;
}

struct HostList {
  index @0 :UInt64;
  entries @1 :List(HostListEntry);
}

struct SuspectEntry {
  fingerprint @0 :UInt64;
  state @1 :UInt8;
  deaths @2 :UInt32;
  expiresInMs @3 :Int64;
  canaryLeaves @4 :List(UInt64);
}

struct Member {
  host @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  rpcAddress @3 :Text;
  httpAddress @4 :Text;
}

struct Departed {
  member @0 :Member;
  epoch @1 :UInt64;
  quorum @2 :UInt32;
}

struct DocumentEntry {
  document @0 :DocumentRef;
  author @1 :Text;
  # Nanoseconds since the Unix epoch.
  atNs @2 :Int64;
  note @3 :Text;
}

struct HeadRecord {
  epoch @0 :UInt64;
  nonce @1 :UInt64;
  writer @2 :Text;
  members @3 :List(Member);
  departed @4 :List(Departed);
  document @5 :DocumentRef;
  history @6 :List(DocumentEntry);
}

struct HeadUpdate {
  record @0 :HeadRecord;
  revision @1 :UInt64;
}

struct LeafCancel {
  id @0 :CallId;
  onlyIfQueued @1 :Bool;
}

struct SilenceNotice {
  host @0 :Text;
  incarnation @1 :UInt64;
  heard @2 :Bool;
  release @3 :Release;
}

struct Release {
  epoch @0 :UInt64;
  held @1 :List(Text);
}
