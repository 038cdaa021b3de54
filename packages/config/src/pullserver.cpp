#include "pullserver.h"

#include "auburn/core/ids.h"

namespace auburn {

PullServer::PullServer(MessageBus &bus, std::size_t chunkBytes)
    : bus_(bus)
    , chunkBytes_(chunkBytes)
{}

void PullServer::answer(const std::string &puller, const proto::ConfigPull &pull,
                        const ConfigFold *fold, const proto::SnapshotMark &newestSnapshot)
{
    if (!fold) {
        send(puller, { proto::ConfigChunk() }, newestSnapshot);
        return;
    }
    const auto delta = fold->deltaChunks(pull.after_revision(), makeShortId(), chunkBytes_);
    send(puller, delta ? *delta : wholeState(*fold), newestSnapshot);
}

const std::vector<proto::ConfigChunk> &PullServer::wholeState(const ConfigFold &fold)
{
    if (cached_.empty() || cached_[0].upto_offset() != fold.revision())
        cached_ = fold.chunks(makeShortId(), chunkBytes_);
    return cached_;
}

void PullServer::send(const std::string &puller, const std::vector<proto::ConfigChunk> &chunks,
                      const proto::SnapshotMark &newestSnapshot)
{
    for (const proto::ConfigChunk &chunk : chunks) {
        proto::Envelope envelope;
        *envelope.mutable_config_chunk() = chunk;
        *envelope.mutable_config_chunk()->mutable_newest_snapshot() = newestSnapshot;
        // The puller repeats the pull if a chunk is lost.
        if (!bus_.send(puller, std::move(envelope)))
            return;
    }
}

} // namespace auburn
