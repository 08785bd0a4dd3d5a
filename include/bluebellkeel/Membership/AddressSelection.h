#ifndef BLUEBELLKEEL_MEMBERSHIP_ADDRESSSELECTION_H
#define BLUEBELLKEEL_MEMBERSHIP_ADDRESSSELECTION_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
#include <tuple>
#include <vector>

namespace bluebellkeel {

/// The addresses that a caller should use, best first, and the time for which
/// the caller may keep them.
class address_selection : public comparable<address_selection> {
public:
  address_selection() = default;
  address_selection(std::vector<network_address> Addresses, seconds Lifetime)
      : Addresses(std::move(Addresses)), Lifetime(Lifetime) {}

  const std::vector<network_address> &addresses() const { return Addresses; }
  seconds lifetime() const { return Lifetime; }
  auto key() const { return std::tie(Addresses, Lifetime); }

private:
  std::vector<network_address> Addresses;
  seconds Lifetime{0};
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_MEMBERSHIP_ADDRESSSELECTION_H
