// Message bus between daemons: typed envelopes over an encrypted transport, addressed by daemon id.
//
// The interface is abstract so that schedulers, claims and configuration can be tested without
// sockets.
#pragma once

#include "auburn.pb.h"

#include <functional>
#include <string>

namespace auburn {

class MessageBus
{
public:
    using Handler = std::function<void(const std::string &sender, const proto::Envelope &envelope)>;

    virtual ~MessageBus() = default;

    // Queues an envelope for the daemon with the given id; callable from any thread. False, with
    // lastError() set, if the daemon's endpoint is unknown. Delivery is not guaranteed: an envelope
    // may be lost, never duplicated or reordered within one connection.
    virtual bool send(const std::string &daemonId, proto::Envelope envelope) = 0;

    // Sets the handler of one kind of message, before the bus starts. It runs on the bus thread and
    // must not block.
    virtual void setHandler(proto::Envelope::BodyCase kind, Handler handler) = 0;
};

} // namespace auburn
