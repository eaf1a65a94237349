@0xb5c8d3f1a6e29047;

# What nodes of the forwarding path send one another in datagrams. Fields are only ever
# added.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("papayafield::adapters::peer::wire");

struct NewsContact {
  node @0 :Text;
  born @1 :Int64;
  host @2 :Text;
}

struct NewsLoad {
  endpoint @0 :Text;
  calls @1 :Float32;
  waitingTokens @2 :Float32;
  urgency @3 :Float32;
  urgentTokens @4 :Float32;
}

# Attempts at an endpoint that have ended, as counts that decay.
struct NewsFailures {
  endpoint @0 :Text;
  attempts @1 :Float32;
  failures @2 :Float32;
}

struct NewsTotal {
  team @0 :Text;
  units @1 :Float64;
}

struct NewsWindow {
  number @0 :Int64;
  counts @1 :List(NewsTotal);
}

# Answers of one version on one route, as running totals. Buckets of times after the last
# non-empty one are left out.
struct NewsAnswers {
  answers @0 :UInt64;
  failures @1 :UInt64;
  times @2 :List(UInt32);
  # Broken calls of a crash that is counted as one failure.
  repeatedLosses @3 :UInt64;
}

struct NewsVersionRoute {
  route @0 :Text;
  old @1 :NewsAnswers;
  target @2 :NewsAnswers;
}

# What a node has counted of the roll-out of a service, by the position of its order.
struct NewsRolloutCounts {
  service @0 :Text;
  era @1 :UInt64;
  revision @2 :UInt64;
  requests @3 :UInt64;
  sent @4 :UInt64;
  oldOpen @5 :UInt64;
  routes @6 :List(NewsVersionRoute);
}

struct NewsNodeGrant {
  incarnation @0 :Text;
  calls @1 :UInt64;
}

# Calls that the leader lets each node send to the version that is rolled out, as running totals.
struct NewsRolloutGrants {
  service @0 :Text;
  era @1 :UInt64;
  revision @2 :UInt64;
  fence @3 :UInt64;
  nodes @4 :List(NewsNodeGrant);
}

struct NewsBeat {
  from @0 :NewsContact;
  zone @1 :Text;
  ready @2 :Bool;
  stopping @3 :Bool;
  storeAnswers @4 :Bool;
  configuration @5 :Int64;
  revision @6 :UInt64;
  workAsked @7 :Float64;
  loads @8 :List(NewsLoad);
  granted @9 :List(NewsTotal);
  usage @10 :List(NewsWindow);
  contacts @11 :List(NewsContact);
  levels @12 :List(NewsTotal);
  asked @13 :List(NewsTotal);
  era @14 :UInt64;
  engineCalls @15 :Float64;
  lateEngineCalls @16 :Float64;
  rolloutCounts @17 :List(NewsRolloutCounts);
  rolloutGrants @18 :List(NewsRolloutGrants);
  failures @19 :List(NewsFailures);
  relays @20 :Bool;
}

struct NewsChange {
  key @0 :Text;
  data @1 :Data;
  revision @2 :UInt64;
  created @3 :UInt64;
  removed @4 :Bool;
}

struct NewsUpdate {
  from @0 :NewsContact;
  after @1 :UInt64;
  revision @2 :UInt64;
  changes @3 :List(NewsChange);
  era @4 :UInt64;
  # Milliseconds since the store last confirmed the sender's replica. The maximum if that is not
  # stated, as in releases before this field.
  confirmedAgeMs @5 :UInt32 = 0xffffffff;
}

# The version that began a stream.
struct NewsOrigin {
  stream @0 :UInt64;
  version @1 :Text;
}

struct NewsOrigins {
  origins @0 :List(NewsOrigin);
  # In a reply, the host of the node that replies and the streams that it does not know.
  host @1 :Text;
  unknown @2 :List(UInt64);
}

# Asks for the origins of streams. The reply to the host also lists those that are not known.
struct NewsOriginQuery {
  host @0 :Text;
  streams @1 :List(UInt64);
}

struct NewsDatagram {
  union {
    beat @0 :NewsBeat;
    update @1 :NewsUpdate;
    origins @2 :NewsOrigins;
    originQuery @3 :NewsOriginQuery;
  }
}
