#ifndef BLUEBELLKEEL_RELAY_RESPONSEHEAD_H
#define BLUEBELLKEEL_RELAY_RESPONSEHEAD_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Relay/HeaderList.h"
#include "bluebellkeel/Upstream/QueueReport.h"
#include "bluebellkeel/Upstream/UpstreamNotice.h"
#include <cstddef>
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// Status and header fields of an upstream's response.
class response_head : public comparable<response_head> {
public:
  /// Constructor arguments of response_head.
  struct fields {
    int Status = 0;
    header_list Headers;
    bool Verified = false;
    bool NotRun = false;
    bool FromOtherUpstream = false;
    bool DelimitedByClose = false;
    std::optional<std::size_t> BodyBytes;
    std::optional<double> Confidence;
    std::optional<queue_report> Queue;
    upstream_notice Notice;
  };

  response_head() = default;
  explicit response_head(fields Fields) : Content(std::move(Fields)) {}

  int status() const { return Content.Status; }
  bool succeeded() const {
    constexpr int FirstSuccess = 200;
    constexpr int FirstRedirect = 300;
    return Content.Status >= FirstSuccess && Content.Status < FirstRedirect;
  }
  /// Header fields forwarded to the caller.
  const header_list &headers() const { return Content.Headers; }
  /// True if the response carries the upstream's integrity mark and its body is
  /// unaltered.
  bool verified() const { return Content.Verified; }
  /// True if the upstream reports that it did not run the request.
  bool notRun() const { return Content.NotRun; }
  /// True if another upstream than the addressed one responded.
  bool fromOtherUpstream() const { return Content.FromOtherUpstream; }
  /// True if the body has no framing of its own and ends with the connection,
  /// so that a body cut short between two writes looks whole.
  bool delimitedByClose() const { return Content.DelimitedByClose; }
  /// The length of the body that the upstream announced; empty if it announced
  /// none.
  const std::optional<std::size_t> &bodyBytes() const {
    return Content.BodyBytes;
  }
  /// The model's confidence in its response, from 0 to 100. Empty if not
  /// reported.
  const std::optional<double> &confidence() const { return Content.Confidence; }
  /// Load that the upstream reported; empty if not reported.
  const std::optional<queue_report> &queue() const { return Content.Queue; }
  /// What the upstream says of itself.
  const upstream_notice &notice() const { return Content.Notice; }
  auto key() const {
    return std::tie(Content.Status, Content.Headers, Content.Verified,
                    Content.NotRun, Content.FromOtherUpstream,
                    Content.DelimitedByClose, Content.BodyBytes,
                    Content.Confidence, Content.Queue, Content.Notice);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_RESPONSEHEAD_H
