#ifndef BLUEBELLKEEL_DUTY_USAGEREPORT_H
#define BLUEBELLKEEL_DUTY_USAGEREPORT_H

#include "bluebellkeel/Core/AccountId.h"
#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <map>
#include <tuple>

namespace bluebellkeel {

/// How many requests of each client account upstreams began in one window of
/// time.
class usage_report : public comparable<usage_report> {
public:
  using count_map = std::map<account_id, std::uint64_t>;

  usage_report() = default;
  usage_report(std::uint64_t Window, count_map Counts)
      : Window(Window), Counts(std::move(Counts)) {}

  /// Number of the window, counted from 1970.
  std::uint64_t window() const { return Window; }
  const count_map &counts() const { return Counts; }
  auto key() const { return std::tie(Window, Counts); }

private:
  std::uint64_t Window = 0;
  count_map Counts;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_DUTY_USAGEREPORT_H
