// FaultProxy: a TCP proxy with many routes and a control interface over HTTP.
//
//   GET /routes                    state of all routes
//   POST /control {"match": SELECTOR, ...}
//     SELECTOR is a route's name, a group or "*". Members, all optional; faults that are not named
//     keep their value:
//       "reset_faults": true       first removes all faults
//       "delay_ms": N              "bandwidth": BYTES_PER_SECOND (0: no limit)
//       "cut": "none" | "both" | "to_target" | "to_client"
//       "refuse": BOOL             closes new connections at once
//       "drop_answers": N          discards the next N answers; "drop_then": "close" | "silent"
//       "close": true              closes existing connections; "reset": true: with a TCP reset
//       "silence": true            existing connections become silent for good
//     The answer is that of GET /routes for the matched routes; 404 if none matches, 400 for a
//     mistake, in which case nothing is changed.
//   POST /routes {"route": "[NAME[/GROUP]...@]LISTEN=TARGET"}   adds a route
//
// One thread; only loopback addresses.
#pragma once

#include "route.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace auburn::standins {

struct ControlReply
{
    unsigned status = 200;
    // JSON
    std::string body;
};

class FaultProxy
{
public:
    explicit FaultProxy(boost::asio::io_context &context)
        : context_(context)
    {}

    // Null with lastError() set if the text is wrong, the name is taken or the address cannot be
    // bound.
    std::shared_ptr<Route> addRoute(const std::string &text);

    // One request of the control interface.
    ControlReply handle(const std::string &method, const std::string &path,
                        const std::string &body);

private:
    ControlReply control(const std::string &body);
    ControlReply add(const std::string &body);

    boost::asio::io_context &context_;
    std::vector<std::shared_ptr<Route>> routes_;
};

} // namespace auburn::standins
