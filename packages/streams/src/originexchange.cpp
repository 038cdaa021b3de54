#include "auburn/streams/originexchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace auburn::streams {

using std::chrono::milliseconds;

OriginExchange::OriginExchange(Options options)
    : options_(std::move(options))
{}

void OriginExchange::ask(const OriginQuestion &question)
{
    proto::PeerDatagram datagram;
    proto::StreamQuestion &message = *datagram.mutable_stream_question();
    message.set_number(question.number);
    if (question.stream)
        message.set_stream(*question.stream);
    message.set_service(question.service);
    message.set_incarnation(options_.self().incarnation);
    for (const std::string &address : options_.addresses())
        options_.send(address, datagram);
}

void OriginExchange::handleDatagram(const proto::PeerDatagram &datagram, const std::string &sender)
{
    if (datagram.has_stream_question()) {
        reply(datagram.stream_question(), sender);
        return;
    }
    if (!datagram.has_stream_reply())
        return;
    const proto::StreamReply &message = datagram.stream_reply();
    // A reply to an earlier process at this address may have the number of another question.
    if (message.asker_incarnation() != options_.self().incarnation)
        return;
    OriginReply reply{ .number = message.number(),
                       .process = { .vm = message.vm(), .incarnation = message.incarnation() },
                       .versions = { message.versions().begin(), message.versions().end() },
                       .hasSeenLifetime = message.has_seen_lifetime() };
    if (message.has_software_version())
        reply.origin = { .service = message.service(),
                         .softwareVersion = message.software_version() };
    options_.registry->handleReply(reply);
}

void OriginExchange::reply(const proto::StreamQuestion &question, const std::string &sender) const
{
    const OriginReply known = options_.registry->replyTo(
            { .number = question.number(),
              .stream = question.has_stream() ? std::optional(question.stream()) : std::nullopt,
              .service = question.service() });
    const DaemonProcess self = options_.self();
    proto::PeerDatagram datagram;
    proto::StreamReply &message = *datagram.mutable_stream_reply();
    message.set_number(question.number());
    message.set_asker_incarnation(question.incarnation());
    message.set_vm(self.vm);
    message.set_incarnation(self.incarnation);
    if (known.origin) {
        message.set_software_version(known.origin->softwareVersion);
        message.set_service(known.origin->service);
    }
    for (const std::string &version : known.versions)
        message.add_versions(version);
    message.set_has_seen_lifetime(known.hasSeenLifetime);
    options_.send(sender, datagram);
}

void OriginExchange::fillHeartbeat(proto::PeerBeat &heartbeat, TimePoint now) const
{
    options_.view->recordRunning(now);
    heartbeat.set_stream_records_era(options_.registry->recordsEra());
    heartbeat.set_stream_records_missing(options_.registry->missesRecords());
    if (const auto confirmedAt = options_.view->confirmedAt()) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - *confirmedAt);
        const auto limited = std::clamp(age, milliseconds(0), kStreamLifetime);
        heartbeat.set_servers_age_ms(static_cast<std::uint32_t>(limited.count()) + 1);
    }
}

void OriginExchange::handleHeartbeat(const proto::PeerBeat &heartbeat, bool hasSameServers,
                                     TimePoint now)
{
    options_.view->recordRunning(now);
    // A heartbeat that has waited in the socket says nothing about the present.
    if (options_.view->mayReceiveOldMessages(now))
        return;
    options_.view->recordHeartbeat(now);
    if (hasSameServers && heartbeat.servers_age_ms() > 0)
        options_.view->recordSameServers(milliseconds(heartbeat.servers_age_ms() - 1), now);
    // In a large fleet few heartbeats of each daemon arrive, so silence says nothing.
    if (!options_.hearsAll()) {
        options_.registry->forgetProcesses();
        return;
    }
    options_.registry->observeProcess(
            { .process = { .vm = heartbeat.vm(), .incarnation = heartbeat.incarnation() },
              .isServing = heartbeat.serving(),
              .recordsEra = heartbeat.stream_records_era(),
              .missesRecords = heartbeat.stream_records_missing(),
              .hasSameServers = hasSameServers });
}

std::optional<OriginExchange::TimePoint> OriginExchange::viewConfirmedAt(TimePoint now) const
{
    // A large fleet cannot be asked. While the store is away, a daemon that hears most of it learns
    // of new servers from these; that does not cover a minority that reaches the store alone.
    if (!options_.hearsAll() && options_.isInMajority() && options_.view->isInContact(now))
        return now;
    return options_.view->confirmedAt();
}

} // namespace auburn::streams
