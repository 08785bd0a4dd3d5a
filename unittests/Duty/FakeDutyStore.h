#ifndef UNITTESTS_DUTY_FAKEDUTYSTORE_H
#define UNITTESTS_DUTY_FAKEDUTYSTORE_H

#include "bluebellkeel/Duty.h"
#include <functional>
#include <optional>

namespace bluebellkeel {

/// The log of the duties in memory, shared by several instances through
/// fake_duty_store.
struct fake_duty_log {
  duty_record Record;
  std::uint64_t Era = 1;
  std::uint64_t Offset = 0;
  std::size_t Writes = 0;
  /// An append that has had no answer and takes effect later.
  std::function<void()> Late;

  log_position end() const { return {Era, log_offset(Offset)}; }

  bool write(const duty_record &New, const log_position &At) {
    if (At != end())
      return false;
    Record = New;
    ++Offset;
    ++Writes;
    return true;
  }

  /// Goes back to \p Copy, as a log that was restored.
  void restore(const duty_record &Copy) {
    Record = Copy;
    Offset = Offset > 0 ? Offset - 1 : 0;
    ++Era;
  }
};

/// One instance's access to the log, with faults that tests switch on.
class fake_duty_store final : public duty_store {
public:
  /// What happens to the next calls.
  enum class fault { None, Down, LoseAnswer, DelayAppend };

  explicit fake_duty_store(fake_duty_log &Log) : Log(Log) {}

  fault Fault = fault::None;

  tl::expected<duty_page, journal_error> read() override {
    if (Fault == fault::Down)
      return tl::unexpected(journal_error::Unavailable);
    return duty_page(Log.Record, Log.end());
  }

  tl::expected<log_position, journal_error>
  write(const duty_record &Record, const log_position &At) override {
    if (Fault == fault::Down)
      return tl::unexpected(journal_error::Unavailable);
    if (Fault == fault::DelayAppend) {
      Log.Late = [this, Record, At] { Log.write(Record, At); };
      return tl::unexpected(journal_error::InDoubt);
    }
    bool Done = Log.write(Record, At);
    if (Fault == fault::LoseAnswer)
      return tl::unexpected(journal_error::InDoubt);
    if (!Done)
      return tl::unexpected(journal_error::Conflict);
    return Log.end();
  }

private:
  fake_duty_log &Log;
};

} // namespace bluebellkeel

#endif // UNITTESTS_DUTY_FAKEDUTYSTORE_H
