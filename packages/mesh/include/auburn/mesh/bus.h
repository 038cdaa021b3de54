#pragma once

#include "auburn.pb.h"

#include <functional>
#include <string>

namespace auburn {

// MessageBus sends and receives envelopes between daemons, which are addressed by daemon id.
//
// The interface is abstract so that schedulers, claims and configuration can be tested without
// sockets. ZmqBus implements it over an encrypted transport.
class MessageBus
{
public:
    using Handler = std::function<void(const std::string &sender, const proto::Envelope &envelope)>;

    virtual ~MessageBus() = default;

    // Queues an envelope for the daemon with the given id. Callable from any thread. Returns false
    // and sets lastError() if the daemon's endpoint is unknown or the envelope exceeds the size
    // limit. True does not mean that the envelope was queued: it is dropped if the queue is full.
    // Delivery is at most once: an envelope may be lost, but is never duplicated or reordered
    // within one connection.
    virtual bool send(const std::string &daemonId, proto::Envelope envelope) = 0;

    // Registers the handler for one kind of message. Must be called before the bus starts. The
    // handler runs on the bus thread and must not block.
    virtual void setHandler(proto::Envelope::BodyCase kind, Handler handler) = 0;
};

} // namespace auburn
