#ifndef BLUEBELLKEEL_STARTUP_PLATFORMADDRESSES_H
#define BLUEBELLKEEL_STARTUP_PLATFORMADDRESSES_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include <optional>
#include <tuple>

namespace bluebellkeel {

/// Addresses of the platform's services.
class platform_addresses : public comparable<platform_addresses> {
public:
  platform_addresses() = default;
  platform_addresses(network_address Log, network_address List,
                     std::optional<network_address> Rater)
      : Log(std::move(Log)), List(std::move(List)), Rater(std::move(Rater)) {}

  const network_address &log() const { return Log; }
  const network_address &list() const { return List; }
  /// Empty if responses are not rated.
  const std::optional<network_address> &rater() const { return Rater; }
  auto key() const { return std::tie(Log, List, Rater); }

private:
  network_address Log;
  network_address List;
  std::optional<network_address> Rater;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_STARTUP_PLATFORMADDRESSES_H
