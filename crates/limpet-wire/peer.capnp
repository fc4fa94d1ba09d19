@0xd1f4ab3c5e77a901;

# The link between instances of limpetspur.

struct Heartbeat {
  # What an instance tells its peers, several times a minute.
  instance @0 :Text;
  dataCentre @1 :Text;
  # Counts the starts of the process, so that an old heartbeat is recognised.
  incarnation @2 :UInt64;
  sequence @3 :UInt64;
  leaving @4 :Bool;
  # The newest configuration that the sender has in force.
  revision @5 :UInt64;
  # Further parts, each JSON text: see limpet-wire.
  digest @6 :Data;
}

interface Peer {
  # Exchanges heartbeats; the answer is the receiver's own.
  beat @0 (heartbeat :Heartbeat) -> (heartbeat :Heartbeat);
  # Hands a request to the receiver; both bodies are JSON text.
  forward @1 (request :Data) -> (answer :Data);
  # Pushes configuration changes since a revision; JSON text.
  configure @2 (changes :Data) -> (revision :UInt64);
}
