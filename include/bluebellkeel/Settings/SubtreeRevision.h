#ifndef BLUEBELLKEEL_SETTINGS_SUBTREEREVISION_H
#define BLUEBELLKEEL_SETTINGS_SUBTREEREVISION_H

#include "bluebellkeel/Core/LogOffset.h"
#include <string>
#include <tuple>
#include <utility>

namespace bluebellkeel {

/// The last accepted change of one subtree.
class subtree_revision : public comparable<subtree_revision> {
public:
  subtree_revision() = default;
  subtree_revision(log_offset Offset, std::string ChangeId)
      : Offset(Offset), ChangeId(std::move(ChangeId)) {}

  log_offset offset() const { return Offset; }
  const std::string &changeId() const { return ChangeId; }
  auto key() const { return std::tie(Offset, ChangeId); }

private:
  log_offset Offset;
  std::string ChangeId;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SUBTREEREVISION_H
