#ifndef BLUEBELLKEEL_RELAY_RESPONSEHEAD_H
#define BLUEBELLKEEL_RELAY_RESPONSEHEAD_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Relay/HeaderList.h"
#include "bluebellkeel/Upstream/QueueReport.h"
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// What an upstream's answer says before its body.
class response_head : public comparable<response_head> {
public:
  /// What a head is made from.
  struct fields {
    int Status = 0;
    header_list Headers;
    bool Verified = false;
    bool NotRun = false;
    bool FromOtherUpstream = false;
    std::optional<double> Confidence;
    std::optional<queue_report> Queue;
  };

  response_head() = default;
  explicit response_head(fields Fields) : Held(std::move(Fields)) {}

  int status() const { return Held.Status; }
  bool succeeded() const {
    constexpr int FirstSuccess = 200;
    constexpr int FirstRedirect = 300;
    return Held.Status >= FirstSuccess && Held.Status < FirstRedirect;
  }
  /// What the caller gets.
  const header_list &headers() const { return Held.Headers; }
  /// True when it bears the upstream's mark and its body is as it was made.
  bool verified() const { return Held.Verified; }
  /// True when the upstream says that it did not run the request.
  bool notRun() const { return Held.NotRun; }
  /// True when another upstream than the one meant has answered.
  bool fromOtherUpstream() const { return Held.FromOtherUpstream; }
  /// The model's own opinion of its answer, 0 to 100.
  const std::optional<double> &confidence() const { return Held.Confidence; }
  /// What the upstream said of its load.
  const std::optional<queue_report> &queue() const { return Held.Queue; }
  auto key() const {
    return std::tie(Held.Status, Held.Headers, Held.Verified, Held.NotRun,
                    Held.FromOtherUpstream, Held.Confidence, Held.Queue);
  }

private:
  fields Held;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_RESPONSEHEAD_H
