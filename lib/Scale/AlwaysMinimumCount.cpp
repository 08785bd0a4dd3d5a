#include "bluebellkeel/Scale/AlwaysMinimumCount.h"

using namespace bluebellkeel;

std::vector<scale_order>
always_minimum_count::decide(const scale_query &Query) const {
  std::vector<scale_order> Orders;
  for (const auto &Centre : Query.now().centres())
    Orders.emplace_back(Query.now().service(), Centre.centre(),
                        Query.now().limits().min(), scale_reason::Fixed);
  return Orders;
}
