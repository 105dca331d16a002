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
    quotaRequest @8 :Quota;
    quotaGrant @9 :Quota;
    # A ping whose number its answer repeats.
    numberedPing @10 :UInt64;
  }

  struct Configuration {
    version @0 :UInt64;
    routes @1 :List(Route);
    groups @2 :List(Group);
    transactionIdleTimeout @3 :Int64;
    requiresKeys @4 :Bool;
    accounts @5 :List(Account);
  }

  struct Account {
    name @0 :Text;
    # SHA-256 digests.
    keys @1 :List(Data);
    isLimited @2 :Bool;
    operationsPerSecond @3 :Float64;
    burst @4 :Float64;
  }

  struct Quota {
    account @0 :Text;
    tokens @1 :Float64;
    number @2 :UInt64;
  }

  struct Route {
    database @0 :Text;
    group @1 :Text;
    mode @2 :UInt8;
    statementTimeout @3 :Int64;
    targetLatency @4 :Int64;
    priority @5 :UInt32;
    maximumAge @6 :Int64;
    isPublic @7 :Bool;
  }

  struct Group {
    group @0 :Text;
    connectionCap @1 :UInt32;
    synchronousReplicas @2 :UInt32;
  }

  struct Pong {
    configurationVersion @0 :UInt64;
    leaving @1 :Bool;
    # Zero: the message answers no numbered ping.
    pingNumber @2 :UInt64;
    # Negative: not known.
    configurationAge @3 :Int64 = -1;
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
    account @19 :Text;
    configurationVersion @20 :UInt64;
    admitted @21 :Bool;
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
