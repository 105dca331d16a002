@0xf3a1c2d4b5e69788;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("nutmegloom::wire");

# What a host tells another one in a datagram. Ages are milliseconds at the
# moment of sending; a negative age means that there is no value.
struct HostObservation {
  host @0 :Text;
  incarnation @1 :UInt64;
  address @2 :Text;
  leaving @3 :Bool;
  configurationVersion @4 :UInt64;
  databaseListRevision @5 :UInt64;
  sentAt @6 :UInt64;
  echoIncarnation @7 :UInt64;
  echoSentAt @8 :UInt64;
  groups @9 :List(Group);
  dutyHolder @10 :Text;
  dutyIncarnation @11 :UInt64;
  dutyToken @12 :UInt64;
  dutyRevision @13 :UInt64;
  reachesStore @14 :Bool = true;
  region @15 :Text;
  configurationAge @16 :Int32 = -1;
  # Number of members in the sender's list.
  members @17 :UInt32;
  # Era of the store to which the revision beside it belongs.
  databaseListEra @18 :UInt64;
  dutyEra @19 :UInt64;

  struct Group {
    group @0 :Text;
    leader @1 :Text;
    term @2 :UInt64;
    phase @3 :UInt8;
    holder @4 :Text;
    revision @5 :UInt64;
    confirmedAge @6 :Int32;
    logTerm @7 :UInt64;
    logIndex @8 :UInt64;
    logAge @9 :Int32;
    answeredAge @10 :Int32;
    era @11 :UInt64;
  }
}
