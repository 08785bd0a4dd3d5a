#ifndef BLUEBELLKEEL_JOURNAL_KEYEDTOPIC_H
#define BLUEBELLKEEL_JOURNAL_KEYEDTOPIC_H

#include <string_view>

namespace bluebellkeel {

/// The streams of the log in which the newest record of each key counts.
enum class keyed_topic {
  /// What operators decide.
  Settings,
  /// Upstreams register here.
  Upstreams,
  /// Instances register here.
  Instances,
  /// What operators are told.
  Statuses,
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
  }
  return "";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_JOURNAL_KEYEDTOPIC_H
