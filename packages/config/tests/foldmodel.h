// A naive fold: decides everything by walking over all earlier records, with the rules written down
// a second time. It serves as the model of the differential test.
#pragma once

#include "auburn.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace auburn::tests {

class FoldModel
{
public:
    // Folds the change at the offset; true if it is accepted.
    bool fold(std::uint64_t offset, const proto::ConfigChange &change);

    // By kind (the oneof case) and name.
    std::map<std::pair<int, std::string>, proto::ConfigItem> items;

private:
    bool isRepeated(const std::string &id) const;
    bool isValid(const proto::ConfigItem &item) const;
    bool isUsed(const proto::ConfigItem &item) const;
    bool exists(int kind, const std::string &name) const { return items.contains({ kind, name }); }

    std::vector<std::string> ids_;
};

} // namespace auburn::tests
