// standin_list: the platform's membership list for tests (section 4 of the design page).
//
// PUT /control/members/NAME takes one member as JSON, without the name; DELETE removes it. GET
// /v1/members shows each such change after the lag. POST /control takes the fields of faults.h, and
// lag_ms. GET /control/stats returns {"reads":N,"members":N}.
#include "faults.h"
#include "httpserver.h"

#include <QJsonArray>

#include <boost/asio/steady_timer.hpp>

#include <tclap/CmdLine.h>

#include <chrono>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <utility>

namespace auburn::standins {

namespace http = boost::beast::http;

namespace {

constexpr char kMemberPath[] = "/control/members/";

class ListStandIn
{
public:
    ListStandIn(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &endpoint,
                std::chrono::milliseconds lag)
        : context_(context)
        , lag_(lag)
        , faults_(context)
        , server_(context, endpoint,
                  [this](const HttpRequest &request, const ResponderPtr &responder) {
                      handle(request, responder);
                  })
    {}

    const HttpServer &server() const { return server_; }

private:
    void handle(const HttpRequest &request, const ResponderPtr &responder)
    {
        if (request.path.starts_with(kMemberPath)) {
            changeMember(request.path.substr(sizeof(kMemberPath) - 1), request, responder);
        } else if (request.path == "/control" && request.method == http::verb::post) {
            const QJsonObject fields = jsonObjectOf(request.body);
            lag_ = std::chrono::milliseconds(
                    fields[QLatin1String("lag_ms")].toInteger(lag_.count()));
            faults_.apply(fields, server_, responder);
            responder->send(http::status::ok, "{}");
        } else if (request.path == "/control/stats") {
            responder->send(http::status::ok, stats());
        } else if (request.path == "/v1/members" && request.method == http::verb::get) {
            ++reads_;
            faults_.pass(responder,
                         [this, responder]() { faults_.answerEffect(responder, members()); });
        } else {
            responder->send(http::status::not_found, R"({"error":"not found"})");
        }
    }

    void changeMember(const std::string &name, const HttpRequest &request,
                      const ResponderPtr &responder)
    {
        QJsonObject member = jsonObjectOf(request.body);
        const bool removal = request.method == http::verb::delete_;
        if (!removal && (request.method != http::verb::put || member.isEmpty())) {
            responder->send(http::status::bad_request, R"({"error":"not a member"})");
            return;
        }
        member[QLatin1String("name")] = QString::fromStdString(name);
        showLater([this, name, removal, member]() {
            if (removal)
                members_.erase(name);
            else
                members_[name] = member;
        });
        responder->send(http::status::ok, "{}");
    }

    void showLater(std::function<void()> change)
    {
        if (lag_.count() == 0) {
            change();
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(context_, lag_);
        timer->async_wait(
                [timer, change = std::move(change)](boost::system::error_code) { change(); });
    }

    std::string members() const
    {
        QJsonArray list;
        for (const auto &entry : members_)
            list.append(entry.second);
        return toJson({ { QStringLiteral("members"), list } });
    }

    std::string stats() const
    {
        return toJson({ { QStringLiteral("reads"), reads_ },
                        { QStringLiteral("members"), qint64(members_.size()) } });
    }

    boost::asio::io_context &context_;
    std::chrono::milliseconds lag_;
    Faults faults_;
    HttpServer server_;
    std::map<std::string, QJsonObject> members_;
    qint64 reads_ = 0;
};

int run(int argc, char **argv)
{
    TCLAP::CmdLine line("Stand-in of the platform's membership list");
    TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on", false, "127.0.0.1:0",
                                        "IP:PORT", line);
    TCLAP::ValueArg<long long> lag("", "lag-ms", "time until a change shows in the list", false, 0,
                                   "milliseconds", line);
    TCLAP::SwitchArg withParent("", "exit-with-parent", "end when the parent process ends", line);
    line.parse(argc, argv);
    if (withParent.getValue())
        exitWithParent();
    const auto endpoint = parseEndpoint(listen.getValue());
    boost::asio::io_context context;
    const ListStandIn list(context, endpoint, std::chrono::milliseconds(lag.getValue()));
    serve(context, list.server(), endpoint.address().to_string());
    return 0;
}

} // namespace

} // namespace auburn::standins

int main(int argc, char **argv)
{
    try {
        return auburn::standins::run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "standin_list: " << error.what() << '\n';
        return 1;
    }
}
