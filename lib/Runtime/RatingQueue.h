#ifndef BLUEBELLKEEL_LIB_RUNTIME_RATINGQUEUE_H
#define BLUEBELLKEEL_LIB_RUNTIME_RATINGQUEUE_H

#include "bluebellkeel/Frontend/ResponseSampler.h"
#include "bluebellkeel/Journal/BatchQueue.h"
#include "bluebellkeel/Platform/RaterClient.h"
#include "bluebellkeel/Policy/QualityTracker.h"
#include <optional>

namespace bluebellkeel {

/// Submits a sample of the responses to the rating service and passes the
/// ratings to the quality tracker.
class rating_queue final : public response_sampler {
public:
  /// Maximum number of responses that wait for submission; further responses
  /// are not rated.
  static constexpr std::size_t MaxWaiting = 64;

  rating_queue(std::optional<rater_client> Rater, quality_tracker &Quality)
      : Rater(std::move(Rater)), Quality(Quality), Queue(MaxWaiting) {}

  bool acceptsSamples() const override {
    return Rater && Queue.size() < MaxWaiting;
  }
  void sample(const version_id &Version, const std::string &Answer) override {
    Queue.push({Version, Answer});
  }

  /// Submits the waiting responses and fetches new ratings.
  void run();

private:
  struct sampled_response {
    version_id Version;
    std::string Text;
  };

  std::optional<rater_client> Rater;
  quality_tracker &Quality;
  batch_queue<sampled_response> Queue;
  std::uint64_t LastRating = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_RUNTIME_RATINGQUEUE_H
