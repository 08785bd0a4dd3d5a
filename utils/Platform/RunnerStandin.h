#ifndef UTILS_PLATFORM_RUNNERSTANDIN_H
#define UTILS_PLATFORM_RUNNERSTANDIN_H

#include "RunnerOptions.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Core/UpstreamId.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include <fstream>
#include <map>
#include <string>

namespace bluebellkeel {

/// Stand-in for an upstream of the platform. It streams events below /stream/,
/// sends a plain response elsewhere, and counts the runs of each request. POST
/// /notice with the query fields limit, leaving and pause_ms sets what it says
/// of itself from then on; with a pause it turns every request away.
class runner_standin final : public http_handler {
public:
  explicit runner_standin(upstream_id Id, const runner_options &Options);

  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  /// What the stand-in says of itself; empty fields are left out.
  struct notice {
    std::string Limit;
    std::string Leaving;
    std::string PauseMs;
  };

  notice currentNotice() const {
    absl::MutexLock Lock(&Mutex);
    return Notice;
  }
  void setNotice(const http_request &Request);
  void recordArrival(const std::string &Request, const notice &Sent);
  void turnAway(const http_request &Request, const notice &Sent,
                http_responder &Responder) const;
  void stream(const http_request &Request, const notice &Sent,
              http_responder &Responder, boost::asio::yield_context Yield);
  http_headers headersFor(const http_request &Request,
                          const notice &Sent) const;
  std::string runs() const;
  void recordRun(const std::string &Request);
  void recordEnd(const std::string &Request);
  milliseconds drawWorkTime();

  const upstream_id Id;
  const work_time WorkTime;
  const int Events;
  mutable absl::Mutex Mutex;
  std::map<std::string, int> Runs ABSL_GUARDED_BY(Mutex);
  std::ofstream RunLog ABSL_GUARDED_BY(Mutex);
  std::ofstream ArrivalLog ABSL_GUARDED_BY(Mutex);
  std::ofstream EndLog ABSL_GUARDED_BY(Mutex);
  std::mt19937_64 Random ABSL_GUARDED_BY(Mutex);
  notice Notice ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // UTILS_PLATFORM_RUNNERSTANDIN_H
