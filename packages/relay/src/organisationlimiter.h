// OrganisationLimiter: counts each organisation's requests at this daemon against its limit.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace auburn {

class OrganisationLimiter
{
public:
    // Holds one failure domain of an organisation until destruction.
    class Ticket
    {
    public:
        Ticket(OrganisationLimiter &limiter, std::string organisation);
        Ticket(Ticket &&other) noexcept;
        Ticket &operator=(Ticket &&) = delete;
        Ticket(const Ticket &) = delete;
        ~Ticket();

    private:
        OrganisationLimiter *limiter_;
        std::string organisation_;
    };

    // Empty if the organisation has maxConcurrent requests already; 0 means no limit.
    std::optional<Ticket> enter(const std::string &organisation, unsigned maxConcurrent);

private:
    void leave(const std::string &organisation);

    std::mutex mutex_;
    std::unordered_map<std::string, unsigned> counts_;
};

} // namespace auburn
