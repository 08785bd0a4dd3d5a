#ifndef BLUEBELLKEEL_JOURNAL_KEYEDTOPIC_H
#define BLUEBELLKEEL_JOURNAL_KEYEDTOPIC_H

#include <string_view>

namespace bluebellkeel {

/// The topics of the log in which the newest record of each key is in force.
enum class keyed_topic {
  /// Settings that operators publish.
  Settings,
  /// Registrations of upstreams.
  Upstreams,
  /// Registrations of instances.
  Instances,
  /// Statuses reported to operators.
  Statuses,
  /// The record of the duties of one instance at a time.
  Duties,
  /// Requests that crash upstreams.
  Crashes,
};

inline std::string_view toString(keyed_topic Topic) {
  switch (Topic) {
  case keyed_topic::Settings:
    return "settings";
  case keyed_topic::Upstreams:
    return "upstreams";
  case keyed_topic::Instances:
    return "instances";
  case keyed_topic::Statuses:
    return "statuses";
  case keyed_topic::Duties:
    return "duties";
  case keyed_topic::Crashes:
    return "crashes";
  }
  return "";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDTOPIC_H
