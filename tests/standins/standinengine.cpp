#include "standinengine.h"

#include "engineanswer.h"

#include "auburn/core/hash.h"
#include "auburn/core/ids.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonValue>

#include <algorithm>
#include <charconv>
#include <utility>

namespace auburn::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;

struct StandinEngine::Sequence
{
    explicit Sequence(asio::io_context &context)
        : timer(context)
        , goneTimer(context)
    {}

    std::string id;
    std::string prompt;
    unsigned promptTokens = 0;
    unsigned priority = 0;
    unsigned wanted = 0;
    // Tokens made so far.
    unsigned made = 0;
    // Cut the stream after this many tokens; 0 means never.
    unsigned breakAfter = 0;
    bool breakForgets = false;
    bool stream = false;
    bool eventsBegun = false;
    bool running = false;
    bool over = false;
    // The client that gets the answer; null while there is none.
    std::shared_ptr<Exchange> client;
    Execution *execution = nullptr;
    asio::steady_timer timer;
    asio::steady_timer goneTimer;
};

namespace {

constexpr std::string_view kRequestPrefix = "/v1/requests/";

QJsonObject parseObject(const std::string &body)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
}

std::string promptOf(const QJsonObject &body)
{
    std::string prompt;
    for (const auto &message : body.value("messages").toArray())
        prompt += message.toObject().value("content").toString().toStdString() + "\n";
    return prompt;
}

std::string jsonText(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::string doneEvent(unsigned index)
{
    return "id: " + std::to_string(index) + "\ndata: [DONE]\n\n";
}

} // namespace

std::unique_ptr<StandinEngine> StandinEngine::make(asio::io_context &context, EngineOptions options)
{
    std::unique_ptr<StandinEngine> engine(new StandinEngine(context, std::move(options)));
    engine->listener_ = HttpListener::make(
            context, engine->options_.address, engine->options_.port,
            [raw = engine.get()](const std::shared_ptr<Exchange> &exchange) {
                raw->handle(exchange);
            });
    if (!engine->listener_)
        return nullptr;
    return engine;
}

StandinEngine::StandinEngine(asio::io_context &context, EngineOptions options)
    : context_(context)
    , options_(std::move(options))
    , cache_(options_.cachedPrefixes, options_.cacheEventGap, options_.cacheEventDelay)
{}

StandinEngine::~StandinEngine()
{
    abandonSequences();
}

void StandinEngine::abandonSequences()
{
    for (const auto &[id, sequence] : sequences_) {
        sequence->over = true;
        sequence->client.reset();
        sequence->timer.cancel();
        sequence->goneTimer.cancel();
    }
    sequences_.clear();
    running_.clear();
    waiting_.clear();
}

// ---- Requests --------------------------------------------------------------

void StandinEngine::handle(const std::shared_ptr<Exchange> &exchange)
{
    const std::string path = exchange->path();
    const auto method = exchange->request().method();
    if (path.starts_with("/control")) {
        handleControl(exchange);
    } else if (path == "/v1/chat/completions" && method == http::verb::post) {
        handleChat(exchange);
    } else if (path == "/load") {
        exchange->respond(200, loadJson());
    } else if (path == "/cache-events") {
        const std::string from = exchange->parameter("from");
        exchange->respond(200, cache_.eventsJson(std::strtoull(from.c_str(), nullptr, 10)));
    } else if (path.starts_with(kRequestPrefix)) {
        const std::string rest = path.substr(kRequestPrefix.size());
        const std::string id = rest.substr(0, rest.find('/'));
        if (method == http::verb::delete_)
            handleCancel(exchange, id);
        else
            handleResume(exchange, id);
    } else {
        exchange->respond(404, R"({"error":{"message":"not found"}})");
    }
}

void StandinEngine::handleControl(const std::shared_ptr<Exchange> &exchange)
{
    if (exchange->path() == "/control/executions") {
        exchange->respond(200, record_.toJson());
        return;
    }
    const bool known = control(parseObject(exchange->request().body()));
    exchange->respond(known ? 200 : 400, known ? R"({"ok":true})" : R"({"ok":false})");
}

