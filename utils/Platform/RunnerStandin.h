#ifndef UTILS_PLATFORM_RUNNERSTANDIN_H
#define UTILS_PLATFORM_RUNNERSTANDIN_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include <map>
#include <string>

namespace bluebellkeel {

/// An upstream of the platform: streams events below /stream/, answers at once
/// elsewhere, and counts how often it ran each request.
class runner_standin final : public http_handler {
public:
  explicit runner_standin(upstream_id Id) : Id(std::move(Id)) {}

  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  void stream(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) const;
  http_headers headersFor(const http_request &Request) const;
  std::string runs() const;

  const upstream_id Id;
  mutable absl::Mutex Mutex;
  std::map<std::string, int> Runs ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // UTILS_PLATFORM_RUNNERSTANDIN_H
