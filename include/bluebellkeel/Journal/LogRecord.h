#ifndef BLUEBELLKEEL_JOURNAL_LOGRECORD_H
#define BLUEBELLKEEL_JOURNAL_LOGRECORD_H

#include "bluebellkeel/Core/LogOffset.h"
#include <tuple>
#include <utility>

namespace bluebellkeel {

/// One entry of a stream and its offset.
template <typename entry_t>
class log_record : public comparable<log_record<entry_t>> {
public:
  log_record(log_offset Offset, entry_t Entry)
      : Offset(Offset), Entry(std::move(Entry)) {}

  log_offset offset() const { return Offset; }
  const entry_t &entry() const { return Entry; }
  auto key() const { return std::tie(Offset, Entry); }

private:
  log_offset Offset;
  entry_t Entry;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_LOGRECORD_H
