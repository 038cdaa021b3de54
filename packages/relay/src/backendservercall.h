// BackendServerCall: one HTTP request to a backend server and the reading of its answer.
#pragma once

#include "auburn/core/datasinkbody.h"
#include "auburn/core/lazydeadline.h"
#include "backendserverclient.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <string>

namespace auburn {

class BackendServerCall : public std::enable_shared_from_this<BackendServerCall>
{
public:
    // Without events the answer is read and ignored.
    BackendServerCall(BackendServerClient &client, BackendServerDial dial, CallEvents *events);

    void start();
    // Ends the call without further events and closes its connection, which interrupts a backend
    // server that is still working.
    void close();
    // Ends the events, but reads on to the end of the answer so that the connection can be pooled.
    void detach();
    // Stops and resumes reading; the idle timeout does not run while reading is stopped.
    void pause();
    void resume();
    // Verdict so far.
    Verdict verdict() const { return verdict_; }
    const std::string &address() const { return dial_.address; }

private:
    using ErrorCode = boost::system::error_code;
    using Parser = boost::beast::http::response_parser<DataSinkBody>;

    void connect();
    void connected(ErrorCode error);
    void sendRequest();
    void requestSent(ErrorCode error, std::size_t bytes);
    void read();
    void received(ErrorCode error, std::size_t bytes);
    // Parses what is in the buffer; returns false if the call has ended.
    bool parse();
    void deliver();
    void deliverHead();
    // True if the answer repeats the id of the request.
    bool isIdentified() const;
    void answerComplete();
    void timedOut();
    void end(CallEnd how, const std::string &error);

    BackendServerClient &client_;
    BackendServerDial dial_;
    // Null once no events are wanted any more.
    CallEvents *events_;
    std::unique_ptr<boost::asio::ip::tcp::socket> socket_;
    LazyDeadline deadline_;
    std::string head_;
    boost::beast::flat_buffer buffer_;
    Parser parser_;
    Verdict verdict_ = Verdict::DidNotRun;
    bool reused_ = false;
    bool connecting_ = true;
    bool receivedBytes_ = false;
    bool headDelivered_ = false;
    bool identified_ = false;
    bool sent_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool ended_ = false;
};

} // namespace auburn
