#include "bluebellkeel/Scale/AlwaysMaximumCount.h"

using namespace bluebellkeel;

std::vector<scale_order>
always_maximum_count::decide(const scale_query &Query) const {
  std::vector<scale_order> Orders;
  for (const auto &Centre : Query.now().centres())
    Orders.emplace_back(Query.now().service(), Centre.centre(),
                        Query.now().limits().max(), scale_reason::Fixed);
  return Orders;
}
