#ifndef BLUEBELLKEEL_ROUTING_PRICEDMODEL_H
#define BLUEBELLKEEL_ROUTING_PRICEDMODEL_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// A model that a service offers, with its price.
class priced_model : public comparable<priced_model> {
public:
  priced_model(std::string Name, double Cost)
      : Name(std::move(Name)), Cost(Cost) {}

  const std::string &name() const { return Name; }
  /// Price of 1,000 generated tokens; a prompt token counts as a quarter.
  double cost() const { return Cost; }
  auto key() const { return std::tie(Name, Cost); }

private:
  std::string Name;
  double Cost;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_ROUTING_PRICEDMODEL_H
