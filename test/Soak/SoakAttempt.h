#ifndef TEST_SOAK_SOAKATTEMPT_H
#define TEST_SOAK_SOAKATTEMPT_H

#include "RequestKind.h"
#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// One request of a caller and its outcome.
class soak_attempt : public comparable<soak_attempt> {
public:
  /// Constructor arguments of an attempt.
  struct fields {
    std::string Id;
    request_kind Kind = request_kind::NonIdempotent;
    int Gateway = 0;
    /// Number of starts of the gateway's process so far.
    int Incarnation = 0;
    /// Configuration version that a probe tests.
    int Version = 0;
    /// Time since the start of the run, as in Ended.
    milliseconds Sent{0};
    milliseconds Ended{0};
    /// HTTP status; 0 if no response header arrived.
    int Status = 0;
    /// Request id in the response header.
    std::string ResponseRequestId;
    std::string Body;
    /// True if the response ended normally.
    bool Complete = false;
    bool TimedOut = false;
  };

  explicit soak_attempt(fields Fields) : Content(std::move(Fields)) {}

  const std::string &id() const { return Content.Id; }
  request_kind kind() const { return Content.Kind; }
  int gateway() const { return Content.Gateway; }
  int incarnation() const { return Content.Incarnation; }
  int version() const { return Content.Version; }
  milliseconds sent() const { return Content.Sent; }
  milliseconds ended() const { return Content.Ended; }
  int status() const { return Content.Status; }
  const std::string &responseRequestId() const {
    return Content.ResponseRequestId;
  }
  const std::string &body() const { return Content.Body; }
  bool complete() const { return Content.Complete; }
  bool timedOut() const { return Content.TimedOut; }
  bool good() const { return Content.Status == 200 && Content.Complete; }
  auto key() const {
    return std::tie(Content.Id, Content.Kind, Content.Gateway,
                    Content.Incarnation, Content.Version, Content.Sent,
                    Content.Ended, Content.Status, Content.ResponseRequestId,
                    Content.Body, Content.Complete, Content.TimedOut);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKATTEMPT_H
