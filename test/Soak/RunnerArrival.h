#ifndef TEST_SOAK_RUNNERARRIVAL_H
#define TEST_SOAK_RUNNERARRIVAL_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include <optional>
#include <string>
#include <tuple>

namespace bluebellkeel {

/// A request that arrived at a runner, and what its response said of the
/// runner.
class runner_arrival : public comparable<runner_arrival> {
public:
  /// Constructor arguments of an arrival.
  struct fields {
    milliseconds At{0};
    std::string Process;
    std::string Request;
    std::optional<double> Limit;
    bool Leaving = false;
    milliseconds Pause{0};
  };

  explicit runner_arrival(fields Fields) : Content(std::move(Fields)) {}

  /// Time since the start of the run.
  milliseconds at() const { return Content.At; }
  /// Name of one process of a runner.
  const std::string &process() const { return Content.Process; }
  const std::string &request() const { return Content.Request; }
  /// The limit that the response named, in requests per second.
  const std::optional<double> &limit() const { return Content.Limit; }
  bool leaving() const { return Content.Leaving; }
  /// Time for which the runner, which turned the request away, wants nothing.
  milliseconds pause() const { return Content.Pause; }
  auto key() const {
    return std::tie(Content.At, Content.Process, Content.Request, Content.Limit,
                    Content.Leaving, Content.Pause);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_RUNNERARRIVAL_H
