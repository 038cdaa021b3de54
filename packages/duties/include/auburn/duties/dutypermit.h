#pragma once

#include <cstdint>

namespace auburn::duties {

// DutyPermit says whether this daemon may perform the duties at this moment. It must be asked
// directly before each call, because a permit can end while a call waits.
class DutyPermit
{
public:
    virtual ~DutyPermit() = default;

    virtual bool isHeld() const = 0;
    // The fencing token for calls; only valid while the permit is held.
    virtual std::uint64_t token() const = 0;
};

} // namespace auburn::duties