bool StandinEngine::control(const QJsonObject &command)
{
    const QString action = command.value("action").toString();
    const auto number = [&command](const char *name) {
        return static_cast<unsigned>(command.value(QLatin1String(name)).toInt());
    };
    if (action == "crash") {
        crash();
    } else if (action == "freeze") {
        frozen_ = true;
        listener_->freeze();
    } else if (action == "thaw") {
        frozen_ = false;
        listener_->thaw();
    } else if (action == "silence") {
        listener_->silenceConnections();
    } else if (action == "straggle") {
        straggle_ = command.value("factor").toDouble(1);
    } else if (action == "drop") {
        dropCount_ = number("count");
    } else if (action == "fail") {
        failCount_ = number("count");
        failStatus_ = command.value("status").toInt(503);
    } else if (action == "crash_on_word") {
        crashWord_ = command.value("word").toString().toStdString();
    } else if (action == "break_streams") {
        breakCount_ = number("count");
        breakAfter_ = number("tokens");
        breakForgets_ = command.value("forget").toBool();
    } else {
        return false;
    }
    return true;
}

void StandinEngine::crash()
{
    if (options_.crash)
        options_.crash();
    abandonSequences();
    listener_->crash();
}

// Faults that hit a request after it was read; true if the request needs no more handling.
bool StandinEngine::interfere(const std::shared_ptr<Exchange> &exchange)
{
    if (!crashWord_.empty() && exchange->request().body().find(crashWord_) != std::string::npos) {
        record_.add(exchange->field("X-Request-Id"), exchange->field("Idempotency-Key"));
        crash();
        return true;
    }
    if (dropCount_ > 0) {
        --dropCount_;
        record_.add(exchange->field("X-Request-Id"), exchange->field("Idempotency-Key"));
        exchange->drop();
        return true;
    }
    if (failCount_ > 0) {
        --failCount_;
        exchange->respond(failStatus_, R"({"error":{"message":"injected failure"}})");
        return true;
    }
    return false;
}

void StandinEngine::handleChat(const std::shared_ptr<Exchange> &exchange)
{
    ++arrivals_;
    if (interfere(exchange))
        return;
    const QJsonObject body = parseObject(exchange->request().body());
    const auto sequence = std::make_shared<Sequence>(context_);
    sequence->id = exchange->field("X-Request-Id");
    if (sequence->id.empty())
        sequence->id = makeShortId();
    sequence->prompt = promptOf(body);
    sequence->promptTokens = static_cast<unsigned>(sequence->prompt.size() / 4 + 1);
    sequence->priority = static_cast<unsigned>(body.value("priority").toInt());
    const int fallback = static_cast<int>(options_.defaultTokens);
    sequence->wanted = static_cast<unsigned>(body.value("max_tokens").toInt(fallback));
    sequence->stream = body.value("stream").toBool();
    if (sequence->stream && breakCount_ > 0) {
        --breakCount_;
        sequence->breakAfter = breakAfter_;
        sequence->breakForgets = breakForgets_;
    }
    sequence->execution = &record_.add(sequence->id, exchange->field("Idempotency-Key"));
    sequences_[sequence->id] = sequence;
    attach(sequence, exchange);
    const auto position = std::upper_bound(
            waiting_.begin(), waiting_.end(), sequence,
            [](const auto &left, const auto &right) { return left->priority < right->priority; });
    waiting_.insert(position, sequence);
    admit();
}

