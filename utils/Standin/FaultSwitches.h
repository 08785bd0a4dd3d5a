#ifndef UTILS_STANDIN_FAULTSWITCHES_H
#define UTILS_STANDIN_FAULTSWITCHES_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Http/HttpRequest.h"
#include "bluebellkeel/Http/HttpResponder.h"
#include <map>
#include <string>

namespace bluebellkeel {

/// Fault switches of a stand-in, set over HTTP by POST /switch with a JSON
/// object of numbers. A switch that was never set is 0. Thread-safe.
class fault_switches {
public:
  double get(const std::string &Name) const;
  bool on(const std::string &Name) const { return get(Name) != 0; }
  void set(const std::string &Name, double Value);

  /// Handles a request to /switch, which responds with all switches; returns
  /// false for any other path.
  bool handle(const http_request &Request, http_responder &Responder);

private:
  mutable absl::Mutex Mutex;
  std::map<std::string, double> Values ABSL_GUARDED_BY(Mutex);
};

/// Sends \p Text with a newline as a JSON response.
void sendJsonResponse(http_responder &Responder, int Status,
                      const std::string &Text);

} // namespace bluebellkeel

#endif // UTILS_STANDIN_FAULTSWITCHES_H
