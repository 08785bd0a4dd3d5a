#ifndef BLUEBELLKEEL_PEER_VIEWANSWER_H
#define BLUEBELLKEEL_PEER_VIEWANSWER_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Journal/KeyedPage.h"
#include "bluebellkeel/Journal/KeyedTopic.h"
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// The records of a topic that a peer knows after the offset in the view_query,
/// and how long ago its view was known to be complete.
class view_answer : public comparable<view_answer> {
public:
  view_answer() = default;
  /// \param Age empty if the view was never known to be complete.
  view_answer(keyed_topic Topic, keyed_page Page,
              std::optional<milliseconds> Age)
      : Topic(Topic), Page(std::move(Page)), Age(Age) {}

  keyed_topic topic() const { return Topic; }
  const keyed_page &page() const { return Page; }
  const std::optional<milliseconds> &age() const { return Age; }
  auto key() const { return std::tie(Topic, Page, Age); }

private:
  keyed_topic Topic = keyed_topic::Settings;
  keyed_page Page;
  std::optional<milliseconds> Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_VIEWANSWER_H
