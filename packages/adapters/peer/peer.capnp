@0xd4c1a5e0b7f3926d;

# What papayafield nodes say to one another. Datagrams carry a Message behind an authenticator; the
# interfaces are spoken over TCP. Fields are only ever added, so that a node of the next version can
# talk with one of this; `version` says which fields the sender knows.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("papayafield::adapters::peer::wire");

const protocolVersion :UInt16 = 1;

struct Member {
  node @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  callers @3 :Text;
  peers @4 :Text;
  state @5 :UInt8;
  generation @6 :UInt64;
  number @7 :UInt64;
}

struct Message {
  version @0 :UInt16;
  kind @1 :UInt8;
  sequence @2 :UInt64;
  sender @3 :Member;
  target @4 :Text;
  members @5 :List(Member);
  leaving @6 :List(Text);
  clockWall @7 :Int64;
  clockCount @8 :UInt32;
}

struct ClaimOrder {
  key @0 :Text;
  owner @1 :Text;
  number @2 :UInt64;
}

struct ClaimReply {
  order @0 :ClaimOrder;
  state @1 :UInt8;
  holderOwner @2 :Text;
  holderNumber @3 :UInt64;
  holderDone @4 :Bool;
}

struct Table {
  members @0 :List(Member);
  leaving @1 :List(Text);
}

# What a connection starts with: the caller shows that it holds a key of the fleet.
interface Gate {
  hello @0 (version :UInt16) -> (version :UInt16, challenge :Challenge, nonce :Text);
}

interface Challenge {
  answer @0 (proof :Text) -> (peer :Peer);
}

interface Peer {
  # The configuration in force, as it stands in the key-value service; empty when there is none.
  configuration @0 () -> (text :Text);
  # Each side's full table.
  exchange @1 (table :Table) -> (table :Table);
  # Claims of keys whose shard this node writes.
  claim @2 (orders :List(ClaimOrder)) -> (replies :List(ClaimReply));
  # Claimed calls that have run.
  done @3 (keys :List(Text)) -> ();
  # A digest of the node's full table, so that equal tables are not exchanged.
  summary @4 () -> (digest :UInt64);
}
