// MembershipListClient: reads the platform's list of live and leaving daemons and backend servers.
//
// The list lags, so it only adds addresses and leaving marks; liveness comes from gossip.
#pragma once

#include "auburn/mesh/listedmember.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace auburn {

struct MembershipListClientOptions
{
    std::string baseUrl;
    // Time limit from the call to the response, connecting included.
    std::chrono::milliseconds timeout{ 2000 };
    std::size_t maxAnswerBytes = 16UL * 1024 * 1024;
};

// Used on the thread of Qt's event loop; all calls and callbacks happen there.
class MembershipListClient
{
public:
    // Empty, with lastError() set, if the list could not be read.
    using Callback = std::function<void(std::optional<std::vector<ListedMember>>)>;

    virtual ~MembershipListClient() = default;

    // Null, with lastError() set, if the base URL is not an http URL.
    static std::unique_ptr<MembershipListClient> make(const MembershipListClientOptions &options);

    // Reads the list once; entries of an unknown kind or without a name are left out.
    virtual void list(Callback callback) = 0;
};

} // namespace auburn
