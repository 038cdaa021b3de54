// PullServer: responds to the configuration pulls of other daemons.
#pragma once

#include "auburn/config/configfold.h"
#include "auburn/mesh/bus.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburn {

class PullServer
{
public:
    PullServer(MessageBus &bus, std::size_t chunkBytes);

    // Sends the changes after the puller's revision if the fold still holds them, otherwise the
    // whole state. Without a fold the response is one chunk with a count of 0.
    void answer(const std::string &puller, const proto::ConfigPull &pull, const ConfigFold *fold,
                const proto::SnapshotMark &newestSnapshot);

private:
    const std::vector<proto::ConfigChunk> &wholeState(const ConfigFold &fold);
    void send(const std::string &puller, const std::vector<proto::ConfigChunk> &chunks,
              const proto::SnapshotMark &newestSnapshot);

    MessageBus &bus_;
    std::size_t chunkBytes_;
    // The last whole state that was sent, because daemons of a failure domain often start together.
    std::vector<proto::ConfigChunk> cached_;
};

} // namespace auburn
