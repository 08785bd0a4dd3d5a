#ifndef UTILS_PLATFORM_RUNNEROPTIONS_H
#define UTILS_PLATFORM_RUNNEROPTIONS_H

#include "WorkTime.h"
#include <string>

namespace bluebellkeel {

/// What a stand-in for an upstream records and how long its requests take.
struct runner_options {
  /// File to which the id of each started request is appended as a line; it
  /// outlives the process. No file if empty.
  std::string RunLog;
  /// File to which each arrival is appended as a line with the Unix time in
  /// milliseconds, the stand-in's id and process, the request's id and what the
  /// response says of the upstream. No file if empty.
  std::string ArrivalLog;
  /// File to which the Unix time in milliseconds and the id of each request
  /// whose work has come to its end are appended as a line. No file if empty.
  std::string EndLog;
  /// Duration of a request that is not a stream.
  work_time WorkTime{work_time::fields()};
  /// Number of events of a stream.
  int Events = 20;
};

} // namespace bluebellkeel

#endif // UTILS_PLATFORM_RUNNEROPTIONS_H