void StandinEngine::handleResume(const std::shared_ptr<Exchange> &exchange,
                                 const std::string &requestId)
{
    const auto found = sequences_.find(requestId);
    if (found == sequences_.end() || found->second->execution->cancelled) {
        exchange->respond(404, R"({"error":{"message":"unknown request"}})");
        return;
    }
    const SequencePtr sequence = found->second;
    const std::string lastId = exchange->field("Last-Event-ID");
    unsigned next = 0;
    if (!lastId.empty())
        next = static_cast<unsigned>(std::strtoul(lastId.c_str(), nullptr, 10)) + 1;
    std::string missed;
    for (unsigned i = next; i < sequence->made; ++i)
        missed += eventOf(*sequence, i);
    exchange->beginEvents();
    if (sequence->execution->finished) {
        exchange->endEvents(missed + doneEvent(sequence->made));
        return;
    }
    if (!missed.empty())
        exchange->writeEvents(missed);
    sequence->eventsBegun = true;
    sequence->goneTimer.cancel();
    attach(sequence, exchange);
}

void StandinEngine::handleCancel(const std::shared_ptr<Exchange> &exchange,
                                 const std::string &requestId)
{
    const auto found = sequences_.find(requestId);
    if (found == sequences_.end()) {
        exchange->respond(404, R"({"error":{"message":"unknown request"}})");
        return;
    }
    // A copy, because cancelling removes the entry that the iterator refers to.
    const SequencePtr sequence = found->second;
    cancel(sequence);
    exchange->respond(200, R"({"cancelled":true})");
}

void StandinEngine::attach(const SequencePtr &sequence, const std::shared_ptr<Exchange> &exchange)
{
    sequence->client = exchange;
    exchange->onClosed([this, weak = std::weak_ptr<Sequence>(sequence), raw = exchange.get()] {
        const SequencePtr closed = weak.lock();
        if (closed && closed->client.get() == raw)
            clientGone(closed);
    });
}

void StandinEngine::clientGone(const SequencePtr &sequence)
{
    sequence->client.reset();
    if (sequence->over)
        return;
    sequence->goneTimer.expires_after(options_.resumeTime);
    sequence->goneTimer.async_wait([this, sequence](boost::system::error_code error) {
        if (!error && !sequence->over && !sequence->client)
            cancel(sequence);
    });
}

// ---- Batch -----------------------------------------------------------------

void StandinEngine::admit()
{
    while (!waiting_.empty() && running_.size() < options_.slots) {
        const SequencePtr sequence = waiting_.front();
        const std::size_t need = sequence->promptTokens + sequence->wanted;
        // A sequence that is larger than the whole memory runs alone.
        if (kvUsed_ + need > options_.kvTokens && !running_.empty())
            return;
        waiting_.erase(waiting_.begin());
        start(sequence);
    }
}

void StandinEngine::start(const SequencePtr &sequence)
{
    sequence->running = true;
    running_.push_back(sequence);
    kvUsed_ += sequence->promptTokens + sequence->wanted;
    const std::string prefix = sequence->prompt.substr(0, sequence->prompt.find('\n'));
    const bool cached = cache_.touch(stableHash(prefix));
    const auto cachedTokens = cached ? static_cast<unsigned>(prefix.size() / 4) : 0U;
    const unsigned rest = sequence->promptTokens - std::min(cachedTokens, sequence->promptTokens);
    const auto prefill = options_.prefillPerToken * rest;
    scheduleToken(sequence,
                  std::chrono::duration_cast<std::chrono::microseconds>(prefill * straggle_));
}

