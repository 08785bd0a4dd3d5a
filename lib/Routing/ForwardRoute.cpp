#include "bluebellkeel/Routing/ForwardRoute.h"
#include <algorithm>

using namespace bluebellkeel;

service_id forward_route::serviceAt(double Fraction) const {
  double Sum = 0;
  for (const auto &Share : Content.Services)
    Sum += Share.weight();
  double Left = Fraction * Sum;
  for (const auto &Share : Content.Services) {
    Left -= Share.weight();
    if (Left < 0)
      return Share.service();
  }
  return Content.Services.empty() ? service_id()
                                  : Content.Services.front().service();
}

bool forward_route::routesTo(const service_id &Service) const {
  return std::any_of(Content.Services.begin(), Content.Services.end(),
                     [&](const weighted_service &Share) {
                       return Share.service() == Service && Share.weight() > 0;
                     });
}
