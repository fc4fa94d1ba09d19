@0xd1f4ab3c5e77a901;

# The link between two instances of limpetspur.

struct Heartbeat {
  # The state of an instance, which it sends to its peers periodically.
  instance @0 :Text;
  dataCentre @1 :Text;
  # Higher after each start of the process, so that a peer recognises
  # heartbeats of an earlier one.
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  leaving @4 :Bool;
  # The revision of the configuration that the sender has in force.
  revision @5 :UInt64;
  # Further state of the sender, as JSON text.
  digest @6 :Data;
}

interface Peer {
  # Sends a heartbeat; the answer is the receiver's own.
  beat @0 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  # Forwards a request to the receiver. Request and answer are JSON text,
  # ForwardRequest and ForwardAnswer of limpet-wire.
  forward @1 (request :Data) -> (answer :Data);
  # Sends configuration changes, as JSON text. The answer is the revision
  # that the receiver has in force then.
  configure @2 (changes :Data) -> (revision :UInt64);
}
