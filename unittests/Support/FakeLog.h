#ifndef UNITTESTS_SUPPORT_FAKELOG_H
#define UNITTESTS_SUPPORT_FAKELOG_H

#include "bluebellkeel/Journal/RecordLog.h"
#include <algorithm>
#include <deque>

namespace bluebellkeel {

/// An in-memory record log with faults that tests switch on through its fields.
template <typename entry_t> class fake_log final : public record_log<entry_t> {
public:
  /// Reads and appends fail without any effect.
  bool Down = false;
  /// Appends take effect, but return InDoubt as if the reply were lost.
  bool LoseAnswers = false;
  /// Reads fail; appends succeed.
  bool ReadsFail = false;
  std::size_t Appends = 0;

  tl::expected<log_offset, journal_error>
  append(const std::vector<entry_t> &Entries) override {
    if (Down)
      return tl::unexpected(journal_error::Unavailable);
    log_offset First(head().value() + 1);
    Records.insert(Records.end(), Entries.begin(), Entries.end());
    ++Appends;
    if (LoseAnswers)
      return tl::unexpected(journal_error::InDoubt);
    return First;
  }

  tl::expected<log_page<entry_t>, journal_error>
  read(log_offset From, std::size_t MaxRecords) override {
    if (Down || ReadsFail)
      return tl::unexpected(journal_error::Unavailable);
    std::vector<log_record<entry_t>> Page;
    log_offset Offset = std::max(From, log_offset(FirstRetained));
    log_offset ReadTo(From.value() - 1);
    for (; Offset <= head() && Page.size() < MaxRecords;
         Offset = Offset.next()) {
      Page.emplace_back(Offset, at(Offset));
      ReadTo = Offset;
    }
    return log_page<entry_t>(log_offset(FirstRetained), head(), ReadTo,
                             std::move(Page));
  }

  /// Deletes all records before \p Offset.
  void trim(log_offset Offset) {
    while (!Records.empty() && FirstRetained < Offset.value()) {
      Records.pop_front();
      ++FirstRetained;
    }
  }

  log_offset head() const {
    return log_offset(FirstRetained + Records.size() - 1);
  }
  const entry_t &at(log_offset Offset) const {
    return Records[Offset.value() - FirstRetained];
  }
  const std::deque<entry_t> &retained() const { return Records; }

private:
  std::deque<entry_t> Records;
  std::uint64_t FirstRetained = 1;
};

} // namespace bluebellkeel

#endif // UNITTESTS_SUPPORT_FAKELOG_H
