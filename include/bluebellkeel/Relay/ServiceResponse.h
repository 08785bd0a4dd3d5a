#ifndef BLUEBELLKEEL_RELAY_SERVICERESPONSE_H
#define BLUEBELLKEEL_RELAY_SERVICERESPONSE_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <tuple>
#include <utility>

namespace bluebellkeel {

/// The response of a plain service.
class service_response : public comparable<service_response> {
public:
  service_response() = default;
  service_response(int Status, std::string Body)
      : Status(Status), Body(std::move(Body)) {}

  /// HTTP status.
  int status() const { return Status; }
  const std::string &body() const { return Body; }
  auto key() const { return std::tie(Status, Body); }

private:
  int Status = 0;
  std::string Body;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_SERVICERESPONSE_H
