// HttpCaller: a small blocking HTTP/1.1 client for tests and experiments, with a parser for event
// streams.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace auburn::testing {

struct HttpRequest
{
    std::string method = "GET";
    // host:port
    std::string address;
    std::string target = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{ 60000 };
};

struct HttpAnswer
{
    // 0 if no complete header came back; error then says why.
    int status = 0;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
    // True if the body ended as HTTP says it should.
    bool complete = false;
    std::string error;
    // From the start of the call to the first body byte and to the end.
    std::chrono::microseconds firstByte{ 0 };
    std::chrono::microseconds total{ 0 };

    std::string header(const std::string &name) const;
};

// Called for each piece of the body as it arrives; false closes the connection at once.
using BodyObserver = std::function<bool(const std::string &piece)>;

HttpAnswer httpCall(const HttpRequest &request, const BodyObserver &observer = {});

// Data fields of a text/event-stream body, in order.
std::vector<std::string> eventData(const std::string &body);

// The concatenated delta contents of a chat completion stream, or the message content of a plain
// answer.
std::string completionText(const HttpAnswer &answer);

// True if the stream ended with [DONE].
bool streamDone(const HttpAnswer &answer);

} // namespace auburn::testing
