#ifndef TEST_SOAK_SOAKATTEMPT_H
#define TEST_SOAK_SOAKATTEMPT_H

#include "RequestKind.h"
#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// One request of a caller and what came of it.
class soak_attempt : public comparable<soak_attempt> {
public:
  /// What an attempt is made from.
  struct fields {
    std::string Id;
    request_kind Kind = request_kind::Once;
    int Gateway = 0;
    /// Counts the starts of the gateway's process.
    int Life = 0;
    /// For probes.
    int Version = 0;
    /// From the start of the run.
    milliseconds Sent{0};
    milliseconds Ended{0};
    /// 0 when no head of an answer came.
    int Status = 0;
    /// The id that the answer names.
    std::string AnswersTo;
    std::string Body;
    /// The answer came to its proper end.
    bool Whole = false;
    bool TimedOut = false;
  };

  explicit soak_attempt(fields Fields) : Held(std::move(Fields)) {}

  const std::string &id() const { return Held.Id; }
  request_kind kind() const { return Held.Kind; }
  int gateway() const { return Held.Gateway; }
  int life() const { return Held.Life; }
  int version() const { return Held.Version; }
  milliseconds sent() const { return Held.Sent; }
  milliseconds ended() const { return Held.Ended; }
  int status() const { return Held.Status; }
  const std::string &answersTo() const { return Held.AnswersTo; }
  const std::string &body() const { return Held.Body; }
  bool whole() const { return Held.Whole; }
  bool timedOut() const { return Held.TimedOut; }
  bool good() const { return Held.Status == 200 && Held.Whole; }
  auto key() const {
    return std::tie(Held.Id, Held.Kind, Held.Gateway, Held.Life, Held.Version,
                    Held.Sent, Held.Ended, Held.Status, Held.AnswersTo,
                    Held.Body, Held.Whole, Held.TimedOut);
  }

private:
  fields Held;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKATTEMPT_H