std::chrono::microseconds StandinEngine::tokenGap() const
{
    const double batch = static_cast<double>(std::max<std::size_t>(running_.size(), 1));
    const double seconds = (1 + options_.batchSlowdown * (batch - 1)) * straggle_
                           / options_.tokensPerSecond;
    return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

void StandinEngine::scheduleToken(const SequencePtr &sequence, std::chrono::microseconds delay)
{
    sequence->timer.expires_after(delay);
    sequence->timer.async_wait([this, sequence](boost::system::error_code error) {
        if (!error && !sequence->over)
            makeToken(sequence);
    });
}

void StandinEngine::makeToken(const SequencePtr &sequence)
{
    if (frozen_) {
        scheduleToken(sequence, tokenGap());
        return;
    }
    ++sequence->made;
    sequence->execution->tokens = sequence->made;
    const bool last = sequence->made >= sequence->wanted;
    if (sequence->stream && sequence->client) {
        if (!std::exchange(sequence->eventsBegun, true))
            sequence->client->beginEvents();
        std::string text = eventOf(*sequence, sequence->made - 1);
        if (last) {
            text += doneEvent(sequence->made);
            std::exchange(sequence->client, nullptr)->endEvents(text);
        } else {
            sequence->client->writeEvents(text);
        }
    }
    if (last) {
        finish(sequence);
        return;
    }
    if (sequence->breakAfter != 0 && sequence->made == sequence->breakAfter)
        cutStream(sequence);
    if (!sequence->over)
        scheduleToken(sequence, tokenGap());
}

void StandinEngine::cutStream(const SequencePtr &sequence)
{
    if (const auto client = std::exchange(sequence->client, nullptr))
        client->drop();
    if (sequence->breakForgets)
        cancel(sequence);
    else
        clientGone(sequence);
}

void StandinEngine::finish(const SequencePtr &sequence)
{
    sequence->over = true;
    sequence->execution->finished = true;
    removeRunning(sequence);
    if (!sequence->stream && sequence->client) {
        const std::string text = answerText(sequence->prompt, sequence->id, sequence->made);
        const QJsonObject message{ { "role", "assistant" },
                                   { "content", QString::fromStdString(text) } };
        const QJsonObject choice{ { "index", 0 },
                                  { "message", message },
                                  { "finish_reason", "stop" } };
        const QJsonObject usage{ { "prompt_tokens", static_cast<int>(sequence->promptTokens) },
                                 { "completion_tokens", static_cast<int>(sequence->made) } };
        const QJsonObject answer{ { "id", QString::fromStdString(sequence->id) },
                                  { "object", "chat.completion" },
                                  { "choices", QJsonArray{ choice } },
                                  { "usage", usage } };
        std::exchange(sequence->client, nullptr)->respond(200, jsonText(answer));
    }
    // A finished sequence stays resumable for a while.
    sequence->goneTimer.expires_after(options_.resumeTime);
    sequence->goneTimer.async_wait([this, sequence](boost::system::error_code error) {
        if (!error)
            sequences_.erase(sequence->id);
    });
    admit();
}

void StandinEngine::cancel(const SequencePtr &sequence)
{
    if (sequence->over)
        return;
    sequence->over = true;
    sequence->execution->cancelled = true;
    sequence->timer.cancel();
    sequence->goneTimer.cancel();
    std::erase(waiting_, sequence);
    removeRunning(sequence);
    sequences_.erase(sequence->id);
    if (const auto client = std::exchange(sequence->client, nullptr))
        client->drop();
    admit();
}

void StandinEngine::removeRunning(const SequencePtr &sequence)
{
    if (!std::exchange(sequence->running, false))
        return;
    std::erase(running_, sequence);
    kvUsed_ -= sequence->promptTokens + sequence->wanted;
}

std::string StandinEngine::eventOf(const Sequence &sequence, unsigned index) const
{
    // Built by hand: the id is hexadecimal digits and the token plain ASCII.
    std::string event = "id: " + std::to_string(index) + "\ndata: {\"id\":\"";
    event += sequence.id;
    event += R"(","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":")";
    event += answerToken(sequence.prompt, sequence.id, index);
    event += "\"}}]}\n\n";
    return event;
}

std::string StandinEngine::loadJson()
{
    const auto now = std::chrono::steady_clock::now();
    if (loadText_.empty() || now - loadTime_ >= options_.loadLag) {
        loadTime_ = now;
        loadText_ = jsonText({ { "running", static_cast<int>(running_.size()) },
                               { "waiting", static_cast<int>(waiting_.size()) },
                               { "slots", static_cast<int>(options_.slots) } });
    }
    return loadText_;
}

} // namespace auburn::standin
