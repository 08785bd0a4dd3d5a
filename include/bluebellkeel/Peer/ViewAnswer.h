#ifndef BLUEBELLKEEL_PEER_VIEWANSWER_H
#define BLUEBELLKEEL_PEER_VIEWANSWER_H

#include "bluebellkeel/Journal/KeyedPage.h"
#include "bluebellkeel/Journal/KeyedTopic.h"
#include <tuple>

namespace bluebellkeel {

/// The records of a topic that a peer knows after the offset in the view_query.
class view_answer : public comparable<view_answer> {
public:
  view_answer() = default;
  view_answer(keyed_topic Topic, keyed_page Page)
      : Topic(Topic), Page(std::move(Page)) {}

  keyed_topic topic() const { return Topic; }
  const keyed_page &page() const { return Page; }
  auto key() const { return std::tie(Topic, Page); }

private:
  keyed_topic Topic = keyed_topic::Settings;
  keyed_page Page;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_VIEWANSWER_H
