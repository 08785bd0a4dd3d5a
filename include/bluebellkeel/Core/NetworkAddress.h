#ifndef BLUEBELLKEEL_CORE_NETWORKADDRESS_H
#define BLUEBELLKEEL_CORE_NETWORKADDRESS_H

#include "bluebellkeel/Core/Comparable.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace bluebellkeel {

/// An IP address and a TCP port.
class network_address : public comparable<network_address> {
public:
  network_address() = default;
  network_address(std::string Host, std::uint16_t Port)
      : Host(std::move(Host)), Port(Port) {}

  /// Parses `host:port`. Returns std::nullopt if \p Text does not have that
  /// form, if the host has characters other than visible ASCII or if the port
  /// is 0.
  static std::optional<network_address> parse(std::string_view Text);

  const std::string &host() const { return Host; }
  std::uint16_t port() const { return Port; }
  std::string text() const { return Host + ":" + std::to_string(Port); }
  auto key() const { return std::tie(Host, Port); }

private:
  std::string Host;
  std::uint16_t Port = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_CORE_NETWORKADDRESS_H
