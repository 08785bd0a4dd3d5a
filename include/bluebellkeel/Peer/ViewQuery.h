#ifndef BLUEBELLKEEL_PEER_VIEWQUERY_H
#define BLUEBELLKEEL_PEER_VIEWQUERY_H

#include "bluebellkeel/Core/LogPosition.h"
#include "bluebellkeel/Journal/KeyedTopic.h"
#include <tuple>

namespace bluebellkeel {

/// Asks a peer for the records of a topic that it knows after a position.
class view_query : public comparable<view_query> {
public:
  view_query() = default;
  view_query(keyed_topic Topic, log_position After)
      : Topic(Topic), After(After) {}

  keyed_topic topic() const { return Topic; }
  log_position after() const { return After; }
  auto key() const { return std::tie(Topic, After); }

private:
  keyed_topic Topic = keyed_topic::Settings;
  log_position After;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_VIEWQUERY_H
