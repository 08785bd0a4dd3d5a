#ifndef UTILS_PLATFORM_RUNNERSTANDIN_H
#define UTILS_PLATFORM_RUNNERSTANDIN_H

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
  /// \param RunLog file to which the id of each started request is appended as
  /// a line; it outlives the process. No file if empty.
  /// \param ArrivalLog file to which each arrival is appended as a line with
  /// the Unix time in milliseconds, this stand-in's id and process, the
  /// request's id and what the response says of the upstream. No file if empty.
  /// \param WorkTime duration of a request that is not a stream.
  explicit runner_standin(upstream_id Id, const std::string &RunLog = "",
                          const std::string &ArrivalLog = "",
                          milliseconds WorkTime = milliseconds(0))
      : Id(std::move(Id)), WorkTime(WorkTime) {
    if (!RunLog.empty())
      this->RunLog.open(RunLog, std::ios::app);
    if (!ArrivalLog.empty())
      this->ArrivalLog.open(ArrivalLog, std::ios::app);
  }

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
              http_responder &Responder,
              boost::asio::yield_context Yield) const;
  http_headers headersFor(const http_request &Request,
                          const notice &Sent) const;
  std::string runs() const;
  void recordRun(const std::string &Request);

  const upstream_id Id;
  const milliseconds WorkTime;
  mutable absl::Mutex Mutex;
  std::map<std::string, int> Runs ABSL_GUARDED_BY(Mutex);
  std::ofstream RunLog ABSL_GUARDED_BY(Mutex);
  std::ofstream ArrivalLog ABSL_GUARDED_BY(Mutex);
  notice Notice ABSL_GUARDED_BY(Mutex);
};

} // namespace bluebellkeel

#endif // UTILS_PLATFORM_RUNNERSTANDIN_H
