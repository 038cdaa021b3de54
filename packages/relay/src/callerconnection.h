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
#include "auburn/core/headersize.h"
#include "auburn/core/lazydeadline.h"
#include "auburn/core/loadshedding.h"
#include "auburn/core/memorybudget.h"
#include "relaysession.h"
#include "requestreader.h"
#include "workercontext.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <cstdint>
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

    // Closes the connection if it waits for a request and has received none, or if its last answer
    // is written. Returns false if not.
    bool closeIfIdle();
    // Starts a round of the timer that looks for connections to close, and returns what this one
    // held and moved in the last round.
    ConnectionLoad nextRound();
    // Frees what the connection holds because memory or connections are short. A request that is
    // incomplete is refused, since it certainly did not run; an answer that is not read is broken
    // off.
    void shed();

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
    // Consumes buffered input as part of the header, the body or the trailers.
    ErrorCode parseBuffered();
    // Accounts for the memory of the body. False if all connections together hold too much.
    bool holdBody(std::size_t bytes);
    // Accounts for the growth of the body by the buffered input before the parser appends it.
    bool reserveBody();
    // Accounts for everything else that the connection holds. False if all connections together
    // hold too much.
    bool holdRequest();
    // Bytes of memory of the connection, its buffers and its header.
    std::size_t heldBytes() const;
    // Refuses a request for lack of memory. It must not have been given to a session.
    void rejectForMemory(const char *message);
    // Frees the memory of a request that was refused before it was complete.
    void releaseRequest();
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
    // Accounts for the memory of the output, and returns that of a large answer.
    void updateHeldOutput();
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
    // The header and the trailers.
    HeaderSize headerSize_;
    std::size_t lingerBytes_ = 0;
    std::uint64_t answerBytes_ = 0;
    std::string output_;
    std::size_t outputSent_ = 0;
    bool writing_ = false;
    std::vector<boost::asio::const_buffer> parts_;

    // The memory of everything but bodies that belong to a session.
    HeldMemory held_;
    // The memory of the body that is being read. It passes to the session with the body.
    std::optional<HeldMemory> heldBody_;
    IdleConnections::Entry idleEntry_;
    // Identifies the caller's address.
    std::uint64_t source_ = 0;
    ConnectionProgress progress_;
};

} // namespace auburn
