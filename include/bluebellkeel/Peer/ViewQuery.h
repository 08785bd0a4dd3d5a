#ifndef BLUEBELLKEEL_PEER_VIEWQUERY_H
#define BLUEBELLKEEL_PEER_VIEWQUERY_H

#include "bluebellkeel/Core/LogOffset.h"
#include "bluebellkeel/Journal/KeyedTopic.h"
#include <tuple>

namespace bluebellkeel {

/// Asks a peer for the records of a topic that it knows after an offset.
class view_query : public comparable<view_query> {
public:
  view_query() = default;
  view_query(keyed_topic Topic, log_offset After)
      : Topic(Topic), After(After) {}

  keyed_topic topic() const { return Topic; }
  log_offset after() const { return After; }
  auto key() const { return std::tie(Topic, After); }

private:
  keyed_topic Topic = keyed_topic::Settings;
  log_offset After;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_VIEWQUERY_H
