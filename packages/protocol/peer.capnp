@0xd1f6c1f0a7a14e21;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("nutmegloom::wire");

struct Position {
  term @0 :UInt64;
  index @1 :UInt64;
}

struct Request {
  # A step that an entry host forwards to an owner. Names of enumerations are
  # those of the decision library.
  step @0 :Text;
  group @1 :Text;
  kind @2 :Text;
  statement @3 :Text;
  shape @4 :UInt64;
  hasMaximumAge @5 :Bool;
  maximumAgeMs @6 :UInt64;
  hasRequired @7 :Bool;
  required @8 :Position;
  key @9 :Text;
  fingerprint @10 :UInt64;
  transaction @11 :Text;
  workClass @12 :Text;
  caller @13 :Text;
  remainingMs @14 :UInt64;
  # Time left until the deadline, since hosts share no clock.
  traceParent @15 :Text;
}

struct Answer {
  outcome @0 :Text;
  error @1 :Text;
  detail @2 :Text;
  body @3 :Text;
  hasSeen @4 :Bool;
  seen @5 :Position;
  database @6 :Text;
  ageMs @7 :UInt64;
  replayed @8 :Bool;
  transaction @9 :Text;
  retryAfterMs @10 :UInt64;
  redirectRegion @11 :Text;
  fromReplica @12 :Bool;
}

struct Summary {
  # What a heartbeat tells about another host than its sender.
  host @0 :Text;
  incarnation @1 :Text;
  region @2 :Text;
  zone @3 :Text;
  peerAddress @4 :Text;
  state @5 :Text;
  configurationVersion @6 :UInt64;
  ageMs @7 :UInt64;
  suspected @8 :Bool;
}

struct Heartbeat {
  host @0 :Text;
  incarnation @1 :Text;
  region @2 :Text;
  zone @3 :Text;
  peerAddress @4 :Text;
  state @5 :Text;
  configurationVersion @6 :UInt64;
  known @7 :List(Summary);
}

struct Configuration {
  version @0 :UInt64;
  text @1 :Text;
}

interface Peer {
  execute @0 (request :Request) -> (answer :Answer);
  heartbeat @1 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  getConfiguration @2 () -> (configuration :Configuration);
}
