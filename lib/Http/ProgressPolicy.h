#ifndef BLUEBELLKEEL_LIB_HTTP_PROGRESSPOLICY_H
#define BLUEBELLKEEL_LIB_HTTP_PROGRESSPOLICY_H

#include "ConnectionActivity.h"
#include <boost/beast/core/rate_policy.hpp>
#include <cstddef>
#include <limits>

namespace bluebellkeel {

/// A rate policy of Beast that limits nothing. It reports each transfer, also
/// those within an operation that consists of several.
class progress_policy {
public:
  /// \p Activity must outlive the stream.
  explicit progress_policy(connection_activity &Activity)
      : Activity(&Activity) {}

private:
  friend class boost::beast::rate_policy_access;

  // Beast prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static std::size_t available_read_bytes() { return Unlimited; }
  static std::size_t available_write_bytes() { return Unlimited; }
  void transfer_read_bytes(std::size_t Bytes) const { note(Bytes); }
  void transfer_write_bytes(std::size_t Bytes) const { note(Bytes); }
  static void on_timer() {}
  // NOLINTEND(readability-identifier-naming)

  void note(std::size_t Bytes) const {
    if (Bytes > 0)
      Activity->noteProgress();
  }

  static constexpr std::size_t Unlimited =
      std::numeric_limits<std::size_t>::max();

  connection_activity *Activity;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_HTTP_PROGRESSPOLICY_H
