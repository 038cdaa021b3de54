// Conversions between the load of a cell and its form in gossip messages.
#pragma once

#include "auburn.pb.h"
#include "auburn/mesh/memberview.h"

#include <string>
#include <vector>

namespace auburn {

proto::CellDigest toCellDigest(const CellLoad &load);
CellLoad toCellLoad(const proto::CellDigest &digest, const std::string &owner);
bool sameCells(const std::vector<proto::CellDigest> &left,
               const std::vector<proto::CellDigest> &right);

} // namespace auburn
