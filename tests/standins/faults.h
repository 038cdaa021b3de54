// Faults: the failures that tests switch on in a platform stand-in through POST /control.
//
// Fields of the JSON object, all optional:
//   outage (bool)             every request is answered with 503 and has no effect
//   delay_ms (number)         added before each request takes effect
//   drop_answers (number)     the next N appends or other changes take effect, and their connection
//                             is closed without an answer
//   refuse (bool)             the port is closed; only the connection that sent this can undo it
//   refuse_ms (number)        the port is closed for this time
//   silence_connections (bool) the connections that are open now are never answered again
#pragma once

#include "httpserver.h"

#include <boost/asio/steady_timer.hpp>

#include <QJsonObject>

#include <chrono>
#include <functional>

namespace auburn::standins {

class Faults
{
public:
    explicit Faults(boost::asio::io_context &context);

    // Applies the fields of a control request.
    void apply(const QJsonObject &control, HttpServer &server, const ResponderPtr &responder);

    // Runs the task after the added delay; during an outage it answers 503 instead.
    void pass(const ResponderPtr &responder, std::function<void()> task);

    // Sends the answer of a request that has taken effect, unless it is to be dropped.
    void answerEffect(const ResponderPtr &responder, std::string json);

private:
    boost::asio::io_context &context_;
    boost::asio::steady_timer refuseTimer_;
    bool outage_ = false;
    std::chrono::milliseconds delay_{ 0 };
    int dropAnswers_ = 0;
};

// The JSON object of a body; empty if the body is something else.
QJsonObject jsonObjectOf(const std::string &body);

std::string toJson(const QJsonObject &object);

} // namespace auburn::standins
