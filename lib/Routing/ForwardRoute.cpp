#include "bluebellkeel/Routing/ForwardRoute.h"
#include <algorithm>

using namespace bluebellkeel;

service_id forward_route::serviceAt(double Fraction) const {
  double Sum = 0;
  for (const auto &Share : Held.Services)
    Sum += Share.weight();
  double Left = Fraction * Sum;
  for (const auto &Share : Held.Services) {
    Left -= Share.weight();
    if (Left < 0)
      return Share.service();
  }
  return Held.Services.empty() ? service_id() : Held.Services.front().service();
}

bool forward_route::routesTo(const service_id &Service) const {
  return std::any_of(Held.Services.begin(), Held.Services.end(),
                     [&](const weighted_service &Share) {
                       return Share.service() == Service && Share.weight() > 0;
                     });
}
