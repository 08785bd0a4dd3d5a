#ifndef BLUEBELLKEEL_JOURNAL_KEYEDPAGE_H
#define BLUEBELLKEEL_JOURNAL_KEYEDPAGE_H

#include "bluebellkeel/Journal/KeyedRecord.h"
#include <vector>

namespace bluebellkeel {

/// Records of a keyed topic, and the position up to which they are complete.
class keyed_page : public comparable<keyed_page> {
public:
  /// Which records a page holds.
  enum class scope {
    /// All records after a position, including those of deleted keys.
    Changes,
    /// The newest record of each key. Keys that the page lacks are deleted.
    AllKeys
  };

  keyed_page() = default;
  keyed_page(std::vector<keyed_record> Records, log_position End,
             scope Scope = scope::Changes)
      : Records(std::move(Records)), End(End), Scope(Scope) {}

  const std::vector<keyed_record> &records() const { return Records; }
  log_position end() const { return End; }
  bool holdsAllKeys() const { return Scope == scope::AllKeys; }
  auto key() const { return std::tie(Records, End, Scope); }

private:
  std::vector<keyed_record> Records;
  log_position End;
  scope Scope = scope::Changes;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDPAGE_H
