// HttpLogClient: the log's HTTP protocol, section 4 of the design page.
#pragma once

#include "auburn/config/logclient.h"
#include "platformhttp.h"

namespace auburn {

class HttpLogClient : public LogClient
{
public:
    HttpLogClient(QUrl baseUrl, const LogClientOptions &options);

    void append(const std::string &stream, std::string bytes, AppendCallback callback) override;
    void read(const std::string &stream, std::uint64_t from, std::size_t max,
              std::chrono::milliseconds wait, ReadCallback callback) override;

private:
    LogClientOptions options_;
    PlatformHttp http_;
};

} // namespace auburn
