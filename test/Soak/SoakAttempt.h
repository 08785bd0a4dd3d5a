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
    bool Whole = false;
    bool TimedOut = false;
  };

  explicit soak_attempt(fields Fields) : Values(std::move(Fields)) {}

  const std::string &id() const { return Values.Id; }
  request_kind kind() const { return Values.Kind; }
  int gateway() const { return Values.Gateway; }
  int incarnation() const { return Values.Incarnation; }
  int version() const { return Values.Version; }
  milliseconds sent() const { return Values.Sent; }
  milliseconds ended() const { return Values.Ended; }
  int status() const { return Values.Status; }
  const std::string &responseRequestId() const {
    return Values.ResponseRequestId;
  }
  const std::string &body() const { return Values.Body; }
  bool whole() const { return Values.Whole; }
  bool timedOut() const { return Values.TimedOut; }
  bool good() const { return Values.Status == 200 && Values.Whole; }
  auto key() const {
    return std::tie(Values.Id, Values.Kind, Values.Gateway, Values.Incarnation,
                    Values.Version, Values.Sent, Values.Ended, Values.Status,
                    Values.ResponseRequestId, Values.Body, Values.Whole,
                    Values.TimedOut);
  }

private:
  fields Values;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKATTEMPT_H
