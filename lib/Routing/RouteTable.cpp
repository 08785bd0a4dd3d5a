#include "bluebellkeel/Routing/RouteTable.h"
#include <algorithm>

using namespace bluebellkeel;

double service_config::costOf(const std::string &Model) const {
  for (const auto &Size : Content.Models) {
    if (Size.name() == Model)
      return Size.cost();
  }
  return 0;
}

route_table::route_table(std::uint64_t Version,
                         std::vector<forward_route> Routes,
                         std::vector<service_config> Services,
                         api_key_policy ApiKeys, const caller_limits &Limits)
    : Version(Version), Routes(std::move(Routes)),
      Services(std::move(Services)), ApiKeys(std::move(ApiKeys)),
      Limits(Limits) {
  for (std::size_t I = 0; I < this->Routes.size(); ++I)
    ByHost[this->Routes[I].host()].push_back(I);
  auto Longer = [this](std::size_t L, std::size_t R) {
    return this->Routes[L].pathPrefix().size() >
           this->Routes[R].pathPrefix().size();
  };
  for (auto &[Host, Positions] : ByHost)
    std::stable_sort(Positions.begin(), Positions.end(), Longer);
}

const forward_route *route_table::match(std::string_view Host,
                                        std::string_view Path) const {
  auto Found = ByHost.find(Host);
  if (Found == ByHost.end())
    return nullptr;
  for (std::size_t Position : Found->second) {
    const std::string &Prefix = Routes[Position].pathPrefix();
    if (Path.substr(0, Prefix.size()) == Prefix)
      return &Routes[Position];
  }
  return nullptr;
}

const service_config *route_table::configOf(const service_id &Service) const {
  for (const auto &ServiceConfig : Services) {
    if (ServiceConfig.service() == Service)
      return &ServiceConfig;
  }
  return nullptr;
}
