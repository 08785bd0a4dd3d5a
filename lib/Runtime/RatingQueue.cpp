#include "RatingQueue.h"
#include <algorithm>

using namespace bluebellkeel;

void rating_queue::run() {
  if (!Rater)
    return;
  for (const auto &Answer : Queue.take(MaxWaiting, absl::ZeroDuration())) {
    if (!Rater->submit(Answer.Version, Answer.Text))
      return;
  }
  auto Ratings = Rater->fetch(LastRating);
  if (!Ratings)
    return;
  for (const auto &Rating : *Ratings) {
    Quality.rate(Rating.version(), Rating.good());
    LastRating = std::max(LastRating, Rating.number());
  }
}
