// StandinEngine: a stand-in for a model engine with the API of section 4 of the design page.
//
// Continuous batching is modelled with one timer for each running sequence: the time between its
// tokens grows with the number of running sequences. All functions are called on the thread of the
// io_context.
#pragma once

#include "executionrecord.h"
#include "prefixcache.h"
#include "standinhttp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <QJsonObject>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburn::standin {

struct EngineOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    // Sequences that run at once.
    unsigned slots = 8;
    // Speed of one stream that runs alone.
    double tokensPerSecond = 50;
    // Growth of the time between tokens for each further sequence in the batch.
    double batchSlowdown = 0.02;
    // Prefill time for each prompt token that is not cached.
    std::chrono::microseconds prefillPerToken{ 100 };
    std::size_t cachedPrefixes = 64;
    // Tokens of all running sequences, prompts included.
    std::size_t kvTokens = 200000;
    std::chrono::milliseconds loadLag{ 500 };
    std::chrono::milliseconds cacheEventDelay{ 200 };
    unsigned cacheEventGap = 7;
    // Time for which a sequence whose client has gone can be resumed before it is cancelled.
    std::chrono::milliseconds resumeTime{ 3000 };
    unsigned defaultTokens = 16;
    // Called for "crash"; empty means that only this engine's sockets are closed.
    std::function<void()> crash;
};

class StandinEngine
{
public:
    // Null with lastError() set if the address cannot be bound.
    static std::unique_ptr<StandinEngine> make(boost::asio::io_context &context,
                                               EngineOptions options);
    ~StandinEngine();

    std::uint16_t port() const { return listener_->port(); }
    const ExecutionRecord &record() const { return record_; }
    // Requests that were read completely, whatever became of them.
    unsigned arrivals() const { return arrivals_; }
    std::size_t running() const { return running_.size(); }
    std::size_t waiting() const { return waiting_.size(); }
    // Runs a command of POST /control: {"action":NAME,...}. False if it is unknown. Actions: crash,
    // freeze, thaw, silence (existing connections only), straggle (factor), drop (count: requests
    // that are read and not answered), fail (count, status), crash_on_word (word), break_streams
    // (tokens, count: streams that are cut after that many tokens, resumable or not).
    bool control(const QJsonObject &command);

private:
    struct Sequence;
    using SequencePtr = std::shared_ptr<Sequence>;

    StandinEngine(boost::asio::io_context &context, EngineOptions options);

    void handle(const std::shared_ptr<Exchange> &exchange);
    void handleControl(const std::shared_ptr<Exchange> &exchange);
    void handleChat(const std::shared_ptr<Exchange> &exchange);
    void handleResume(const std::shared_ptr<Exchange> &exchange, const std::string &requestId);
    void handleCancel(const std::shared_ptr<Exchange> &exchange, const std::string &requestId);
    bool interfere(const std::shared_ptr<Exchange> &exchange);
    void crash();
    // Ends all sequences without a trace, as the end of the process does.
    void abandonSequences();

    void admit();
    void start(const SequencePtr &sequence);
    void scheduleToken(const SequencePtr &sequence, std::chrono::microseconds delay);
    void makeToken(const SequencePtr &sequence);
    void cutStream(const SequencePtr &sequence);
    void attach(const SequencePtr &sequence, const std::shared_ptr<Exchange> &exchange);
    void clientGone(const SequencePtr &sequence);
    void finish(const SequencePtr &sequence);
    void cancel(const SequencePtr &sequence);
    void removeRunning(const SequencePtr &sequence);
    std::chrono::microseconds tokenGap() const;
    std::string eventOf(const Sequence &sequence, unsigned index) const;
    std::string loadJson();

    boost::asio::io_context &context_;
    EngineOptions options_;
    std::unique_ptr<HttpListener> listener_;
    ExecutionRecord record_;
    PrefixCache cache_;
    std::vector<SequencePtr> running_;
    // Sorted by priority, then by arrival.
    std::vector<SequencePtr> waiting_;
    std::unordered_map<std::string, SequencePtr> sequences_;
    std::size_t kvUsed_ = 0;
    unsigned arrivals_ = 0;
    double straggle_ = 1;
    bool frozen_ = false;
    unsigned dropCount_ = 0;
    unsigned failCount_ = 0;
    int failStatus_ = 503;
    unsigned breakCount_ = 0;
    unsigned breakAfter_ = 0;
    bool breakForgets_ = false;
    std::string crashWord_;
    std::string loadText_;
    std::chrono::steady_clock::time_point loadTime_;
};

} // namespace auburn::standin
