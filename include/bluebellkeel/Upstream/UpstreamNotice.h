#ifndef BLUEBELLKEEL_UPSTREAM_UPSTREAMNOTICE_H
#define BLUEBELLKEEL_UPSTREAM_UPSTREAMNOTICE_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <optional>
#include <string>
#include <tuple>

namespace bluebellkeel {

/// What an upstream says of itself in a response.
class upstream_notice : public comparable<upstream_notice> {
public:
  /// Constructor arguments of upstream_notice.
  struct fields {
    std::optional<double> RateLimit;
    bool Leaving = false;
    milliseconds Pause{0};
    std::string Unreadable;
  };

  upstream_notice() = default;
  explicit upstream_notice(fields Fields) : Content(std::move(Fields)) {}

  /// Requests per second that the upstream accepts from all instances together;
  /// positive and finite. Empty if it names no limit.
  const std::optional<double> &rateLimit() const { return Content.RateLimit; }
  /// True if the upstream is about to leave.
  bool leaving() const { return Content.Leaving; }
  /// Time for which the upstream wants no further requests from this instance;
  /// 0 if it does not say.
  milliseconds pause() const { return Content.Pause; }
  /// The fields that cannot be read, for the log; empty if there are none.
  const std::string &unreadable() const { return Content.Unreadable; }
  auto key() const {
    return std::tie(Content.RateLimit, Content.Leaving, Content.Pause,
                    Content.Unreadable);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_UPSTREAMNOTICE_H
