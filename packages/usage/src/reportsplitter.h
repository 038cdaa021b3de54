// Divides the counts of one daemon into reports that fit into datagrams.
#pragma once

#include "auburn.pb.h"

#include <vector>

namespace auburn::usage {

// Returns copies of the header, each with a part of the windows and at most 1,200 bytes long as a
// datagram; at least one copy. The part numbers are left empty.
std::vector<proto::UsageReport> splitReport(const proto::UsageReport &header,
                                            const std::vector<proto::UsageWindow> &windows);

} // namespace auburn::usage
