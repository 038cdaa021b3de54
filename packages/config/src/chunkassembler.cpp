#include "chunkassembler.h"

#include <utility>

namespace auburn {

namespace {

bool belongTogether(const proto::ConfigChunk &left, const proto::ConfigChunk &right)
{
    return left.snapshot_id() == right.snapshot_id() && left.count() == right.count()
           && left.upto_offset() == right.upto_offset();
}

} // namespace

void ChunkAssembler::add(proto::ConfigChunk chunk)
{
    if (chunk.index() >= chunk.count())
        return;
    if (!chunks_.empty() && !belongTogether(chunks_.begin()->second, chunk))
        chunks_.clear();
    chunks_.insert_or_assign(chunk.index(), std::move(chunk));
}

bool ChunkAssembler::isComplete() const
{
    return !chunks_.empty() && chunks_.size() == chunks_.begin()->second.count();
}

std::vector<proto::ConfigChunk> ChunkAssembler::take()
{
    std::vector<proto::ConfigChunk> result;
    result.reserve(chunks_.size());
    for (auto &entry : chunks_)
        result.push_back(std::move(entry.second));
    chunks_.clear();
    return result;
}

} // namespace auburn
