#ifndef BLUEBELLKEEL_JOURNAL_KEYEDPAGE_H
#define BLUEBELLKEEL_JOURNAL_KEYEDPAGE_H

#include "bluebellkeel/Journal/KeyedRecord.h"
#include <vector>

namespace bluebellkeel {

/// Records of a keyed topic, and the offset up to which they are complete.
class keyed_page : public comparable<keyed_page> {
public:
  keyed_page() = default;
  keyed_page(std::vector<keyed_record> Records, log_offset End)
      : Records(std::move(Records)), End(End) {}

  const std::vector<keyed_record> &records() const { return Records; }
  log_offset end() const { return End; }
  auto key() const { return std::tie(Records, End); }

private:
  std::vector<keyed_record> Records;
  log_offset End;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDPAGE_H
