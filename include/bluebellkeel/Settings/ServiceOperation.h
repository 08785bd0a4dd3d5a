#ifndef BLUEBELLKEEL_SETTINGS_SERVICEOPERATION_H
#define BLUEBELLKEEL_SETTINGS_SERVICEOPERATION_H

#include "bluebellkeel/Core/ServiceId.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// One operation of a plain service.
class service_operation : public comparable<service_operation> {
public:
  service_operation() = default;
  service_operation(service_id Service, std::string Name, bool Idempotent,
                    double Cost)
      : Service(std::move(Service)), Name(std::move(Name)),
        Idempotent(Idempotent), Cost(Cost) {}

  const service_id &service() const { return Service; }
  const std::string &name() const { return Name; }
  /// Returns false if a call must not run more than once.
  bool idempotent() const { return Idempotent; }
  /// Returns the price of a call, in millionths of the currency unit.
  double cost() const { return Cost; }
  auto key() const { return std::tie(Service, Name, Idempotent, Cost); }

private:
  service_id Service;
  std::string Name;
  bool Idempotent = false;
  double Cost = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_SERVICEOPERATION_H
