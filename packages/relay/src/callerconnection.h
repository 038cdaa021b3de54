// CallerConnection: one caller's connection; reads requests, enforces the limits and writes
// answers.
//
// Requests on one connection are answered one after the other; pipelined ones wait in the input
// buffer. While an answer is under way the connection keeps reading, because the end of the input
// is how a caller that hangs up is noticed. A caller that closes only its sending side counts as
// gone, as with other proxies.
#pragma once

#include "answerwriter.h"
#include "auburn/core/gradualbody.h"
#include "auburn/core/lazydeadline.h"
#include "relaysession.h"
#include "requestreader.h"
#include "workercontext.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburn {

class CallerConnection
    : public std::enable_shared_from_this<CallerConnection>
    , private AnswerWriter
{
public:
    CallerConnection(WorkerContext &worker, boost::asio::ip::tcp::socket socket);
    ~CallerConnection() override;

    void start();
    // Closes the connection once it is idle.
    void drain();
    // Ends the connection at once.
    void abort();

private:
    using ErrorCode = boost::system::error_code;
    using Parser = boost::beast::http::request_parser<GradualBody>;

    enum class Phase {
        // Between requests.
        Idle,
        Header,
        Body,
        // A session or the connection itself is answering.
        Answering,
        // The answer is written; what the caller still sends is discarded.
        Lingering,
        Closed,
    };

    void beginRequest();
    void read();
    void readable(ErrorCode error);
    void received(ErrorCode error, std::size_t bytes);
    void parseInput();
    void headerComplete();
    void requestComplete();
    void startSession();
    void parseFailed(const ErrorCode &error);
    void readDeadlinePassed();
    // Refuses before a session exists.
    void reject(const Refusal &refusal);

    void refuse(const Refusal &refusal) override;
    void sendWhole(AnswerHead head, std::string body) override;
    bool beginStream(const AnswerHead &head, const std::vector<std::string_view> &data) override;
    bool sendData(const std::vector<std::string_view> &data) override;
    void endStream(bool complete) override;
    std::uint64_t bytesSent() const override { return answerBytes_; }

    std::string headText(const AnswerHead &head) const;
    bool sendChunk(std::string_view before, const std::vector<std::string_view> &data);
    // Writes what the socket takes at once and keeps the rest.
    void write(const std::vector<boost::asio::const_buffer> &parts);
    void writeRest();
    void restWritten(ErrorCode error, std::size_t bytes);
    // The answer is complete, apart from bytes that wait for the caller.
    void answerComplete();
    void answerWritten();
    void writeFailed();
    void linger();
    void close();

    WorkerContext &worker_;
    boost::asio::ip::tcp::socket socket_;
    Phase phase_ = Phase::Idle;
    boost::beast::flat_buffer input_;
    std::optional<Parser> parser_;
    LazyDeadline readDeadline_;
    LazyDeadline writeDeadline_;
    std::optional<CallerIdentity> identity_;
    std::shared_ptr<RelaySession> session_;

    std::string requestId_;
    unsigned httpVersion_ = 11;
    bool headRequest_ = false;
    bool keepAlive_ = true;
    bool chunked_ = false;
    bool reading_ = false;
    bool inputEnded_ = false;
    // A write failed and closing is on its way.
    bool broken_ = false;
    bool answerDone_ = false;
    bool callerBehind_ = false;
    std::size_t headerBytes_ = 0;
    std::size_t lingerBytes_ = 0;
    std::uint64_t answerBytes_ = 0;
    std::string output_;
    std::size_t outputSent_ = 0;
    bool writing_ = false;
    std::vector<boost::asio::const_buffer> parts_;
};

} // namespace auburn
