@0xb7d4a19c52e8f063;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("nutmegloom::wire");

# What hosts send each other on a relay connection. Spans are milliseconds.
struct RelayMessage {
  union {
    work @0 :Work;
    # Session that needs nothing more.
    end @1 :UInt64;
    result @2 :Result;
    # Session whose open transaction is lost.
    loss @3 :UInt64;
    ping @4 :Void;
    pong @5 :Pong;
    configurationRequest @6 :Void;
    configuration @7 :Configuration;
  }

  struct Configuration {
    version @0 :UInt64;
    routes @1 :List(Route);
    groups @2 :List(Group);
    transactionIdleTimeout @3 :Int64;
  }

  struct Route {
    database @0 :Text;
    group @1 :Text;
    mode @2 :UInt8;
    statementTimeout @3 :Int64;
    targetLatency @4 :Int64;
    priority @5 :UInt32;
    maximumAge @6 :Int64;
  }

  struct Group {
    group @0 :Text;
    connectionCap @1 :UInt32;
    synchronousReplicas @2 :UInt32;
  }

  struct Pong {
    configurationVersion @0 :UInt64;
    leaving @1 :Bool;
  }

  struct Value {
    name @0 :Text;
    text @1 :Text;
  }

  struct LogPosition {
    term @0 :UInt64;
    index @1 :UInt64;
  }

  struct Work {
    session @0 :UInt64;
    number @1 :UInt64;
    group @2 :Text;
    id @3 :Text;
    text @4 :Text;
    # Empty: the statement is not prepared. Otherwise the name by which hosts of
    # earlier versions execute it; later ones choose a name of their own.
    preparedName @5 :Text;
    preparedShape @6 :Text;
    preparedWrites @7 :Bool;
    values @8 :List(Value);
    needsLeader @9 :Bool;
    writes @10 :Bool;
    repeatable @11 :Bool;
    maximumAge @12 :Int64;
    ownWrite @13 :LogPosition;
    # Verb that opens a transaction before the statement; 0: none.
    opens @14 :UInt8;
    endsTransaction @15 :Bool;
    inOpenTransaction @16 :Bool;
    priority @17 :UInt32;
    timeLeft @18 :Int64;
  }

  struct Result {
    session @0 :UInt64;
    number @1 :UInt64;
    code @2 :UInt8;
    rows @3 :List(Text);
    signature @4 :Text;
    detail @5 :Text;
    state @6 :UInt8;
    log @7 :LogPosition;
    database @8 :Text;
    inTransaction @9 :Bool;
    ownWriteLost @10 :Bool;
    retryAfter @11 :Int64;
    floor @12 :LogPosition;
    # Negative: not known.
    leadershipAge @13 :Int64 = -1;
    attempts @14 :UInt32;
  }
}
