#ifndef BLUEBELLKEEL_ROUTING_SERVICECONFIG_H
#define BLUEBELLKEEL_ROUTING_SERVICECONFIG_H

#include "bluebellkeel/Core/ServiceId.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Routing/PricedModel.h"
#include "bluebellkeel/Routing/ScalingLimits.h"
#include <cstdint>
#include <optional>
#include <vector>

namespace bluebellkeel {

/// Operators' configuration of a service and its upstreams.
class service_config : public comparable<service_config> {
public:
  /// Constructor arguments of service_config.
  struct fields {
    service_id Service;
    std::string HealthPath;
    milliseconds ColdTime{0};
    double ColdRate = 0;
    std::uint32_t Slots = 0;
    std::uint64_t CacheTokens = 0;
    std::vector<priced_model> Models;
    std::optional<scaling_limits> Scaling;
  };

  explicit service_config(fields Fields) : Content(std::move(Fields)) {}

  const service_id &service() const { return Content.Service; }
  const std::string &healthPath() const { return Content.HealthPath; }
  /// How long an upstream stays cold after its start.
  milliseconds coldTime() const { return Content.ColdTime; }
  /// Requests per second that a cold upstream can handle; 0 if upstreams are
  /// never cold.
  double coldRate() const { return Content.ColdRate; }
  /// Number of requests that a model engine batches; 0 for a plain service.
  std::uint32_t slots() const { return Content.Slots; }
  /// Number of tokens that fit in an engine's memory.
  std::uint64_t cacheTokens() const { return Content.CacheTokens; }
  const std::vector<priced_model> &models() const { return Content.Models; }
  /// Empty if the number of upstreams is not ours to order.
  const std::optional<scaling_limits> &scaling() const {
    return Content.Scaling;
  }
  /// Returns the price of 1,000 tokens of \p Model; 0 if the model is unknown.
  double costOf(const std::string &Model) const;

  auto key() const {
    return std::tie(Content.Service, Content.HealthPath, Content.ColdTime,
                    Content.ColdRate, Content.Slots, Content.CacheTokens,
                    Content.Models, Content.Scaling);
  }

private:
  fields Content;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_SERVICECONFIG_H
