#ifndef BLUEBELLKEEL_JOURNAL_POLLRESULT_H
#define BLUEBELLKEEL_JOURNAL_POLLRESULT_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/LogPosition.h"
#include <tuple>

namespace bluebellkeel {

/// What one read of a topic returned.
class poll_result : public comparable<poll_result> {
public:
  poll_result(bool AllKeys, std::size_t Records, log_position End)
      : AllKeys(AllKeys), Records(Records), End(End) {}

  /// True if all keys were read instead of the new records.
  bool allKeys() const { return AllKeys; }
  std::size_t records() const { return Records; }
  /// Position up to which the records are complete.
  log_position end() const { return End; }
  auto key() const { return std::tie(AllKeys, Records, End); }

private:
  bool AllKeys;
  std::size_t Records;
  log_position End;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_POLLRESULT_H
