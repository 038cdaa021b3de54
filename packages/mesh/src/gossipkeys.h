// Names that several parts of the gossip protocol share.
#pragma once

#include <string_view>

namespace auburn {

// Rendezvous key that ranks the members as relays.
constexpr auto kRelayKey = "relay";
// Begins the peer name of a daemon of which only the endpoint is known.
constexpr std::string_view kSeedPrefix = "seed:";

} // namespace auburn
