#include "auburn/claims/claimowner.h"

#include "auburn/core/ids.h"
#include "auburn/core/lasterror.h"
#include "claimpartition.h"

#include <cstring>
#include <utility>

namespace auburn {

namespace {

IdempotencyKey::WallTime systemTime()
{
    return std::chrono::duration_cast<IdempotencyKey::WallTime>(
            std::chrono::system_clock::now().time_since_epoch());
}

// Decodes the body hash of a message. Missing bytes are zero.
std::uint64_t toBodyHash(const std::string &bytes)
{
    std::uint64_t hash = 0;
    std::memcpy(&hash, bytes.data(), std::min(bytes.size(), sizeof(hash)));
    return hash;
}

} // namespace

std::unique_ptr<ClaimOwner> ClaimOwner::make(Options options)
{
    if (!options.bus || !options.views || !options.log || options.selfId.empty()) {
        setLastError("claim owner requires a daemon id, a bus, a view source and a log");
        return nullptr;
    }
    if (!options.wallClock)
        options.wallClock = systemTime;
    std::unique_ptr<ClaimOwner> owner(new ClaimOwner(std::move(options)));
    const MessageBus::Handler handler = [self = owner.get()](const std::string &sender,
                                                             const proto::Envelope &envelope) {
        self->handle(sender, envelope);
    };
    owner->options_.bus->setHandler(proto::Envelope::kClaimRequest, handler);
    owner->options_.bus->setHandler(proto::Envelope::kClaimFinish, handler);
    return owner;
}

ClaimOwner::ClaimOwner(Options options)
    : options_(std::move(options))
{
    // The writer id is unique for each process; otherwise a restarted daemon would mistake batches
    // of its predecessor for its own.
    const std::string writer = options_.selfId + '/' + makeShortId();
    for (unsigned partition = 0; partition < kClaimPartitionCount; ++partition) {
        partitions_.push_back(std::make_shared<ClaimPartition>(ClaimPartition::Options{
                .log = options_.log,
                .stream = claimStream(partition),
                .writer = writer,
                .reply = [this](const std::string &receiver, const std::string &attemptId,
                                proto::ClaimStatus status) { reply(receiver, attemptId, status); },
                .clock = options_.clock,
                .wallClock = options_.wallClock }));
    }
}

ClaimOwner::~ClaimOwner()
{
    for (const auto &partition : partitions_)
        partition->close();
}

void ClaimOwner::handle(const std::string &sender, const proto::Envelope &envelope)
{
    if (envelope.has_claim_request())
        onRequest(sender, envelope.claim_request());
    else if (envelope.has_claim_finish())
        onFinish(sender, envelope.claim_finish());
}

void ClaimOwner::tick(TimePoint now)
{
    const auto view = options_.views->view();
    for (unsigned partition = 0; partition < kClaimPartitionCount; ++partition) {
        const bool owned = view
                           && view->ownerOf(claimOwnerKey(view->failureDomain, partition))
                                      == options_.selfId;
        partitions_[partition]->tick(now, owned);
    }
}

void ClaimOwner::onRequest(const std::string &sender, const proto::ClaimRequest &request)
{
    const std::optional<IdempotencyKey> key = IdempotencyKey::parse(request.key());
    if (!key || key->validityAt(options_.wallClock()) != IdempotencyKeyValidity::Valid) {
        reply(sender, request.attempt_id(), proto::CLAIM_STATUS_KEY_EXPIRED);
        return;
    }
    const Hash128 hash = key->hashFor(request.organisation());
    proto::ClaimRecord record;
    record.set_key_hash_high(hash.high);
    record.set_key_hash_low(hash.low);
    record.set_attempt_id(request.attempt_id());
    record.set_body_hash(toBodyHash(request.body_hash()));
    record.set_key_time_ms(static_cast<std::uint64_t>(key->time().count()));
    partitions_[claimPartition(hash)]->claim(sender, std::move(record));
}

void ClaimOwner::onFinish(const std::string &sender, const proto::ClaimFinish &finish)
{
    proto::ClaimOutcomeRecord record;
    record.set_key_hash_high(finish.key_hash_high());
    record.set_key_hash_low(finish.key_hash_low());
    record.set_attempt_id(finish.attempt_id());
    record.set_outcome(finish.outcome());
    const Hash128 hash{ .high = finish.key_hash_high(), .low = finish.key_hash_low() };
    partitions_[claimPartition(hash)]->finish(sender, std::move(record));
}

void ClaimOwner::reply(const std::string &receiver, const std::string &attemptId,
                       proto::ClaimStatus status)
{
    proto::Envelope envelope;
    envelope.set_sender(options_.selfId);
    envelope.mutable_claim_reply()->set_attempt_id(attemptId);
    envelope.mutable_claim_reply()->set_status(status);
    if (receiver != options_.selfId)
        options_.bus->send(receiver, std::move(envelope));
    else if (localHandler_)
        localHandler_(options_.selfId, envelope);
}

} // namespace auburn
